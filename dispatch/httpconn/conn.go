package httpconn

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"net/textproto"
	"slices"
	"sync"
	"time"
)

const (
	// MaxHeadBytes bounds the head of an answer, including the interim answers (1xx) before it, and its
	// trailer section.
	MaxHeadBytes = 64 << 10
	// bufferSize is the size of a connection's read buffer, in bytes.
	bufferSize = 4 << 10
	// rememberedIDs is how many earlier requests of a connection are remembered, to recognize late
	// copies of their answers.
	rememberedIDs = 4
)

// conn is a connection to the upstream. It carries one exchange at a time.
type conn struct {
	net.Conn
	client *Client
	reader *bufio.Reader
	head   *headLimit
	lines  *textproto.Reader // reads heads from reader; nil before the first one
	// readable receives nil when the first byte of an answer has arrived, or why none can arrive.
	readable chan error
	// resume tells the watcher to wait for the next byte, or to end.
	resume chan bool

	// exchanges counts the exchanges that have begun. ids are the latest of their requests.
	exchanges int
	ids       []string
	// tainted is set once something unexpected was read.
	tainted bool

	// Guarded by Client.mu.
	busy      bool
	idleUntil time.Time

	closeOnce sync.Once
}

func newConn(c *Client, nc net.Conn) *conn {
	head := &headLimit{r: nc, left: math.MaxInt64}
	cn := &conn{
		Conn: nc, client: c, head: head, reader: bufio.NewReaderSize(head, bufferSize),
		readable: make(chan error, 1), resume: make(chan bool, 1), busy: true,
	}
	go cn.watch()
	return cn
}

// Close closes the connection and counts it as closed.
func (cn *conn) Close() error {
	var err error
	cn.closeOnce.Do(func() {
		err = cn.Conn.Close()
		// The client's lock may be held by the caller.
		go cn.client.countClosed()
	})
	return err
}

// watch waits for bytes. Those that arrive during an exchange are left to it; bytes on an idle
// connection belong to no request, so the connection is closed.
func (cn *conn) watch() {
	for {
		_, err := cn.reader.Peek(1)
		if !cn.inExchange() {
			cn.Close()
			return
		}
		cn.readable <- err
		if err != nil || !<-cn.resume {
			return
		}
	}
}

// isQuiet reports whether nothing has arrived before the request is sent.
func (cn *conn) isQuiet() bool {
	select {
	case <-cn.readable:
		return false
	default:
		return true
	}
}

// discard closes the connection and ends its watcher.
func (cn *conn) discard() {
	cn.Close()
	cn.setResume(false)
}

// setResume tells the watcher to go on or to end. A watcher that is not waiting takes the first of
// several calls.
func (cn *conn) setResume(keep bool) {
	select {
	case cn.resume <- keep:
	default:
	}
}

// inExchange reports whether an exchange uses the connection. If not, it removes the connection from
// the idle ones.
func (cn *conn) inExchange() bool {
	c := cn.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if cn.busy {
		return true
	}
	if i := slices.Index(c.idle, cn); i >= 0 {
		c.idle = slices.Delete(c.idle, i, i+1)
	}
	return false
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// remember records the ID of the request that an exchange sends.
func (cn *conn) remember(id string) {
	cn.exchanges++
	cn.ids = append(cn.ids, id)
	if len(cn.ids) > rememberedIDs {
		cn.ids = cn.ids[1:]
	}
}

// isEarlier reports whether id is the ID of an earlier request on the connection.
func (cn *conn) isEarlier(id string) bool {
	return slices.Contains(cn.ids[:len(cn.ids)-1], id)
}

// headLimit bounds the bytes that are read from r.
type headLimit struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (l *headLimit) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	b = b[:min(int64(len(b)), l.left)]
	n, err := l.r.Read(b)
	if l.left != math.MaxInt64 {
		l.left -= int64(n)
	}
	return n, err
}
