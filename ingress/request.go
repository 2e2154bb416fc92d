package ingress

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/dispatch"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/reqbody"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

const (
	maxKeyLength = 255
	maxTimeoutMs = 600_000
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes = 64 << 10
)

// request is a caller's request that has been parsed and matched to its kind.
type request struct {
	id    string
	began time.Time
	// target is the path and query as the caller sent them.
	target  string
	service *resource.Service
	kind    *resource.RequestKind
	level   int
	caller  string
	// customer is the customer whose key the request has, or nil.
	customer *resource.Customer
	// parent is the run on this VM that made the request, or nil.
	parent *dispatch.RunningRequest
	// shedHash decides whether an admission threshold that refuses a share of the work refuses this
	// request. It is a hash of the request id and not of the caller: if there is only one caller,
	// either all or none of the work would be refused.
	shedHash    uint64
	key         string
	deadline    time.Time
	body        *reqbody.Body
	conn        *http.ResponseController // of a request with a body
	fingerprint uint64
	// origin is the service of the VM where the request came in.
	origin string
	http   *http.Request
}

// refusal is the error of a request that is refused before any attempt.
type refusal struct {
	reason  outcome.Reason
	message string // names the invalid field
	// retryAfter is when the caller may return; 0: defaultRetryAfter.
	retryAfter time.Duration
}

// Error implements error.
func (r *refusal) Error() string { return string(r.reason) + ": " + r.message }

// maxMessageBytes bounds the message of a refusal, which may quote the request. It is logged and kept in the
// trace of the request.
const maxMessageBytes = 512

func refuse(reason outcome.Reason, format string, args ...any) error {
	message := fmt.Sprintf(format, args...)
	if len(message) > maxMessageBytes {
		message = strings.ToValidUTF8(message[:maxMessageBytes], "") + "..."
	}
	return &refusal{reason: reason, message: message}
}

// newRequestID returns a UUIDv7, which carries the time of the request.
func newRequestID() string { return uuid.Must(uuid.NewV7()).String() }

// parse validates the head of a caller's request and matches it to its kind. The id of
// the returned request is set even if parse returns a refusal.
func (in *Ingress) parse(v *board.View, r *http.Request, now time.Time) (*request, error) {
	rq := &request{began: now, http: r, target: targetOf(r), origin: in.cfg.Origin, body: &reqbody.Body{}}
	if err := rq.setID(in.cfg.CallerProtocol.RequestID); err != nil {
		return rq, err
	}
	rq.parent = in.parentOf(rq.id)
	if err := in.checkServing(v, rq.parent); err != nil {
		return rq, err
	}
	route, err := rq.match(v.Config)
	if err != nil {
		return rq, err
	}
	if err := rq.readHeaders(&in.cfg.CallerProtocol); err != nil {
		return rq, err
	}
	if !in.inFlight.endsInTime(rq.deadline) {
		return rq, refuse(outcome.ReasonDraining, "the node may end before the request does")
	}
	return rq, rq.authenticate(v.Config, route, in.cfg.CallerProtocol.Credential)
}

// checkServing refuses requests while the node does not serve any. A call is served as long as its parent runs, which
// would fail without it.
func (in *Ingress) checkServing(v *board.View, parent *dispatch.RunningRequest) error {
	refusesNew := in.inFlight.isClosed() || v.Leaving && !in.cfg.LameDuck
	switch {
	case refusesNew && parent == nil:
		return refuse(outcome.ReasonDraining, "the node is leaving")
	case !isConfigured(v):
		return refuse(outcome.ReasonNoConfiguration, "the node has no configuration yet")
	}
	return nil
}

// setID sets the id of the request from the header with that name, or generates one if the name is
// empty.
func (rq *request) setID(header string) error {
	if header == "" {
		rq.id = newRequestID()
	} else if rq.id = rq.http.Header.Get(header); rq.id == "" || len(rq.id) > maxKeyLength {
		return refuse(outcome.ReasonBadRequest, "%s: not 1 to %d characters", header, maxKeyLength)
	}
	rq.shedHash = xxhash.Sum64String(rq.id)
	return nil
}

// match sets the service, kind and level of the request, and returns its route.
func (rq *request) match(c *resource.Config) (*resource.Route, error) {
	route, err := findRoute(c, rq.http, pathOf(rq.target))
	if err != nil {
		return nil, err
	}
	return route, rq.matchService(c, route, route.ChooseService(rand.Float64()))
}

func findRoute(c *resource.Config, r *http.Request, path string) (*resource.Route, error) {
	route := c.Route(r.Host, path)
	if route == nil {
		return nil, refuse(outcome.ReasonNoRoute, "no route for host %q and path %q", r.Host, path)
	}
	return route, nil
}

// targetOf returns the path and query of a request as the caller sent them. An upstream may tell targets apart that a
// parser takes for the same, such as an encoded slash and a plain one.
func targetOf(r *http.Request) string {
	target := r.RequestURI
	if r.URL.IsAbs() {
		_, rest, _ := strings.Cut(target, "://")
		slash := strings.IndexAny(rest, "/?")
		if slash < 0 || rest[slash] == '?' {
			target = ""
		} else {
			target = rest[slash:]
		}
	}
	if !strings.HasPrefix(target, "/") {
		return r.URL.RequestURI()
	}
	return target
}

// pathOf returns the path of a target.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// matchService sets the service, kind and level of a request that goes to a service of its route.
func (rq *request) matchService(c *resource.Config, route *resource.Route, service string) error {
	r := rq.http
	rq.service = c.Services[service]
	if rq.service == nil {
		return refuse(outcome.ReasonNoRoute, "the service of route %s does not exist", route.Name)
	}
	rq.kind = c.PolicyKind(route)
	if rq.kind == nil {
		rq.kind = c.Kind(rq.service.Name, r.Method, pathOf(rq.target))
	}
	if rq.kind == nil {
		return refuse(outcome.ReasonNoKind, "service %s has no request kind for %s %q", rq.service.Name, r.Method, pathOf(rq.target))
	}
	if rank := c.Ranks[rq.kind.Rank]; rank != nil {
		rq.level = rank.Level
	}
	return nil
}

func (rq *request) readHeaders(names *Protocol) error {
	h := rq.http.Header
	rq.caller = headerValue(h, names.Caller)
	if rq.caller == "" {
		// Callers that send no name are told apart by their IP address.
		rq.caller, _, _ = net.SplitHostPort(rq.http.RemoteAddr)
	} else if !resource.ValidName(rq.caller) {
		return refuse(outcome.ReasonBadRequest, "%s: not 1 to 63 lower-case letters, digits and inner dashes", names.Caller)
	}
	if names.Key != "" && len(h.Values(names.Key)) > 1 {
		return refuse(outcome.ReasonBadRequest, "%s: given %d times", names.Key, len(h.Values(names.Key)))
	}
	rq.key = headerValue(h, names.Key)
	if !validKey(rq.key) {
		return refuse(outcome.ReasonBadRequest, "%s: not up to %d printable ASCII characters", names.Key, maxKeyLength)
	}
	timeout, err := names.timeout(h)
	if err != nil {
		return err
	}
	if deadline := time.Duration(rq.kind.DeadlineMs) * time.Millisecond; timeout == 0 || timeout > deadline {
		timeout = deadline
	}
	rq.deadline = rq.began.Add(timeout)
	return nil
}

// timeout returns the timeout that the caller asked for, or 0 if it sent none.
func (names *Protocol) timeout(h http.Header) (time.Duration, error) {
	s := headerValue(h, names.TimeoutMs)
	if s == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeoutMs {
		return 0, refuse(outcome.ReasonBadRequest, "%s: %q is not a number from 1 to %d", names.TimeoutMs, s, maxTimeoutMs)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// headerValue returns the value of the header called name, or "" if name is empty.
func headerValue(h http.Header, name string) string {
	if name == "" {
		return ""
	}
	return h.Get(name)
}

func validKey(s string) bool {
	if len(s) > maxKeyLength {
		return false
	}
	for i := range len(s) {
		if s[i] < 0x21 || s[i] > 0x7e {
			return false
		}
	}
	return true
}

// defaultMaxBodyBytes is the largest request body where the configuration has no limit, in bytes.
const defaultMaxBodyBytes = 1 << 20

// maxBodyBytes returns the largest body that a request may have, in bytes.
func maxBodyBytes(c *resource.Config) int64 {
	if c.Limits == nil || c.Limits.MaxBodyBytes == 0 {
		return defaultMaxBodyBytes
	}
	return c.Limits.MaxBodyBytes
}

// readBody reads the body, or the start of one that is too large to be held. The rest of such a body is
// read until the deadline.
func (in *Ingress) readBody(v *board.View, rq *request, w http.ResponseWriter) error {
	limit := maxBodyBytes(v.Config)
	if rq.http.ContentLength > limit {
		return refuse(outcome.ReasonTooLarge, "body of %d bytes is over %d", rq.http.ContentLength, limit)
	}
	if rq.http.Body != nil && rq.http.Body != http.NoBody {
		// Writers that support no deadlines, as in tests, read from memory.
		rq.conn = http.NewResponseController(w)
		rq.conn.SetReadDeadline(rq.deadline)
		if err := rq.holdBody(limit, in.bodies); err != nil {
			return err
		}
		if rq.body.Whole() {
			// The server goes on reading, to notice when the caller leaves.
			rq.conn.SetReadDeadline(time.Time{})
		}
	}
	rq.fingerprint = rq.contentHash()
	return nil
}

// releaseBody gives the memory of the body back.
func (rq *request) releaseBody() { rq.body.Release() }

func (rq *request) holdBody(limit int64, budget *reqbody.Budget) error {
	body, err := reqbody.Read(http.MaxBytesReader(nil, rq.http.Body, limit), rq.http.ContentLength, budget)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(outcome.ReasonTooLarge, "body is over %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(outcome.ReasonDeadline, "the body did not arrive before the deadline")
	case err != nil:
		return refuse(outcome.ReasonBadRequest, "body: %v", err)
	}
	rq.body = body
	return nil
}

// contentHash returns a hash of the request's kind, URI and body, of which only the start counts if it
// is not held as a whole. It is the same when the caller sends the request again.
func (rq *request) contentHash() uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(rq.kind.Name)
	d.WriteString("\x00")
	d.WriteString(rq.target)
	d.WriteString("\x00")
	held := rq.body.Held()
	if !rq.body.Whole() {
		held = held[:reqbody.MinHeld]
	}
	d.Write(held)
	return d.Sum64()
}

// head returns the head of an attempt at the request. retry marks it as a retry.
func (rq *request) head(attemptID string, u *board.Upstream, retry bool, now time.Time) *wire.AttemptHead {
	head := &wire.AttemptHead{
		AttemptID:   attemptID,
		RequestID:   rq.id,
		Service:     rq.service.Name,
		Kind:        rq.kind.Name,
		Upstream:    string(u.ID),
		Caller:      rq.caller,
		Key:         rq.key,
		RemainingMs: rq.deadline.Sub(now).Milliseconds(),
		Method:      rq.http.Method,
		Target:      rq.target,
		Host:        rq.http.Host,
		Headers:     dispatch.EndToEnd(rq.http.Header),
		BodyBytes:   rq.body.Length(),
		Streamed:    !rq.body.Whole(),
		Retry:       retry,
		Fingerprint: rq.fingerprint,
		Idempotent:  rq.kind.Idempotent,
		Origin:      rq.origin,
		Customer:    rq.customerName(),
	}
	if rq.parent != nil {
		head.Parent = rq.parent.AsParent(now)
	}
	return head
}
