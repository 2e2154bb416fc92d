package controld

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against bodies of operators that do not end and take the memory or the connections of control, and
// against one that is refused because others are being read.
func TestBodiesOfOperatorsAreBounded(t *testing.T) {
	const limit = 1 << 20
	bodies := NewBodyReader()
	errs := make(chan error, 20)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := bodies.Read(w, r, limit)
		errs <- err
	}))
	defer s.Close()
	send := func(unit string, pause time.Duration) error {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		io.WriteString(c, "POST / HTTP/1.1\r\nHost: c\r\nContent-Length: 1000000000\r\n\r\n")
		go func() {
			for err := error(nil); err == nil; _, err = io.WriteString(c, unit) {
				time.Sleep(pause)
			}
		}()
		select {
		case err := <-errs:
			return err
		case <-time.After(2 * bodyTimeout):
			return errors.New("the body is still being read")
		}
	}
	var tooLarge *http.MaxBytesError
	assert.Assert(t, errors.As(send(strings.Repeat("x", 64<<10), 0), &tooLarge))

	// Slow bodies take all slots, and give them back.
	var slow sync.WaitGroup
	for range maxBodies {
		slow.Go(func() { assert.Check(t, errors.Is(send("x", 50*time.Millisecond), os.ErrDeadlineExceeded)) })
	}
	time.Sleep(100 * time.Millisecond)
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("document"))
	b, err := bodies.Read(httptest.NewRecorder(), r, limit)
	assert.Assert(t, err == nil && string(b) == "document" || errors.Is(err, ErrBodyBusy))
	slow.Wait()
	r = httptest.NewRequest(http.MethodPost, "/", strings.NewReader("document"))
	b, err = bodies.Read(httptest.NewRecorder(), r, limit)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "document")
}
