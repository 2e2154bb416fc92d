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

// Receiver takes messages of one group; a Replica is one.
type Receiver interface {
	Receive(m consensus.Message)
}

// LinkTransport carries the messages of many groups over one stream per peer
// and direction. Its handler serves wire.FrameConsensus.
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

// NewLinkTransport returns a transport that opens streams through dialer.
// resolve turns a member's address into a link address, or "" if it is not
// known at present; nil means that they are the same.
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

// Register passes messages of group to r from now on, until Unregister.
func (t *LinkTransport) Register(group string, r Receiver) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.receivers[group] = r
}

// Unregister drops messages of group from now on.
func (t *LinkTransport) Unregister(group string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.receivers, group)
}

// Send implements Transport. It drops messages to an address that is not known
// or whose queue is full.
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

// forget ends the use of a peer that had nothing to send for a long time.
func (t *LinkTransport) forget(p *peer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(p.queue) > 0 {
		return false
	}
	delete(t.peers, p.addr)
	return true
}

// Close ends all streams. The dialer stays open.
func (t *LinkTransport) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	t.senders.Wait()
}

// Handle serves a stream of wire.FrameConsensus frames; it is registered with
// link.Mux.
func (t *LinkTransport) Handle(ctx context.Context, s link.Stream, first link.Frame) {
	defer s.Reset()
	defer context.AfterFunc(ctx, s.Reset)()
	defer context.AfterFunc(t.ctx, s.Reset)()
	in := assembler{}
	for f := first; ; {
		if err := t.takeFrame(s, &in, f); err != nil {
			t.log.Warn("consensus stream ends", "peer", s.PeerName(), "error", err)
			return
		}
		var err error
		if f, err = s.ReadFrame(); err != nil {
			return
		}
	}
}

func (t *LinkTransport) takeFrame(s link.Stream, in *assembler, f link.Frame) error {
	if f.Type != wire.FrameConsensus {
		return &wire.UnexpectedFrameError{Got: f.Type, Want: wire.FrameConsensus}
	}
	messages, wantsAck, err := in.add(f.Payload)
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

// Bounds on what a frame's messages may announce.
const (
	maxElements   = 1 << 20
	maxNestLevels = 16
)

var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNestLevels}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// decodeMessages reads the messages that fill b.
func decodeMessages(b []byte) ([]consensus.Message, error) {
	var out []consensus.Message
	for len(b) > 0 {
		var m consensus.Message
		rest, err := decoding.UnmarshalFirst(b, &m)
		if err != nil {
			return nil, fmt.Errorf("replica: decode message: %w", err)
		}
		out = append(out, m)
		b = rest
	}
	return out, nil
}
