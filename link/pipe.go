package link

import (
	"context"
	"io"
	"os"
	"sync"
	"time"
)

const (
	// pipeBacklog is how many frames are buffered in each direction of a pipe.
	pipeBacklog = 16
	// pipeBytes bounds the payload of these frames, in bytes, unless there is only one.
	pipeBytes = 32 << 10
)

// Pipe returns the two ends of a stream within one process. Frames are copied. The PeerName of a is
// peerB, and that of b is peerA.
func Pipe(peerA, peerB string) (a, b Stream) {
	ab, ba := newPipeHalf(), newPipeHalf()
	return &pipe{in: ba, out: ab, peer: peerB}, &pipe{in: ab, out: ba, peer: peerA}
}

// pipeHalf is one direction of a pipe.
type pipeHalf struct {
	frames chan Frame
	// room holds a token when a frame has been read since the writer has waited last.
	room      chan struct{}
	reset     chan struct{}
	closed    chan struct{}
	resetOnce sync.Once
	closeOnce sync.Once

	mu   sync.Mutex
	held int // bytes of payload in frames
	// last is the payload that was read last, and free a buffer for the next one.
	last, free []byte
}

// reserve waits until n bytes fit the backlog. It reports false if the pipe was reset.
func (h *pipeHalf) reserve(n int) bool {
	for !h.tryReserve(n) {
		select {
		case <-h.room:
		case <-h.reset:
			return false
		}
	}
	return true
}

func (h *pipeHalf) tryReserve(n int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held > 0 && h.held+n > pipeBytes {
		return false
	}
	h.held += n
	return true
}

// copyPayload returns a copy of b in a buffer that is not in use.
func (h *pipeHalf) copyPayload(b []byte) []byte {
	h.mu.Lock()
	buf := h.free
	h.free = nil
	h.mu.Unlock()
	return append(buf[:0], b...)
}

// taken makes room for the payload of a frame that was read. The frame before it is not valid any more.
func (h *pipeHalf) taken(f Frame) {
	h.mu.Lock()
	h.held -= len(f.Payload)
	if cap(h.last) > cap(h.free) {
		h.free = h.last
	}
	h.last = f.Payload
	h.mu.Unlock()
	select {
	case h.room <- struct{}{}:
	default:
	}
}

func newPipeHalf() *pipeHalf {
	return &pipeHalf{frames: make(chan Frame, pipeBacklog), room: make(chan struct{}, 1), reset: make(chan struct{}), closed: make(chan struct{})}
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
		expired, changed, stopTimer := p.deadlineTimer()
		f, err, deadlineChanged := p.in.next(expired, changed)
		stopTimer()
		if !deadlineChanged {
			return f, err
		}
	}
}

// next returns the next frame. deadlineChanged tells that it returned for a change of the deadline,
// without a frame or an error.
func (h *pipeHalf) next(expired <-chan time.Time, changed <-chan struct{}) (f Frame, err error, deadlineChanged bool) {
	select {
	case f := <-h.frames:
		h.taken(f)
		return f, nil, false
	case <-h.reset:
		return Frame{}, ErrReset, false
	case <-expired:
		return Frame{}, os.ErrDeadlineExceeded, false
	case <-changed:
		return Frame{}, nil, true
	case <-h.closed:
	}
	// Frames that were written before the close can still be read.
	select {
	case f := <-h.frames:
		h.taken(f)
		return f, nil, false
	default:
		return Frame{}, io.EOF, false
	}
}

func (p *pipe) deadlineTimer() (expired <-chan time.Time, changed <-chan struct{}, stop func()) {
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
	select {
	case <-p.out.reset:
		return ErrReset
	case <-p.out.closed:
		return ErrReset
	default:
	}
	if !p.out.reserve(len(payload)) {
		return ErrReset
	}
	f := Frame{t, p.out.copyPayload(payload)}
	select {
	case p.out.frames <- f:
		return nil
	case <-p.out.reset:
		return ErrReset
	}
}

func (p *pipe) Reset() {
	p.in.resetOnce.Do(func() { close(p.in.reset) })
	p.out.resetOnce.Do(func() { close(p.out.reset) })
}

func (p *pipe) Close() error {
	p.out.closeOnce.Do(func() { close(p.out.closed) })
	return nil
}

func (p *pipe) PeerName() string { return p.peer }

// PeerHasRole reports true, since both ends are in the same process.
func (p *pipe) PeerHasRole(string) bool { return true }

// LocalDialer opens streams to this process's own address without a connection. Other addresses are
// passed to the embedded Dialer.
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
