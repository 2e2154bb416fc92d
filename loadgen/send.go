package loadgen

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/standin"
)

const answered = outcome.Answered

const (
	dialTimeout = 5 * time.Second
	// maxIdlePerTarget is large enough to keep the connections of a burst open for the next one.
	maxIdlePerTarget = 1024
	// smallReadBuffer is the size of the receive buffer of a connection whose answers are read slowly.
	smallReadBuffer = 64 << 10
	// slowReadInterval is the time between two reads of a slow reader.
	slowReadInterval = 50 * time.Millisecond
)

// job is one request of a caller. All its attempts share the work id and the idempotency key.
type job struct {
	kind     *Kind
	key      string
	body     []byte
	expected expectation
}

// attempt is one send of a job.
type attempt struct {
	target    string
	requestID string
	status    int // 0: no answer arrived
	verdict   verdict
	sentAt    time.Time
	latency   time.Duration
}

// sender sends attempts to its targets in round-robin order.
type sender struct {
	targets []string
	next    atomic.Uint64
	client  *http.Client
	// slowClient sends the requests of kinds with a ReadRate. Its connections buffer little, so that the
	// proxy notices that answers are read slowly.
	slowClient *http.Client
	direct     bool
}

func newSender(s *Settings) *sender {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerTarget,
		DisableCompression:  true,
	}
	return &sender{
		targets: s.Targets,
		client:  &http.Client{Transport: transport, Timeout: s.Timeout},
		slowClient: &http.Client{Timeout: s.Timeout, Transport: &http.Transport{
			DialContext: dialSmallBuffer, DisableKeepAlives: true, DisableCompression: true,
		}},
		direct: s.Direct,
	}
}

// dialSmallBuffer dials a connection whose receive buffer does not grow.
func dialSmallBuffer(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetReadBuffer(smallReadBuffer)
}

func (s *sender) close() { s.client.CloseIdleConnections() }

func (s *sender) newJob(kind *Kind, workID string) *job {
	j := &job{kind: kind, body: requestBody(kind, workID)}
	j.expected = expectation{workID: workID, checksum: standin.Checksum(j.body)}
	if kind.IdempotencyKey {
		// A version 7 UUID contains its time of creation, by which the proxy recognizes old keys.
		j.key = uuid.Must(uuid.NewV7()).String()
	}
	return j
}

// requestBody returns the kind's fixed text, padded to the kind's size with bytes that derive from
// the work id.
func requestBody(kind *Kind, workID string) []byte {
	b := []byte(kind.Body)
	if n := kind.BodyBytes - len(b); n > 0 {
		b = append(b, standin.Body("request "+workID, n)...)
	}
	return b
}

// send makes one attempt and checks its answer.
func (s *sender) send(j *job) attempt {
	a := attempt{target: s.targets[(s.next.Add(1)-1)%uint64(len(s.targets))], sentAt: time.Now()}
	req, err := s.newRequest(j, a.target)
	if err != nil {
		a.verdict = faultVerdict(FaultTransport, "%w", err)
		return a
	}
	client := s.client
	if j.kind.ReadRate > 0 {
		client = s.slowClient
	}
	resp, err := client.Do(req)
	if err != nil {
		a.latency = time.Since(a.sentAt)
		a.verdict = faultVerdict(FaultTransport, "%w", err)
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	a.requestID = resp.Header.Get(standin.HeaderRequestID)
	body, size, err := readBody(resp, j.kind.ReadRate)
	a.latency = time.Since(a.sentAt)
	if err != nil {
		a.verdict = faultVerdict(FaultCut, "the answer broke off after %d bytes: %w", size, err)
		return a
	}
	a.verdict = check(&j.expected, &answer{resp.StatusCode, resp.Header, body}, s.direct)
	return a
}

// maxKeptBody bounds the bytes that are kept of a body. An upstream in trouble may announce any size.
const maxKeptBody = 128 << 20

// readBody reads the body of an answer to its end and returns its size. It keeps no more bytes than one over the
// size that the upstream has announced, by which check sees that there are too many. A rate above 0 is how many bytes
// it reads per second.
func readBody(resp *http.Response, rate int64) (kept []byte, size int64, err error) {
	announced, err := strconv.ParseInt(resp.Header.Get(standin.HeaderBodyBytes), 10, 64)
	if err != nil {
		announced = 0
	}
	var body io.Reader = resp.Body
	if rate > 0 {
		body = &slowReader{from: body, rate: rate}
	}
	kept, err = io.ReadAll(io.LimitReader(body, min(max(announced, 0)+1, maxKeptBody)))
	size = int64(len(kept))
	if err == nil {
		var rest int64
		rest, err = io.Copy(io.Discard, body)
		size += rest
	}
	return kept, size, err
}

// slowReader reads at a rate in bytes per second.
type slowReader struct {
	from io.Reader
	rate int64
	left int64 // bytes that may be read before the next pause
}

// Read implements io.Reader.
func (r *slowReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		time.Sleep(slowReadInterval)
		r.left = max(1, r.rate*int64(slowReadInterval)/int64(time.Second))
	}
	n, err := r.from.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

func (s *sender) newRequest(j *job, target string) (*http.Request, error) {
	// net/http resends a request after a lost connection if the request has no body or one that can
	// be rewound, and is a GET or carries an Idempotency-Key. A body that can't be rewound prevents
	// this, even if it is empty.
	body := io.NopCloser(bytes.NewReader(j.body))
	req, err := http.NewRequestWithContext(context.Background(), j.kind.Method, "http://"+target+j.kind.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(j.body))
	if j.kind.Host != "" {
		req.Host = j.kind.Host
	}
	h := req.Header
	h.Set(standin.HeaderWorkID, j.expected.workID)
	if j.key != "" {
		h.Set(standin.HeaderKey, j.key)
	}
	if j.kind.Caller != "" {
		h.Set(headerCaller, j.kind.Caller)
	}
	if j.kind.CustomerKey != "" {
		h.Set(headerCustomerKey, j.kind.CustomerKey)
	}
	if j.kind.TimeoutMs > 0 {
		h.Set(headerTimeoutMs, strconv.FormatInt(j.kind.TimeoutMs, 10))
	}
	if s.direct {
		j.expected.requestID = uuid.Must(uuid.NewV7()).String()
		h.Set(standin.HeaderRequestID, j.expected.requestID)
	}
	return req, nil
}
