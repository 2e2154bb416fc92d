package distribute

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

// Limits of a delta on a stream.
const (
	// maxPartBytes leaves room in a frame for the part around its data.
	maxPartBytes = link.MaxPayload - 256
	// maxDeltaBytes bounds a delta. The whole configuration of the target scale
	// takes about 6 MB.
	maxDeltaBytes = 256 << 20
)

var errTooLarge = errors.New("distribute: delta is too large")

// request opens a stream: as wire.FrameConfigWatch for a stream of deltas, as
// wire.FrameConfigPull for one.
type request struct {
	Since resource.Version `cbor:"1,keyasint"`
	// VersionOnly asks for the answerer's version without the delta.
	VersionOnly bool `cbor:"2,keyasint,omitempty"`
	// Call asks the answerer to watch control for a while, since the sender
	// can't reach it.
	Call bool `cbor:"3,keyasint,omitempty"`
}

// deltaPart is the payload of a wire.FrameConfigDelta. The data of the parts up
// to the one marked Last make up an encoded resource.Delta, in the format of
// RFC 1951 if they are marked Compressed. A single part
// without data says that there is nothing newer; on a watch it is the heartbeat.
type deltaPart struct {
	Version resource.Version `cbor:"1,keyasint"` // held by the sender
	Data    []byte           `cbor:"2,keyasint,omitempty"`
	Last    bool             `cbor:"3,keyasint,omitempty"`

	Compressed bool `cbor:"4,keyasint,omitempty"`
}

// writeDelta sends an encoded delta in parts. It may be empty.
func writeDelta(s link.Stream, v resource.Version, e encodedDelta, timeout time.Duration) error {
	for data := e.data; ; {
		n := min(len(data), maxPartBytes)
		part := deltaPart{Version: v, Data: data[:n], Last: n == len(data), Compressed: e.compressed}
		if err := writeBounded(s, wire.FrameConfigDelta, part, timeout); err != nil {
			return err
		}
		if data = data[n:]; len(data) == 0 {
			return nil
		}
	}
}

// writeBounded sends a frame and resets the stream if that takes too long.
func writeBounded(s link.Stream, t link.FrameType, message any, timeout time.Duration) error {
	timer := time.AfterFunc(timeout, s.Reset)
	defer timer.Stop()
	return wire.Write(s, t, message)
}

// readDelta reads a delta that came in parts, and the version that the sender
// holds. The delta is nil if there was nothing newer. Each part must come
// within timeout.
func readDelta(s link.Stream, timeout time.Duration) (*resource.Delta, resource.Version, error) {
	var data []byte
	for {
		if err := s.SetReadDeadline(time.Now().Add(timeout)); err != nil {
			return nil, resource.Version{}, err
		}
		var part deltaPart
		if err := wire.Read(s, wire.FrameConfigDelta, &part); err != nil {
			return nil, resource.Version{}, err
		}
		if len(data)+len(part.Data) > maxDeltaBytes {
			return nil, part.Version, errTooLarge
		}
		data = append(data, part.Data...)
		if !part.Last {
			continue
		}
		if len(data) == 0 {
			return nil, part.Version, nil
		}
		d, err := decodeDelta(encodedDelta{data, part.Compressed})
		return d, part.Version, err
	}
}

func decodeDelta(e encodedDelta) (*resource.Delta, error) {
	b, err := e.plain(maxDeltaBytes)
	if err != nil {
		return nil, err
	}
	d := &resource.Delta{}
	if err := wire.Decode(b, d); err != nil {
		return nil, err
	}
	return d, nil
}

// answer is what a peer replied to a pull.
type answer struct {
	version resource.Version
	delta   *resource.Delta // nil if there is nothing newer, or none was asked for
}

// pull asks the peer at addr once.
func pull(ctx context.Context, d link.Dialer, addr string, r request, timeout time.Duration) (answer, error) {
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s, err := d.Open(dialCtx, addr)
	if err != nil {
		return answer{}, fmt.Errorf("distribute: pull: %w", err)
	}
	defer context.AfterFunc(ctx, s.Reset)()
	if err := writeBounded(s, wire.FrameConfigPull, r, timeout); err != nil {
		s.Reset()
		return answer{}, fmt.Errorf("distribute: pull from %s: %w", addr, err)
	}
	delta, version, err := readDelta(s, timeout)
	if err != nil {
		s.Reset()
		// The connection may have gone silent.
		d.Replace(addr)
		return answer{}, fmt.Errorf("distribute: pull from %s: %w", addr, err)
	}
	return answer{version, delta}, s.Close()
}
