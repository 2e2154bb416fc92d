package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxSkipped bounds the late copies of earlier answers that one exchange skips, and maxSkippedBytes
	// the body of each.
	maxSkipped      = 3
	maxSkippedBytes = 64 << 10
	// maxInlineBody is the largest body, in bytes, that is sent before the exchange waits for the
	// answer. A larger one is sent concurrently, since the upstream may answer before it has read it.
	maxInlineBody = 2 << 10
	// staleWindow is how soon after the request was sent a kept connection must end to count as closed
	// before: the reset comes after one round trip on the VM. Later, the request may have been at work.
	staleWindow = 10 * time.Millisecond
)

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}

// exchange is one request and its answer on a connection.
type exchange struct {
	client *Client
	conn   *conn
	req    *http.Request
	id     string
	sent   countingWriter
	began  time.Time
	// written is closed when the request has been sent or its sending has failed; writeErr is set
	// before.
	written  chan struct{}
	writeErr error
	// stop ends the watch of the context. It reports false if the context has ended.
	stop func() bool
	once sync.Once
}

// Do sends req, whose answer carries the given ID, and returns the answer's head. The caller reads the
// body to its end or closes it. Do closes the body of req once it does not read it any more, which may
// be after it has returned. If ctx ends, the connection is closed, also while the body is read.
func (c *Client) Do(ctx context.Context, req *http.Request, id string) (*http.Response, error) {
	select {
	case c.slots <- struct{}{}:
	case <-ctx.Done():
		closeBody(req)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	cn, err := c.acquire(ctx)
	if err != nil {
		<-c.slots
		closeBody(req)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	cn.remember(id)
	x := &exchange{client: c, conn: cn, req: req, id: id, sent: countingWriter{w: cn}, began: time.Now(), written: make(chan struct{})}
	x.stop = context.AfterFunc(ctx, func() { cn.Close() })
	resp, err := x.run(ctx)
	if err != nil {
		x.end(false, nil)
		return nil, err
	}
	if endsWithConnection(resp) {
		resp.Body = &unframedBody{resp.Body, x}
	}
	resp.Body = &body{ReadCloser: resp.Body, exchange: x, resp: resp}
	return resp, nil
}

func closeBody(req *http.Request) {
	if req.Body != nil {
		req.Body.Close()
	}
}

// run sends the request and returns the head of its answer.
func (x *exchange) run(ctx context.Context) (*http.Response, error) {
	x.req.Close = !x.client.keepsConns()
	if x.req.Body == nil || x.req.ContentLength >= 0 && x.req.ContentLength <= maxInlineBody {
		x.send()
	} else {
		go x.send()
	}
	for skipped := 0; ; skipped++ {
		if err := x.awaitAnswer(ctx, skipped); err != nil {
			return nil, err
		}
		resp, err := x.conn.readHead(x.req)
		if err != nil {
			return nil, err
		}
		if err := x.bind(resp); err == nil {
			return resp, nil
		} else if id := resp.Header.Get(x.client.cfg.IDHeader); skipped >= maxSkipped || id == "" || !x.conn.isEarlier(id) {
			return nil, err
		}
		// A late copy of the answer to an earlier request: the right answer may still follow.
		x.conn.tainted = true
		if err := skipBody(resp); err != nil {
			return nil, err
		}
		x.conn.setResume(true)
	}
}

// awaitAnswer waits for the first byte of an answer.
func (x *exchange) awaitAnswer(ctx context.Context, skipped int) error {
	var err error
	select {
	case err = <-x.conn.readable:
	case <-ctx.Done():
		err = ctx.Err()
	}
	switch {
	case err == nil:
		return nil
	case ctx.Err() == nil && skipped == 0 && x.conn.exchanges > 1 && time.Since(x.began) < staleWindow:
		return fmt.Errorf("%w: %w", ErrStale, x.cause(err))
	}
	return x.cause(err)
}

// cause returns why an exchange without an answer failed. It wraps ErrNotSent if the connection
// accepted no byte of the request.
func (x *exchange) cause(err error) error {
	select {
	case <-x.written:
		if x.writeErr != nil {
			err = x.writeErr
		}
		if x.writeErr != nil && x.sent.n.Load() == 0 {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	default:
	}
	return fmt.Errorf("httpconn: no answer: %w", unexpectedEOF(err))
}

// bind returns nil if resp is the answer to the request. An answer without an ID is accepted only as
// the first one on its connection, if the upstream is not known to return IDs.
func (x *exchange) bind(resp *http.Response) error {
	id := resp.Header.Get(x.client.cfg.IDHeader)
	switch {
	case id == x.id:
		x.client.setReturnsIDs(true)
		return nil
	case id == "" && !x.client.cfg.IDRequired && x.conn.exchanges == 1:
		x.client.setReturnsIDs(false)
		return nil
	}
	return fmt.Errorf("%w: it has the ID %.64q", ErrForeignAnswer, id)
}

// skipBody reads the body of an answer that is not used.
func skipBody(resp *http.Response) error {
	if resp.Close {
		return fmt.Errorf("%w: the connection ends after it", ErrForeignAnswer)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes+1))
	if err == nil && n > maxSkippedBytes {
		err = fmt.Errorf("its body is over %d bytes", maxSkippedBytes)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrForeignAnswer, err)
	}
	return nil
}

// send writes the request.
func (x *exchange) send() {
	defer close(x.written)
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(&x.sent)
	x.writeErr = x.req.Write(w)
	if x.writeErr == nil {
		x.writeErr = w.Flush()
	}
	w.Reset(nil)
	if x.writeErr != nil && x.sent.err == nil {
		// The body could not be read to its end, so the upstream waits for the rest in vain.
		x.conn.Close()
	}
}

// end ends the exchange and keeps or closes its connection.
func (x *exchange) end(complete bool, resp *http.Response) {
	x.once.Do(func() {
		keep := x.stop() && complete && x.wasSent() && x.reusable(resp) && x.client.keep(x.conn, idleTimeout(resp.Header))
		if keep {
			x.conn.setResume(true)
		} else {
			x.conn.discard()
		}
		<-x.client.slots
	})
}

// wasSent reports whether the whole request was sent.
func (x *exchange) wasSent() bool {
	select {
	case <-x.written:
		return x.writeErr == nil
	default:
		return false
	}
}

// reusable reports whether the connection can carry another exchange after the complete answer resp.
func (x *exchange) reusable(resp *http.Response) bool {
	return !x.req.Close && !resp.Close && !x.conn.tainted && x.conn.reader.Buffered() == 0
}

// body is the body of an answer. Its end ends the exchange.
type body struct {
	io.ReadCloser
	exchange *exchange
	resp     *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.exchange.end(errors.Is(err, io.EOF), b.resp)
	}
	return n, err
}

// Close ends the exchange. Without the end of the body, its connection is closed.
func (b *body) Close() error {
	b.exchange.end(false, b.resp)
	return nil
}

// unframedBody is a body that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader. The system reports a reset once only. If it was reported to the writer of the request, the
// end that is read here says nothing.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if fault := b.exchange.interruptWrite(); fault != nil && !errors.Is(fault, syscall.EPIPE) {
		return n, fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, fault)
	}
	return n, io.EOF
}

// interruptWrite ends the writing of the request, and returns the error that the connection has reported to it before.
// EPIPE means that the upstream had ended its side of the connection before a reset came.
func (x *exchange) interruptWrite() error {
	x.conn.SetWriteDeadline(time.Now()) // for a write that is blocked and holds the lock
	x.sent.mu.Lock()
	defer x.sent.mu.Unlock()
	if errors.Is(x.sent.err, os.ErrDeadlineExceeded) {
		return nil
	}
	return x.sent.err
}

// countingWriter counts the bytes that a connection accepts.
type countingWriter struct {
	w  io.Writer
	n  atomic.Int64
	mu sync.Mutex // held during a write
	// err is the first error of the connection.
	err error
}

// Write implements io.Writer.
func (c *countingWriter) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.w.Write(p)
	c.n.Add(int64(n))
	if c.err == nil {
		c.err = err
	}
	return n, err
}
