package idempotency

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

// GroupCall asks the leader of a group to commit operations or a command of the
// ledger.
type GroupCall struct {
	Group  string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	Ops    []Op   `cbor:"3,keyasint,omitempty"`
	Ledger []byte `cbor:"4,keyasint,omitempty"`
	// To is the node that the call is for, if another one is asked to pass it
	// on. That node does not pass it on again.
	To fleet.NodeID `cbor:"5,keyasint,omitempty"`
}

// Refusal says why a call has no results.
type Refusal uint8

// Refusals of calls.
const (
	RefusedNot       Refusal = iota // not refused
	RefusedNoReplica                // the node has no replica of the group at that epoch
	RefusedNotLeader                // nothing was proposed; Leader may name the leader's node
	RefusedUnknown                  // the call may or may not be committed
	RefusedBusy                     // nothing was proposed; the group is overloaded
)

// String returns the refusal as written in errors.
func (r Refusal) String() string {
	return [...]string{"not refused", "no replica", "not the leader", "may or may not be committed", "busy"}[min(r, RefusedBusy)]
}

// GroupReply is the answer to a GroupCall.
type GroupReply struct {
	Refusal Refusal      `cbor:"1,keyasint"`
	Leader  fleet.NodeID `cbor:"2,keyasint,omitempty"`
	Results []Result     `cbor:"3,keyasint,omitempty"`
	Ledger  []byte       `cbor:"4,keyasint,omitempty"`
}

// Caller carries calls to the node that hosts a replica. An error means that
// the call may or may not be committed.
type Caller interface {
	Call(ctx context.Context, node fleet.NodeID, c GroupCall) (GroupReply, error)
}

// LinkCaller sends calls over links, or to the local host.
type LinkCaller struct {
	Dialer link.Dialer
	// Resolve returns the link address of a node, or "" if it is not known.
	Resolve func(fleet.NodeID) string
	// Self and Local serve calls to this node without a link. Local may be nil.
	Self  fleet.NodeID
	Local *Host
	// Relay returns the link address of a node that can pass calls for another
	// one on, or "". Nil: there is none.
	Relay func(to fleet.NodeID) string

	mu sync.Mutex
	// failed holds when the path to a node last failed.
	failed map[fleet.NodeID]time.Time
}

// relayFor is how long calls to a node go through a relay after its path has
// failed. A leader that one node cannot reach, while the others can, would
// otherwise leave that node without claims.
const relayFor = 3 * time.Second

// Call implements Caller.
func (l *LinkCaller) Call(ctx context.Context, node fleet.NodeID, c GroupCall) (GroupReply, error) {
	if l.Local != nil && node == l.Self {
		return l.Local.Serve(ctx, c), nil
	}
	if l.hasFailed(node) {
		if addr := l.Relay(node); addr != "" {
			c.To = node
			return l.send(ctx, addr, c)
		}
	}
	reply, err := l.Direct(ctx, node, c)
	if err != nil && l.Relay != nil {
		l.noteFailure(node)
	}
	return reply, err
}

func (l *LinkCaller) hasFailed(node fleet.NodeID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.failed[node]
	if ok && time.Since(at) > relayFor {
		delete(l.failed, node)
		return false
	}
	return ok
}

func (l *LinkCaller) noteFailure(node fleet.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed == nil {
		l.failed = map[fleet.NodeID]time.Time{}
	}
	l.failed[node] = time.Now()
}

// Direct sends a call to a node without a relay.
func (l *LinkCaller) Direct(ctx context.Context, node fleet.NodeID, c GroupCall) (GroupReply, error) {
	if l.Local != nil && node == l.Self {
		return l.Local.Serve(ctx, c), nil
	}
	addr := l.Resolve(node)
	if addr == "" {
		return GroupReply{}, fmt.Errorf("idempotency: no address of node %s", node)
	}
	return l.send(ctx, addr, c)
}

func (l *LinkCaller) send(ctx context.Context, addr string, c GroupCall) (GroupReply, error) {
	s, err := l.Dialer.Open(ctx, addr)
	if err != nil {
		return GroupReply{}, err
	}
	// The context also ends a write that blocks.
	stop := context.AfterFunc(ctx, s.Reset)
	reply, err := exchange(s, c)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		s.Reset()
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// The connection may have gone silent.
			l.Dialer.Replace(addr)
		}
		return GroupReply{}, err
	}
	return reply, s.Close()
}

func exchange(s link.Stream, c GroupCall) (GroupReply, error) {
	if err := writeSized(s, wire.FrameGroupCall, c); err != nil {
		return GroupReply{}, err
	}
	first, err := s.ReadFrame()
	if err != nil {
		return GroupReply{}, err
	}
	var reply GroupReply
	return reply, readSized(s, first, wire.FrameGroupResult, &reply)
}

const (
	// sizeBytes is the length of the size before a message in frames.
	sizeBytes = 4
	// maxCall bounds a call or reply, in bytes.
	maxCall = 8 << 20
	// readTimeout bounds the wait for the rest of a call.
	readTimeout = 5 * time.Second
)

// writeSized sends a message that may be larger than a frame, after its size.
func writeSized(s link.Stream, t link.FrameType, message any) error {
	b, err := wire.Encode(message)
	if err != nil {
		return err
	}
	if len(b) > maxCall {
		return fmt.Errorf("idempotency: message of %d bytes is over the limit of %d", len(b), maxCall)
	}
	return wire.WriteChunks(s, t, append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...))
}

// readSized reads the frames of a message that begins with first.
func readSized(s link.Stream, first link.Frame, t link.FrameType, message any) error {
	if first.Type != t {
		return &wire.UnexpectedFrameError{Got: first.Type, Want: t}
	}
	if len(first.Payload) < sizeBytes {
		return fmt.Errorf("idempotency: message begins with %d bytes", len(first.Payload))
	}
	size := int(binary.BigEndian.Uint32(first.Payload))
	b := append([]byte(nil), first.Payload[sizeBytes:]...)
	for len(b) < size && size <= maxCall {
		f, err := s.ReadFrame()
		if err != nil {
			return err
		}
		if f.Type != t {
			return &wire.UnexpectedFrameError{Got: f.Type, Want: t}
		}
		b = append(b, f.Payload...)
	}
	if len(b) != size {
		return fmt.Errorf("idempotency: message of %d bytes announced as %d", len(b), size)
	}
	return wire.Decode(b, message)
}
