package idempotency

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

// GroupCall asks the leader of a group to commit operations or a command of the ledger.
type GroupCall struct {
	Group  string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	Ops    []Op   `cbor:"3,keyasint,omitempty"`
	Ledger []byte `cbor:"4,keyasint,omitempty"`
	// To is the destination node if the call is sent to another node to be forwarded. The
	// forwarding node clears it, so a call is forwarded only once.
	To fleet.NodeID `cbor:"5,keyasint,omitempty"`
}

// Refusal is the reason why a call has no results.
type Refusal uint8

// Refusals of calls.
const (
	NotRefused       Refusal = iota // the call was committed
	RefusedNoReplica                // the node has no replica of the group at that epoch
	RefusedNotLeader                // nothing was proposed; Leader may name the leader's node
	RefusedUnknown                  // the call may or may not be committed
	RefusedBusy                     // nothing was proposed; the group is overloaded
)

// String returns the refusal as written in errors.
func (r Refusal) String() string {
	return [...]string{"not refused", "no replica", "not the leader", "may or may not be committed", "busy"}[min(r, RefusedBusy)]
}

// GroupReply is the reply to a GroupCall.
type GroupReply struct {
	Refusal Refusal      `cbor:"1,keyasint"`
	Leader  fleet.NodeID `cbor:"2,keyasint,omitempty"`
	Results []Result     `cbor:"3,keyasint,omitempty"`
	Ledger  []byte       `cbor:"4,keyasint,omitempty"`
}

// GroupCaller sends calls to the node that hosts a replica. An error means that the call may or may
// not be committed.
type GroupCaller interface {
	Call(ctx context.Context, node fleet.NodeID, c GroupCall) (GroupReply, error)
}

// LinkCaller sends calls over links, or directly to the local host.
type LinkCaller struct {
	Dialer link.Dialer
	// Resolve returns the link address of a node, or "" if it is not known.
	Resolve func(fleet.NodeID) string
	// Calls to Self are served by Local without a link. Local may be nil.
	Self  fleet.NodeID
	Local *Host
	// Relay returns the link address of a node that can forward calls to another one, or "". Nil
	// means that there are no relays.
	Relay func(to fleet.NodeID) string

	mu sync.Mutex
	// failedAt is when the path to a node last failed.
	failedAt map[fleet.NodeID]time.Time
}

// relayDuration is how long calls to a node go through a relay after the path to the node has
// failed. Otherwise a node that cannot reach a leader that the others can reach could make no
// claims.
const relayDuration = 3 * time.Second

// Call implements GroupCaller.
func (l *LinkCaller) Call(ctx context.Context, node fleet.NodeID, c GroupCall) (GroupReply, error) {
	if l.Local != nil && node == l.Self {
		return l.Local.Serve(ctx, c), nil
	}
	if l.recentlyFailed(node) {
		if addr := l.Relay(node); addr != "" {
			c.To = node
			return l.send(ctx, addr, c)
		}
	}
	reply, err := l.CallDirect(ctx, node, c)
	if err != nil && l.Relay != nil {
		l.recordFailure(node)
	}
	return reply, err
}

func (l *LinkCaller) recentlyFailed(node fleet.NodeID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.failedAt[node]
	return ok && time.Since(at) <= relayDuration
}

func (l *LinkCaller) recordFailure(node fleet.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failedAt == nil {
		l.failedAt = map[fleet.NodeID]time.Time{}
	}
	now := time.Now()
	maps.DeleteFunc(l.failedAt, func(_ fleet.NodeID, at time.Time) bool { return now.Sub(at) > relayDuration })
	l.failedAt[node] = now
}

// CallDirect sends a call to a node without a relay.
func (l *LinkCaller) CallDirect(ctx context.Context, node fleet.NodeID, c GroupCall) (GroupReply, error) {
	if l.Local != nil && node == l.Self {
		return l.Local.Serve(ctx, c), nil
	}
	addr := l.Resolve(node)
	if addr == "" {
		return GroupReply{}, fmt.Errorf("idempotency: no known address of node %s", node)
	}
	return l.send(ctx, addr, c)
}

func (l *LinkCaller) send(ctx context.Context, addr string, c GroupCall) (GroupReply, error) {
	s, err := l.Dialer.Open(ctx, addr)
	if err != nil {
		return GroupReply{}, err
	}
	// Ending the context also unblocks a pending write.
	stop := context.AfterFunc(ctx, s.Reset)
	reply, err := exchange(s, c)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		s.Reset()
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// The connection may be silently broken.
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
	// sizePrefixBytes is the length of the size that precedes a message.
	sizePrefixBytes = 4
	// maxMessageBytes bounds the size of a call or reply.
	maxMessageBytes = 8 << 20
	// readTimeout bounds the wait for the rest of a call.
	readTimeout = 5 * time.Second
)

// writeSized sends a message, preceded by its size. The message may span several frames.
func writeSized(s link.Stream, t link.FrameType, message any) error {
	b, err := wire.Encode(message)
	if err != nil {
		return err
	}
	if len(b) > maxMessageBytes {
		return fmt.Errorf("idempotency: message of %d bytes exceeds the limit of %d", len(b), maxMessageBytes)
	}
	return wire.WriteChunks(s, t, append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...))
}

// readSized reads a message whose first frame is first.
func readSized(s link.Stream, first link.Frame, t link.FrameType, message any) error {
	if first.Type != t {
		return &wire.UnexpectedFrameError{Got: first.Type, Want: t}
	}
	if len(first.Payload) < sizePrefixBytes {
		return fmt.Errorf("idempotency: first frame of a message has only %d bytes", len(first.Payload))
	}
	size := int(binary.BigEndian.Uint32(first.Payload))
	b := append([]byte(nil), first.Payload[sizePrefixBytes:]...)
	for len(b) < size && size <= maxMessageBytes {
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
		return fmt.Errorf("idempotency: received %d bytes of a message with an announced size of %d", len(b), size)
	}
	return wire.Decode(b, message)
}
