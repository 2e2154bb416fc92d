package replica

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

const (
	// peerQueue is how many messages to one peer may wait.
	peerQueue = 1024
	// openTimeout bounds the opening of a stream.
	openTimeout = 2 * time.Second
	// reopenDelay is the time between attempts to open a stream, during which
	// messages are dropped.
	reopenDelay = 200 * time.Millisecond
	// ackInterval is the least time between frames that want an acknowledgement.
	ackInterval = 250 * time.Millisecond
	// ackTimeout is how long a stream may owe an acknowledgement or block a
	// write before it is replaced. Without this, a connection that went silent
	// would swallow messages for as long as TCP retransmits.
	ackTimeout = 3 * time.Second
	// peerIdle ends the sender of a peer that nothing is sent to.
	peerIdle = 5 * time.Minute
	// maxLarge bounds the large messages in transfer to one peer. Further ones
	// are dropped and sent again by the core.
	maxLarge = 16
)

// peer sends messages to one address.
type peer struct {
	transport *LinkTransport
	addr      string
	queue     chan consensus.Message

	// The fields below belong to the sender goroutine.
	stream *peerStream
	retry  time.Time
	large  []*outgoing
	number uint64
	buffer []byte
}

// peerStream is an open stream with its watchdog.
type peerStream struct {
	link.Stream
	watchdog *time.Timer
	asked    time.Time
	// acked receives when an acknowledgement comes, and is closed when the
	// stream ends. owed says that one is awaited.
	acked chan struct{}
	owed  bool
}

func newPeer(t *LinkTransport, addr string) *peer {
	return &peer{transport: t, addr: addr, queue: make(chan consensus.Message, peerQueue)}
}

func (p *peer) run() {
	defer p.drop()
	idle := time.NewTimer(peerIdle)
	defer idle.Stop()
	for {
		select {
		case <-p.transport.ctx.Done():
			return
		case m := <-p.queue:
			idle.Reset(peerIdle)
			p.sendAll(m)
		case <-idle.C:
			if p.transport.forget(p) {
				return
			}
			idle.Reset(peerIdle)
		}
	}
}

// sendAll sends a message, those queued behind it and the parts of large ones.
func (p *peer) sendAll(m consensus.Message) {
	if !p.open() {
		metrics.Add("messages_dropped", 1)
		return
	}
	p.buffer = append(p.buffer[:0], 0)
	ok := p.add(m) && p.takeQueued() && p.flush()
	// Small messages go between the parts of large ones, so that a snapshot
	// does not hold up heartbeats.
	for ok && len(p.large) > 0 && p.transport.ctx.Err() == nil {
		ok = p.sendPart() && p.takeQueued() && p.flush()
	}
	if !ok {
		p.drop()
	}
}

func (p *peer) takeQueued() bool {
	for {
		select {
		case m := <-p.queue:
			if !p.add(m) {
				return false
			}
		default:
			return true
		}
	}
}

// add puts a message into the buffer, which is sent first if it would overflow.
func (p *peer) add(m consensus.Message) bool {
	b, err := cbor.Marshal(m)
	if err != nil {
		p.transport.log.Error("cannot encode a consensus message", "type", m.Type.String(), "error", err)
		return true
	}
	if len(b)+1 > link.MaxPayload {
		p.addLarge(b)
		return true
	}
	if len(p.buffer)+len(b) > link.MaxPayload && !p.flush() {
		return false
	}
	p.buffer = append(p.buffer, b...)
	return true
}

func (p *peer) addLarge(b []byte) {
	if len(p.large) >= maxLarge || len(b) > maxMessage {
		metrics.Add("messages_dropped", 1)
		return
	}
	p.number++
	p.large = append(p.large, &outgoing{number: p.number, body: b})
}

func (p *peer) sendPart() bool {
	o := p.large[0]
	p.large = p.large[1:]
	if ok := p.write(o.part(nil)); !ok {
		return false
	}
	if !o.done() {
		p.large = append(p.large, o)
	}
	return true
}

// flush sends the buffered messages as one frame.
func (p *peer) flush() bool {
	if len(p.buffer) <= 1 {
		return true
	}
	ok := p.write(p.buffer)
	p.buffer = append(p.buffer[:0], 0)
	return ok
}

func (p *peer) write(payload []byte) bool {
	s := p.stream
	s.noteAck()
	if !s.owed {
		// The watchdog also ends a write that blocks.
		s.watchdog.Reset(ackTimeout)
		if time.Since(s.asked) >= ackInterval {
			payload[0] |= flagWantsAck
			s.asked, s.owed = time.Now(), true
		}
	}
	if err := s.WriteFrame(wire.FrameConsensus, payload); err != nil {
		return false
	}
	if !s.owed {
		s.watchdog.Stop()
	}
	return true
}

// open makes sure that there is a stream.
func (p *peer) open() bool {
	if p.stream != nil && p.stream.alive() {
		return true
	}
	p.drop()
	now := time.Now()
	if now.Before(p.retry) {
		return false
	}
	p.retry = now.Add(reopenDelay)
	ctx, cancel := context.WithTimeout(p.transport.ctx, openTimeout)
	defer cancel()
	s, err := p.transport.dialer.Open(ctx, p.addr)
	if err != nil {
		p.transport.log.Debug("cannot open a consensus stream", "addr", p.addr, "error", err)
		return false
	}
	p.stream = p.watch(s)
	return true
}

func (p *peer) watch(s link.Stream) *peerStream {
	ps := &peerStream{Stream: s, acked: make(chan struct{}, 1)}
	ps.watchdog = time.AfterFunc(ackTimeout, func() {
		metrics.Add("streams_silent", 1)
		p.transport.dialer.Replace(p.addr)
		s.Reset()
	})
	ps.watchdog.Stop()
	go ps.readAcks()
	return ps
}

// readAcks reads acknowledgements until the stream ends, and then closes acked.
func (s *peerStream) readAcks() {
	defer close(s.acked)
	for {
		if _, err := s.ReadFrame(); err != nil {
			s.Reset()
			return
		}
		s.watchdog.Stop()
		select {
		case s.acked <- struct{}{}:
		default:
		}
	}
}

func (s *peerStream) noteAck() {
	select {
	case <-s.acked:
		s.owed = false
	default:
	}
}

// alive reports whether the stream has not ended.
func (s *peerStream) alive() bool {
	select {
	case _, ok := <-s.acked:
		s.owed = false
		return ok
	default:
		return true
	}
}

// drop ends the stream. Messages in parts are lost with it.
func (p *peer) drop() {
	if p.stream != nil {
		p.stream.watchdog.Stop()
		p.stream.Reset()
		p.stream = nil
	}
	p.large = nil
}
