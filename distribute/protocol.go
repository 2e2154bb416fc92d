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

// Size limits of a delta on a stream.
const (
	// maxPartBytes leaves room in a frame for the encoding of the part.
	maxPartBytes = link.MaxPayload - 256
	// maxDeltaBytes bounds a delta, which a node holds as a whole. The whole configuration takes about 6 MB
	// at the target scale.
	maxDeltaBytes = 32 << 20
)

var errTooLarge = errors.New("distribute: delta exceeds the size limit")

// request opens a stream: as wire.FrameConfigWatch for a series of deltas, as wire.FrameConfigPull for
// a single one.
type request struct {
	Since resource.Version `cbor:"1,keyasint"`
	// VersionOnly asks for the receiver's version without a delta.
	VersionOnly bool `cbor:"2,keyasint,omitempty"`
	// CallToWatch asks the receiver to watch control for a while, since the sender can't reach
	// control.
	CallToWatch bool `cbor:"3,keyasint,omitempty"`
	// Proof asks, together with VersionOnly, for a proof of which version is the newest.
	Proof bool `cbor:"4,keyasint,omitempty"`
}

// agedProof is a proof in a reply: when the request that it replies to arrived, control had confirmed Age ago that
// Version was the newest. Clocks of different machines are never compared.
type agedProof struct {
	Version resource.Version `cbor:"1,keyasint"`
	Age     time.Duration    `cbor:"2,keyasint,omitempty"`
}

// deltaPart is the payload of a wire.FrameConfigDelta. The data of the parts up to the one marked Last
// make up an encoded resource.Delta, compressed as in RFC 1951 if they are marked Compressed. A single
// part without data means that the sender has nothing newer; on a watch it is the heartbeat.
type deltaPart struct {
	Version resource.Version `cbor:"1,keyasint"` // of the sender
	Data    []byte           `cbor:"2,keyasint,omitempty"`
	Last    bool             `cbor:"3,keyasint,omitempty"`

	Compressed bool `cbor:"4,keyasint,omitempty"`
	// Proof is set only in a reply to a request with Proof, if the sender has one.
	Proof *agedProof `cbor:"5,keyasint,omitempty"`
}

// writeDelta sends an encoded delta in parts. An empty delta is sent as one part without data.
func writeDelta(s link.Stream, v resource.Version, e encodedDelta, timeout time.Duration) error {
	for data := e.data; ; {
		n := min(len(data), maxPartBytes)
		part := deltaPart{Version: v, Data: data[:n], Last: n == len(data), Compressed: e.compressed}
		if err := writeWithTimeout(s, wire.FrameConfigDelta, part, timeout); err != nil {
			return err
		}
		if data = data[n:]; len(data) == 0 {
			return nil
		}
	}
}

// writeWithTimeout sends a frame, and resets the stream if that takes longer than timeout.
func writeWithTimeout(s link.Stream, t link.FrameType, message any, timeout time.Duration) error {
	timer := time.AfterFunc(timeout, s.Reset)
	defer timer.Stop()
	return wire.Write(s, t, message)
}

// readReply reads the parts of a delta. The delta is nil if the sender has nothing newer. Each part must arrive
// within timeout.
func readReply(s link.Stream, timeout time.Duration) (pullReply, error) {
	var data []byte
	for {
		if err := s.SetReadDeadline(time.Now().Add(timeout)); err != nil {
			return pullReply{}, err
		}
		var part deltaPart
		if err := wire.Read(s, wire.FrameConfigDelta, &part); err != nil {
			return pullReply{}, err
		}
		reply := pullReply{version: part.Version, proof: part.Proof}
		if len(data)+len(part.Data) > maxDeltaBytes {
			return reply, errTooLarge
		}
		data = append(data, part.Data...)
		if !part.Last {
			continue
		}
		if len(data) == 0 {
			return reply, nil
		}
		var err error
		reply.delta, err = decodeDelta(encodedDelta{data, part.Compressed})
		return reply, err
	}
}

func decodeDelta(e encodedDelta) (*resource.Delta, error) {
	b, err := e.decompress(maxDeltaBytes)
	if err != nil {
		return nil, err
	}
	d := &resource.Delta{}
	if err := wire.Decode(b, d); err != nil {
		return nil, err
	}
	return d, nil
}

// pullReply is the reply of a peer to a pull.
type pullReply struct {
	version resource.Version
	delta   *resource.Delta // nil if the peer has nothing newer, or only its version was requested
	proof   *agedProof      // nil if none was requested, or the peer has none
}

// pull sends one pull request to the peer at addr.
func pull(ctx context.Context, d link.Dialer, addr string, r request, timeout time.Duration) (pullReply, error) {
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s, err := d.Open(dialCtx, addr)
	if err != nil {
		return pullReply{}, fmt.Errorf("distribute: open a stream for a pull: %w", err)
	}
	defer context.AfterFunc(ctx, s.Reset)()
	if err := writeWithTimeout(s, wire.FrameConfigPull, r, timeout); err != nil {
		s.Reset()
		return pullReply{}, fmt.Errorf("distribute: pull from %s: %w", addr, err)
	}
	reply, err := readReply(s, timeout)
	if err != nil {
		s.Reset()
		// The connection may be silent.
		d.Replace(addr)
		return pullReply{}, fmt.Errorf("distribute: pull from %s: %w", addr, err)
	}
	return reply, s.Close()
}
