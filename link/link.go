// Package link carries streams between the processes of godwithub. It is a narrow interface with
// two implementations, QUIC (link/quiclink) and TLS over TCP (link/tlslink). Both use mutual TLS
// 1.3 with certificates of the fleet's certificate authority. On platforms that provide no keys,
// link/tlslink uses plain TCP.
//
// A stream carries frames in both directions. It serves one exchange: one side
// opens it and sends the first frame, and both sides end it with Close after a
// complete exchange or with Reset at any other point.
package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// MaxPayload is the largest payload of a frame, in bytes.
const MaxPayload = 64 << 10

// headerSize is the size of a frame's header, in bytes: type and length.
const headerSize = 5

// FrameType identifies what a frame's payload contains. The types are defined by package wire;
// package link does not interpret them.
type FrameType byte

// Frame is the unit of transfer on a stream.
type Frame struct {
	Type FrameType
	// Payload is valid until the next ReadFrame on the same stream.
	Payload []byte
}

// Errors of streams.
var (
	ErrFrameTooLarge = errors.New("link: frame payload over 64 KiB")
	ErrReset         = errors.New("link: stream was reset")
)

// Stream is one exchange of frames. Reading and writing may happen concurrently, but there must be
// only one reader and one writer at a time.
type Stream interface {
	ReadFrame() (Frame, error)
	// WriteFrame sends a frame, after those queued by BufferFrame.
	WriteFrame(t FrameType, payload []byte) error
	// BufferFrame queues a frame to be sent with the next WriteFrame, which
	// saves a packet and a system call for frames that belong together.
	BufferFrame(t FrameType, payload []byte) error
	// SetReadDeadline sets the deadline of ReadFrame. The zero time removes it. A ReadFrame that
	// fails at its deadline may have consumed part of a frame, so the stream can then only be reset.
	SetReadDeadline(t time.Time) error
	// Reset ends the stream at once. The other side's calls fail.
	Reset()
	// Close ends a stream whose exchange is complete in both directions, so that its connection can
	// be used again.
	Close() error
	// PeerName returns the common name in the peer's certificate. Links without TLS return the
	// peer's IP address.
	PeerName() string
	// PeerHasRole reports whether the peer's certificate permits its process to take a role, one of
	// the DNS names in the certificate. Links without TLS report true.
	PeerHasRole(role string) bool
}

// Dialer opens streams to other processes, and reuses the connections to them.
type Dialer interface {
	// Open opens a stream to addr, an IP and port. It fails if there is no connection and none can
	// be made before ctx ends.
	Open(ctx context.Context, addr string) (Stream, error)
	// Replace makes the next Open to addr use a new connection. Streams on the present connections
	// are not affected. It is called when a peer no longer responds on a connection.
	Replace(addr string)
	Close() error
}

// Listener accepts streams from other processes.
type Listener interface {
	Accept(ctx context.Context) (Stream, error)
	Addr() string
	Close() error
}

// FrameWriter writes frames to a byte stream through a reused buffer.
type FrameWriter struct {
	w   io.Writer
	buf []byte
}

// NewFrameWriter returns a writer of frames to w.
func NewFrameWriter(w io.Writer) *FrameWriter { return &FrameWriter{w: w} }

// BufferFrame queues a frame to be written with the next WriteFrame.
func (f *FrameWriter) BufferFrame(t FrameType, payload []byte) error {
	var err error
	f.buf, err = AppendFrame(f.buf, t, payload)
	return err
}

// WriteFrame writes a frame, after those queued by BufferFrame.
func (f *FrameWriter) WriteFrame(t FrameType, payload []byte) error {
	if err := f.BufferFrame(t, payload); err != nil {
		return err
	}
	_, err := f.w.Write(f.buf)
	f.buf = f.buf[:0]
	return err
}

// FrameReader reads frames from a byte stream into a reused buffer.
type FrameReader struct {
	r      io.Reader
	header [headerSize]byte
	buf    []byte
}

// NewFrameReader returns a reader of frames from r.
func NewFrameReader(r io.Reader) *FrameReader { return &FrameReader{r: r} }

// ReadFrame reads one frame. It returns io.EOF only if the byte stream ends between two frames.
func (f *FrameReader) ReadFrame() (Frame, error) {
	if _, err := io.ReadFull(f.r, f.header[:]); err != nil {
		return Frame{}, err
	}
	n := int(f.header[1])<<24 | int(f.header[2])<<16 | int(f.header[3])<<8 | int(f.header[4])
	if n > MaxPayload {
		return Frame{}, fmt.Errorf("%w: %d bytes announced", ErrFrameTooLarge, n)
	}
	if cap(f.buf) < n {
		f.buf = make([]byte, max(n, 4<<10))
	}
	payload := f.buf[:n]
	if _, err := io.ReadFull(f.r, payload); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return Frame{}, err
	}
	return Frame{FrameType(f.header[0]), payload}, nil
}

// AppendFrame appends the encoding of a frame to b.
func AppendFrame(b []byte, t FrameType, payload []byte) ([]byte, error) {
	n := len(payload)
	if n > MaxPayload {
		return b, fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, n)
	}
	b = append(b, byte(t), byte(n>>24), byte(n>>16), byte(n>>8), byte(n))
	return append(b, payload...), nil
}
