package controld

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// maxBodies is how many bodies are read at the same time, so that all of them together fit the memory of
	// a control VM.
	maxBodies = 4
	// bodyTimeout bounds the time to read a body, and the wait for others to be read.
	bodyTimeout = 5 * time.Second
)

// ErrBodyBusy means that too many other bodies are being read.
var ErrBodyBusy = errors.New("controld: too many calls with a body at the same time")

// BodyReader reads the bodies of operators' calls within bounds of size, time and memory. It is safe for
// concurrent use.
type BodyReader struct{ slots chan struct{} }

// NewBodyReader returns a BodyReader.
func NewBodyReader() *BodyReader { return &BodyReader{make(chan struct{}, maxBodies)} }

// Read reads a body of up to limit bytes. It fails with ErrBodyBusy, with an error of the reader such as
// *http.MaxBytesError, or with os.ErrDeadlineExceeded if the body does not end in time.
func (b *BodyReader) Read(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	wait := time.NewTimer(bodyTimeout)
	defer wait.Stop()
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-wait.C:
		return nil, ErrBodyBusy
	}
	// Writers that support no deadlines, as in tests, read from memory.
	conn := http.NewResponseController(w)
	conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer conn.SetReadDeadline(time.Time{})
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}
