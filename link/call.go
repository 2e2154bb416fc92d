package link

import "context"

// Call opens a stream to addr and runs exchange on it. The stream is closed if
// exchange succeeds, and reset if it fails or ctx ends first.
func Call(ctx context.Context, d Dialer, addr string, exchange func(Stream) error) error {
	s, err := d.Open(ctx, addr)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, s.Reset)
	if err := exchange(s); err != nil {
		stop()
		s.Reset()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return err
	}
	if !stop() {
		s.Reset()
		return nil
	}
	return s.Close()
}
