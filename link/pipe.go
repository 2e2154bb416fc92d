package link

import (
	"context"
	"io"
	"os"
	"sync"
	"time"
)

// pipeBacklog is how many frames may wait in each direction of a pipe.
const pipeBacklog = 16

// Pipe returns the two ends of a stream within one process. Frames are copied.
// peerA and peerB are the names that the ends report of each other.
func Pipe(peerA, peerB string) (a, b Stream) {
	ab, ba := newPipeHalf(), newPipeHalf()
	return &pipe{in: ba, out: ab, peer: peerB}, &pipe{in: ab, out: ba, peer: peerA}
}

// pipeHalf is one direction.
type pipeHalf struct {
	frames chan Frame
	reset  chan struct{}
	closed chan struct{}
	once   sync.Once
	done   sync.Once
}

func newPipeHalf() *pipeHalf {
	return &pipeHalf{frames: make(chan Frame, pipeBacklog), reset: make(chan struct{}), closed: make(chan struct{})}
}

type pipe struct {
	in, out *pipeHalf
	peer    string

	mu       sync.Mutex
	deadline time.Time
	changed  chan struct{} // closed when the deadline changes
}

func (p *pipe) ReadFrame() (Frame, error) {
	for {
		expired, changed, stop := p.timer()
		f, err, again := p.in.next(expired, changed)
		stop()
		if !again {
			return f, err
		}
	}
}

// next returns the next frame. again says that the deadline has changed.
func (h *pipeHalf) next(expired <-chan time.Time, changed <-chan struct{}) (f Frame, err error, again bool) {
	select {
	case f := <-h.frames:
		return f, nil, false
	case <-h.reset:
		return Frame{}, ErrReset, false
	case <-expired:
		return Frame{}, os.ErrDeadlineExceeded, false
	case <-changed:
		return Frame{}, nil, true
	case <-h.closed:
	}
	// What was written before the close is still read.
	select {
	case f := <-h.frames:
		return f, nil, false
	default:
		return Frame{}, io.EOF, false
	}
}

func (p *pipe) timer() (expired <-chan time.Time, changed <-chan struct{}, stop func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	if p.deadline.IsZero() {
		return nil, p.changed, func() {}
	}
	t := time.NewTimer(time.Until(p.deadline))
	return t.C, p.changed, func() { t.Stop() }
}

func (p *pipe) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = t
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
	return nil
}

func (p *pipe) BufferFrame(t FrameType, payload []byte) error { return p.WriteFrame(t, payload) }

func (p *pipe) WriteFrame(t FrameType, payload []byte) error {
	if len(payload) > MaxPayload {
		return ErrFrameTooLarge
	}
	f := Frame{t, append([]byte(nil), payload...)}
	select {
	case <-p.out.reset:
		return ErrReset
	case <-p.out.closed:
		return ErrReset
	default:
	}
	select {
	case p.out.frames <- f:
		return nil
	case <-p.out.reset:
		return ErrReset
	}
}

func (p *pipe) Reset() {
	p.in.once.Do(func() { close(p.in.reset) })
	p.out.once.Do(func() { close(p.out.reset) })
}

func (p *pipe) Close() error {
	p.out.done.Do(func() { close(p.out.closed) })
	return nil
}

func (p *pipe) PeerName() string { return p.peer }

// LocalDialer opens streams to this process's own address without a connection,
// and passes others on.
type LocalDialer struct {
	Dialer
	// Addr is this process's own address, and Name its name.
	Addr, Name string
	Mux        *Mux
}

// Open implements Dialer.
func (d *LocalDialer) Open(ctx context.Context, addr string) (Stream, error) {
	if addr != d.Addr {
		return d.Dialer.Open(ctx, addr)
	}
	near, far := Pipe(d.Name, d.Name)
	d.Mux.Start(far)
	return near, nil
}

// Replace implements Dialer.
func (d *LocalDialer) Replace(addr string) {
	if addr != d.Addr {
		d.Dialer.Replace(addr)
	}
}
