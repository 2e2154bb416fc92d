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
	// peerQueueSize is the maximum number of queued messages to one peer.
	peerQueueSize = 1024
	// openTimeout is the timeout for opening a stream.
	openTimeout = 2 * time.Second
	// reopenDelay is the minimum time between attempts to open a stream. Messages are dropped until
	// the next attempt.
	reopenDelay = 200 * time.Millisecond
	// ackInterval is the minimum time between frames that request an acknowledgement.
	ackInterval = 250 * time.Millisecond
	// ackTimeout is how long an acknowledgement may be missing, or a write may block, before the
	// connection is replaced. Without this timeout, a connection that has gone silent would lose
	// messages for as long as TCP retransmits.
	ackTimeout = 3 * time.Second
	// peerIdleTimeout is the time without messages after which the sender of a peer stops.
	peerIdleTimeout = 5 * time.Minute
	// maxLargeMessages bounds the number of large messages that are being sent to one peer. Further
	// ones are dropped; the core sends them again.
	maxLargeMessages = 16
)

// peer queues messages to one address and sends them from its own goroutine.
type peer struct {
	transport *LinkTransport
	addr      string
	queue     chan consensus.Message

	// The fields below belong to the sender goroutine.
	stream        *peerStream
	nextOpenAt    time.Time
	largeMessages []*fragmentedMessage
	lastLargeID   uint64
	buffer        []byte // payload of the next frame: its flags, followed by messages
}

// peerStream is an open stream with a watchdog that detects a silent connection.
type peerStream struct {
	link.Stream
	watchdog       *time.Timer
	ackRequestedAt time.Time
	// acks receives a value for an acknowledgement, and is closed when the stream ends.
	acks        chan struct{}
	awaitingAck bool
}

func newPeer(t *LinkTransport, addr string) *peer {
	return &peer{transport: t, addr: addr, queue: make(chan consensus.Message, peerQueueSize)}
}

func (p *peer) run() {
	defer p.closeStream()
	idle := time.NewTimer(peerIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-p.transport.ctx.Done():
			return
		case m := <-p.queue:
			idle.Reset(peerIdleTimeout)
			p.sendAll(m)
		case <-idle.C:
			if p.transport.removeIdlePeer(p) {
				return
			}
			idle.Reset(peerIdleTimeout)
		}
	}
}

// sendAll sends a message, the queued messages and all fragments of large messages.
func (p *peer) sendAll(m consensus.Message) {
	if !p.ensureStream() {
		metrics.Add("messages_dropped", 1)
		return
	}
	p.buffer = append(p.buffer[:0], 0)
	ok := p.bufferMessage(m) && p.bufferQueued() && p.flush()
	// Small messages are sent between the fragments of large ones, so that a snapshot does not delay
	// heartbeats.
	for ok && len(p.largeMessages) > 0 && p.transport.ctx.Err() == nil {
		ok = p.sendFragment() && p.bufferQueued() && p.flush()
	}
	if !ok {
		p.closeStream()
	}
}

// bufferQueued buffers the messages that are in the queue. It reports false if a write failed.
func (p *peer) bufferQueued() bool {
	for {
		select {
		case m := <-p.queue:
			if !p.bufferMessage(m) {
				return false
			}
		default:
			return true
		}
	}
}

// bufferMessage adds a message to the buffer, which it flushes first if the message does not fit. It
// reports false if that write failed.
func (p *peer) bufferMessage(m consensus.Message) bool {
	b, err := cbor.Marshal(m)
	if err != nil {
		p.transport.log.Error("cannot encode consensus message", "type", m.Type.String(), "error", err)
		return true
	}
	if len(b)+1 > link.MaxPayload {
		p.queueLarge(b)
		return true
	}
	if len(p.buffer)+len(b) > link.MaxPayload && !p.flush() {
		return false
	}
	p.buffer = append(p.buffer, b...)
	return true
}

// queueLarge queues an encoded message that is too large for one frame.
func (p *peer) queueLarge(b []byte) {
	if len(p.largeMessages) >= maxLargeMessages || len(b) > maxMessageSize {
		metrics.Add("messages_dropped", 1)
		return
	}
	p.lastLargeID++
	p.largeMessages = append(p.largeMessages, &fragmentedMessage{id: p.lastLargeID, body: b})
}

// sendFragment sends one fragment of the first large message and moves that message to the end of
// the list, or removes it if it is complete.
func (p *peer) sendFragment() bool {
	m := p.largeMessages[0]
	p.largeMessages = p.largeMessages[1:]
	if ok := p.write(m.appendFragment(nil)); !ok {
		return false
	}
	if !m.done() {
		p.largeMessages = append(p.largeMessages, m)
	}
	return true
}

// flush sends the buffered messages, if any, as one frame.
func (p *peer) flush() bool {
	if len(p.buffer) <= 1 {
		return true
	}
	ok := p.write(p.buffer)
	p.buffer = append(p.buffer[:0], 0)
	return ok
}

// write sends a frame and requests an acknowledgement if one is due. It reports whether the frame
// was written.
func (p *peer) write(payload []byte) bool {
	s := p.stream
	s.checkAck()
	if !s.awaitingAck {
		// The watchdog covers this write too, in case it blocks.
		s.watchdog.Reset(ackTimeout)
		if time.Since(s.ackRequestedAt) >= ackInterval {
			payload[0] |= flagWantsAck
			s.ackRequestedAt, s.awaitingAck = time.Now(), true
		}
	}
	if err := s.WriteFrame(wire.FrameConsensus, payload); err != nil {
		return false
	}
	if !s.awaitingAck {
		s.watchdog.Stop()
	}
	return true
}

// ensureStream opens a stream unless there is one already. It reports whether there is one.
func (p *peer) ensureStream() bool {
	if p.stream != nil && p.stream.alive() {
		return true
	}
	p.closeStream()
	now := time.Now()
	if now.Before(p.nextOpenAt) {
		return false
	}
	p.nextOpenAt = now.Add(reopenDelay)
	ctx, cancel := context.WithTimeout(p.transport.ctx, openTimeout)
	defer cancel()
	s, err := p.transport.dialer.Open(ctx, p.addr)
	if err != nil {
		p.transport.log.Debug("cannot open consensus stream", "addr", p.addr, "error", err)
		return false
	}
	p.stream = p.watchStream(s)
	return true
}

// watchStream adds a watchdog to s. The watchdog replaces the connection when it fires.
func (p *peer) watchStream(s link.Stream) *peerStream {
	ps := &peerStream{Stream: s, acks: make(chan struct{}, 1)}
	ps.watchdog = time.AfterFunc(ackTimeout, func() {
		metrics.Add("streams_silent", 1)
		p.transport.dialer.Replace(p.addr)
		s.Reset()
	})
	ps.watchdog.Stop()
	go ps.readAcks()
	return ps
}

// readAcks reads acknowledgements until the stream ends, and then closes acks.
func (s *peerStream) readAcks() {
	defer close(s.acks)
	for {
		if _, err := s.ReadFrame(); err != nil {
			s.Reset()
			return
		}
		s.watchdog.Stop()
		select {
		case s.acks <- struct{}{}:
		default:
		}
	}
}

// checkAck clears awaitingAck if an acknowledgement has arrived.
func (s *peerStream) checkAck() {
	select {
	case <-s.acks:
		s.awaitingAck = false
	default:
	}
}

// alive reports whether the stream is still open.
func (s *peerStream) alive() bool {
	select {
	case _, ok := <-s.acks:
		s.awaitingAck = false
		return ok
	default:
		return true
	}
}

// closeStream resets the stream, if any. Messages that were not sent completely are lost.
func (p *peer) closeStream() {
	if p.stream != nil {
		p.stream.watchdog.Stop()
		p.stream.Reset()
		p.stream = nil
	}
	p.largeMessages = nil
}
