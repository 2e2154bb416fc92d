// Package client is the Go client of the resource API. It follows redirects to
// the leader of the control group and tries other members when one does not
// respond. It resends a write under the same change id, so that the write takes
// effect at most once.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/godwithub/godwithub/control/apiv1"
)

const (
	// headerTimeout bounds the wait for the response header. It exceeds the time
	// that a server may take to commit a write before it responds.
	headerTimeout = 15 * time.Second
	dialTimeout   = 3 * time.Second
	maxRedirects  = 4
	// backoffMin and backoffMax bound the delay before the next attempt.
	backoffMin = 100 * time.Millisecond
	backoffMax = 2 * time.Second
	// maxErrorBodyBytes bounds how much of an error response's body is read.
	maxErrorBodyBytes = 64 << 20
)

// Config holds the addresses and credentials for the control group's API.
type Config struct {
	// Servers are the API addresses of members, as host:port.
	Servers []string
	// TLS has to trust the fleet's certificate authority; see keys.APIClient.
	TLS   *tls.Config
	Token string
	// RetryFor bounds how long a call is retried before it fails with an
	// UnreachableError. 0 means 30 s.
	RetryFor time.Duration
}

// Client calls the resource API. Its methods are safe for concurrent use.
type Client struct {
	servers  []*url.URL
	token    string
	retryFor time.Duration
	http     *http.Client

	mu sync.Mutex
	// leader is the server that gave the last response. It is nil before the first
	// response and after a failed attempt.
	leader     *url.URL
	nextServer int // index in servers, modulo its length, of the server to try when leader is nil
}

// UnreachableError is returned when no member gave a final response in time.
type UnreachableError struct {
	// ChangeID is the change id of a write, which may have taken effect. Repeating
	// the call with this id returns its result. Empty for a read.
	ChangeID string
	Last     error // the error of the last attempt
}

// Error implements error.
func (e *UnreachableError) Error() string {
	if e.ChangeID == "" {
		return fmt.Sprintf("client: no response from the control group: %v", e.Last)
	}
	return fmt.Sprintf("client: no response from the control group, change %s may have taken effect: %v", e.ChangeID, e.Last)
}

// Unwrap returns the error of the last attempt.
func (e *UnreachableError) Unwrap() error { return e.Last }

// New returns a client. It opens no connection before the first call.
func New(c Config) (*Client, error) {
	if len(c.Servers) == 0 {
		return nil, errors.New("client: no server address is given")
	}
	if c.RetryFor == 0 {
		c.RetryFor = 30 * time.Second
	}
	out := &Client{token: c.Token, retryFor: c.RetryFor}
	for _, s := range c.Servers {
		u, err := parseServer(s)
		if err != nil {
			return nil, err
		}
		out.servers = append(out.servers, u)
	}
	out.http = &http.Client{
		Transport: &http.Transport{
			TLSClientConfig:       c.TLS,
			DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
			TLSHandshakeTimeout:   dialTimeout,
			ResponseHeaderTimeout: headerTimeout,
			MaxIdleConnsPerHost:   4,
			IdleConnTimeout:       time.Minute,
		},
		// When net/http follows a redirect to another host, it drops the Authorization
		// header. send follows redirects instead.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return out, nil
}

// parseServer accepts host:port and https://host:port, and http://host:port for
// loopback addresses only, because a token must not be sent unencrypted.
func parseServer(s string) (*url.URL, error) {
	if !strings.Contains(s, "://") {
		s = "https://" + s
	}
	u, err := url.Parse(s)
	if err != nil || u.Port() == "" || (u.Path != "" && u.Path != "/") {
		return nil, fmt.Errorf("client: server %q is not host:port", s)
	}
	if err := checkScheme(u); err != nil {
		return nil, err
	}
	return &url.URL{Scheme: u.Scheme, Host: u.Host}, nil
}

func checkScheme(u *url.URL) error {
	ip := net.ParseIP(u.Hostname())
	if u.Scheme == "https" || (u.Scheme == "http" && ip != nil && ip.IsLoopback()) {
		return nil
	}
	return fmt.Errorf("client: server %s would be reached without TLS", u)
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// apiCall is one call of the API, which may take several attempts.
type apiCall struct {
	method, path string
	query        url.Values
	body         []byte
	contentType  string
	changeID     string
	// decode reads the body of a successful response. If it fails, the call is
	// attempted again and decode is called again.
	decode func(io.Reader) error
}

// NewChangeID returns a fresh change id.
func NewChangeID() string { return uuid.Must(uuid.NewV7()).String() }

// do attempts call until it has a final response: success, or an *apiv1.Error
// that another attempt would not change.
func (c *Client) do(ctx context.Context, call *apiCall) error {
	ctx, cancel := context.WithTimeout(ctx, c.retryFor)
	defer cancel()
	backoff := backoffMin
	var lastErr error
	for {
		resp, err := c.send(ctx, call)
		if err == nil {
			err = c.readResponse(resp, call)
		}
		if err == nil || isFinal(err) {
			return err
		}
		if lastErr == nil || ctx.Err() == nil {
			lastErr = err
		}
		wait := max(retryDelay(err), backoff/2+rand.N(backoff))
		backoff = min(2*backoff, backoffMax)
		select {
		case <-ctx.Done():
			return &UnreachableError{call.changeID, lastErr}
		case <-time.After(wait):
		}
	}
}

// isFinal reports whether another attempt would get the same response.
func isFinal(err error) bool {
	var e *apiv1.Error
	return errors.As(err, &e) && e.Status != http.StatusServiceUnavailable
}

// retryAfterError is an error response with a Retry-After header: the delay that
// the server asks for before the next attempt.
type retryAfterError struct {
	error
	delay time.Duration
}

func (t *retryAfterError) Unwrap() error { return t.error }

func retryDelay(err error) time.Duration {
	var t *retryAfterError
	if errors.As(err, &t) {
		return t.delay
	}
	return 0
}

// readResponse decodes a successful response to call and returns the error of
// any other.
func (c *Client) readResponse(resp *http.Response, call *apiCall) error {
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		return readError(resp)
	}
	if err := call.decode(http.MaxBytesReader(nil, resp.Body, apiv1.MaxSnapshotBytes)); err != nil {
		return fmt.Errorf("client: response: %w", err)
	}
	return nil
}

func readError(resp *http.Response) error {
	e := &apiv1.Error{}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if err != nil {
		return fmt.Errorf("client: response %s: %w", resp.Status, err)
	}
	if json.Unmarshal(b, e) != nil || e.Code == "" {
		e = &apiv1.Error{Code: apiv1.CodeInternal, Message: "response " + resp.Status + " without an error of this API"}
	}
	e.Status = resp.StatusCode
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		return &retryAfterError{e, time.Duration(seconds) * time.Second}
	}
	return e
}

// errMalformed means that a response is outside HTTP. The change may have been made.
var errMalformed = errors.New("malformed response")

// checkHead returns an error, and closes resp, if its status or version is outside HTTP. The HTTP client accepts
// every status of three digits.
func checkHead(resp *http.Response) error {
	if resp.StatusCode >= http.StatusOK && resp.StatusCode <= 599 && (resp.ProtoMajor == 1 || resp.TLS != nil && resp.ProtoMajor == 2) {
		return nil
	}
	resp.Body.Close()
	return fmt.Errorf("%w: %s %.32q", errMalformed, resp.Proto, resp.Status)
}

// send makes one attempt at call, following redirects.
func (c *Client) send(ctx context.Context, call *apiCall) (*http.Response, error) {
	server := c.targetServer()
	for range maxRedirects {
		resp, err := c.sendTo(ctx, server, call)
		if err == nil {
			err = checkHead(resp)
		}
		if err != nil {
			c.forgetLeader()
			return nil, fmt.Errorf("client: %w", err)
		}
		if resp.StatusCode != http.StatusTemporaryRedirect {
			if resp.StatusCode == http.StatusServiceUnavailable {
				c.forgetLeader()
			} else {
				c.rememberLeader(server)
			}
			return resp, nil
		}
		resp.Body.Close()
		location, err := resp.Location()
		if err != nil {
			return nil, fmt.Errorf("client: redirect: %w", err)
		}
		if err := checkScheme(location); err != nil {
			return nil, err
		}
		server = &url.URL{Scheme: location.Scheme, Host: location.Host}
	}
	c.forgetLeader()
	return nil, errors.New("client: members redirect to each other; they may be electing a leader")
}

func (c *Client) sendTo(ctx context.Context, server *url.URL, call *apiCall) (*http.Response, error) {
	u := *server
	u.Path, u.RawQuery = call.path, call.query.Encode()
	r, err := http.NewRequestWithContext(ctx, call.method, u.String(), bytes.NewReader(call.body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	if call.contentType != "" {
		r.Header.Set("Content-Type", call.contentType)
	}
	if call.changeID != "" {
		r.Header.Set(apiv1.HeaderChangeID, call.changeID)
	}
	return c.http.Do(r)
}

func (c *Client) targetServer() *url.URL {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != nil {
		return c.leader
	}
	return c.servers[c.nextServer%len(c.servers)]
}

func (c *Client) rememberLeader(server *url.URL) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = server
}

// forgetLeader makes the next attempt go to another configured server.
func (c *Client) forgetLeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = nil
	c.nextServer++
}
