package replica

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

// Receiver receives the messages of one group. Replica implements it.
type Receiver interface {
	Receive(m consensus.Message)
}

// LinkTransport carries the messages of all groups over one stream per peer and direction. Handle is
// its handler for wire.FrameConsensus.
type LinkTransport struct {
	dialer  link.Dialer
	resolve func(addr string) string
	log     *slog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	senders sync.WaitGroup

	mu        sync.Mutex
	closed    bool
	peers     map[string]*peer
	receivers map[string]Receiver
}

// NewLinkTransport returns a transport that opens streams with dialer. resolve maps a member's
// address to a link address, or to "" if that is currently unknown. If resolve is nil, member
// addresses are link addresses.
func NewLinkTransport(dialer link.Dialer, resolve func(addr string) string, log *slog.Logger) *LinkTransport {
	if resolve == nil {
		resolve = func(addr string) string { return addr }
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &LinkTransport{
		dialer: dialer, resolve: resolve, log: log, ctx: ctx, cancel: cancel,
		peers: map[string]*peer{}, receivers: map[string]Receiver{},
	}
}

// Register delivers the messages of group to r until Unregister is called.
func (t *LinkTransport) Register(group string, r Receiver) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.receivers[group] = r
}

// Unregister makes the transport drop the messages of group.
func (t *LinkTransport) Unregister(group string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.receivers, group)
}

// Send implements Transport. It drops messages to unknown addresses and messages to peers whose
// queue is full.
func (t *LinkTransport) Send(m consensus.Message) {
	addr := t.resolve(m.ToAddr)
	if addr == "" {
		metrics.Add("messages_without_address", 1)
		return
	}
	p := t.peer(addr)
	if p == nil {
		return
	}
	select {
	case p.queue <- m:
	default:
		metrics.Add("messages_dropped", 1)
	}
}

// peer returns the peer with the given link address. It starts the peer's sender if there is none,
// and returns nil once the transport is closed.
func (t *LinkTransport) peer(addr string) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil
	}
	p := t.peers[addr]
	if p == nil {
		p = newPeer(t, addr)
		t.peers[addr] = p
		t.senders.Go(p.run)
	}
	return p
}

// removeIdlePeer removes a peer to which nothing was sent for peerIdleTimeout. It reports false if
// messages have been queued in the meantime.
func (t *LinkTransport) removeIdlePeer(p *peer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(p.queue) > 0 {
		return false
	}
	delete(t.peers, p.addr)
	return true
}

// Close closes all streams. It does not close the dialer.
func (t *LinkTransport) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	t.senders.Wait()
}

// Handle handles an incoming stream of wire.FrameConsensus frames. It is registered with link.Mux.
func (t *LinkTransport) Handle(ctx context.Context, s link.Stream, first link.Frame) {
	defer s.Reset()
	defer context.AfterFunc(ctx, s.Reset)()
	defer context.AfterFunc(t.ctx, s.Reset)()
	in := reassembler{}
	for f := first; ; {
		if err := t.handleFrame(s, &in, f); err != nil {
			t.log.Warn("closing consensus stream: cannot handle frame", "peer", s.PeerName(), "error", err)
			return
		}
		var err error
		if f, err = s.ReadFrame(); err != nil {
			return
		}
	}
}

func (t *LinkTransport) handleFrame(s link.Stream, in *reassembler, f link.Frame) error {
	if f.Type != wire.FrameConsensus {
		return &wire.UnexpectedFrameError{Got: f.Type, Want: wire.FrameConsensus}
	}
	messages, wantsAck, err := in.addFrame(f.Payload)
	if err != nil {
		return err
	}
	for _, m := range messages {
		t.deliver(m)
	}
	if wantsAck {
		return s.WriteFrame(wire.FrameConsensus, nil)
	}
	return nil
}

func (t *LinkTransport) deliver(m consensus.Message) {
	t.mu.Lock()
	r := t.receivers[m.Group]
	t.mu.Unlock()
	if r == nil {
		metrics.Add("messages_without_group", 1)
		return
	}
	r.Receive(m)
}

// Limits on the CBOR structure of received messages.
const (
	maxElements     = 1 << 20
	maxNestedLevels = 16
)

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNestedLevels}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// decodeMessages decodes the consecutive messages in b.
func decodeMessages(b []byte) ([]consensus.Message, error) {
	var out []consensus.Message
	for len(b) > 0 {
		var m consensus.Message
		rest, err := decMode.UnmarshalFirst(b, &m)
		if err != nil {
			return nil, fmt.Errorf("replica: decode message: %w", err)
		}
		out = append(out, m)
		b = rest
	}
	return out, nil
}
