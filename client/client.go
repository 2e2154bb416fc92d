// Package client is the Go client of the resource API. It follows redirects to
// the leader of the control group, tries other members when one does not
// answer, and resends writes under the same change id, so that a write takes
// effect once at most however often it is sent.
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
	// headerTimeout bounds the wait for the head of an answer. It exceeds the
	// time for which a server holds a write.
	headerTimeout = 15 * time.Second
	dialTimeout   = 3 * time.Second
	maxRedirects  = 4
	// backoffMin and backoffMax bound the pause before the next attempt.
	backoffMin = 100 * time.Millisecond
	backoffMax = 2 * time.Second
	// maxErrorBytes bounds the body of an error that is read.
	maxErrorBytes = 64 << 20
)

// Config says how to reach the control group.
type Config struct {
	// Servers are the API addresses of members, as host:port.
	Servers []string
	// TLS trusts the fleet's authority, see keys.APIClient.
	TLS   *tls.Config
	Token string
	// RetryFor bounds how long a call tries to get an answer. 0: 30 s.
	RetryFor time.Duration
}

// Client calls the resource API. Its methods are safe for concurrent use.
type Client struct {
	servers  []*url.URL
	token    string
	retryFor time.Duration
	http     *http.Client

	mu sync.Mutex
	// leader is where the last answer came from; nil if that is not known.
	leader *url.URL
	next   int // server to try when no leader is known
}

// UnreachableError says that no member gave a final answer in time.
type UnreachableError struct {
	// ChangeID is that of a write, which may have taken effect. A call with the
	// same change id tells. Empty for a read.
	ChangeID string
	Last     error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	if e.ChangeID == "" {
		return fmt.Sprintf("client: no answer from the control group: %v", e.Last)
	}
	return fmt.Sprintf("client: no answer from the control group, change %s may have taken effect: %v", e.ChangeID, e.Last)
}

// Unwrap returns the last error.
func (e *UnreachableError) Unwrap() error { return e.Last }

// New returns a client. It connects at the first call.
func New(c Config) (*Client, error) {
	if len(c.Servers) == 0 {
		return nil, errors.New("client: no server is given")
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
		// net/http would drop the token when it follows to another host.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return out, nil
}

// parseServer accepts host:port and, on loopback only, http://host:port: a
// token must not travel in the clear.
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
	return fmt.Errorf("client: server %s is reached without TLS", u)
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call is one call of the API, in one or more attempts.
type call struct {
	method, path string
	query        url.Values
	body         []byte
	contentType  string
	changeID     string
	// accept reads the body of a successful answer. It may be called again if it
	// fails, for another attempt.
	accept func(io.Reader) error
}

// NewChangeID returns a fresh change id.
func NewChangeID() string { return uuid.Must(uuid.NewV7()).String() }

// do carries out k until it has a final answer: success, or an *apiv1.Error
// that a repetition would not change.
func (c *Client) do(ctx context.Context, k *call) error {
	ctx, cancel := context.WithTimeout(ctx, c.retryFor)
	defer cancel()
	pause := backoffMin
	var last error
	for {
		resp, err := c.send(ctx, k)
		if err == nil {
			err = c.accept(resp, k)
		}
		if err == nil || final(err) {
			return err
		}
		if last == nil || ctx.Err() == nil {
			last = err
		}
		wait := max(retryAfter(err), pause/2+rand.N(pause))
		pause = min(2*pause, backoffMax)
		select {
		case <-ctx.Done():
			return &UnreachableError{k.changeID, last}
		case <-time.After(wait):
		}
	}
}

// final reports whether another attempt would bring the same answer.
func final(err error) bool {
	var e *apiv1.Error
	return errors.As(err, &e) && e.Status != http.StatusServiceUnavailable
}

// temporary is an error that names a pause before the next attempt.
type temporary struct {
	error
	after time.Duration
}

func (t *temporary) Unwrap() error { return t.error }

func retryAfter(err error) time.Duration {
	var t *temporary
	if errors.As(err, &t) {
		return t.after
	}
	return 0
}

// accept reads the answer to k.
func (c *Client) accept(resp *http.Response, k *call) error {
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		return readError(resp)
	}
	if err := k.accept(resp.Body); err != nil {
		return fmt.Errorf("client: answer: %w", err)
	}
	return nil
}

func readError(resp *http.Response) error {
	e := &apiv1.Error{}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return fmt.Errorf("client: answer %s: %w", resp.Status, err)
	}
	if json.Unmarshal(b, e) != nil || e.Code == "" {
		e = &apiv1.Error{Code: apiv1.CodeInternal, Message: "answer " + resp.Status + " without an error of this API"}
	}
	e.Status = resp.StatusCode
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		return &temporary{e, time.Duration(seconds) * time.Second}
	}
	return e
}

// send makes one attempt and follows redirects.
func (c *Client) send(ctx context.Context, k *call) (*http.Response, error) {
	server := c.server()
	for range maxRedirects {
		resp, err := c.sendTo(ctx, server, k)
		if err != nil {
			c.forget()
			return nil, fmt.Errorf("client: %w", err)
		}
		if resp.StatusCode != http.StatusTemporaryRedirect {
			if resp.StatusCode == http.StatusServiceUnavailable {
				c.forget()
			} else {
				c.remember(server)
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
	c.forget()
	return nil, errors.New("client: members redirect to each other; they may be electing a leader")
}

func (c *Client) sendTo(ctx context.Context, server *url.URL, k *call) (*http.Response, error) {
	u := *server
	u.Path, u.RawQuery = k.path, k.query.Encode()
	r, err := http.NewRequestWithContext(ctx, k.method, u.String(), bytes.NewReader(k.body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	if k.contentType != "" {
		r.Header.Set("Content-Type", k.contentType)
	}
	if k.changeID != "" {
		r.Header.Set(apiv1.HeaderChangeID, k.changeID)
	}
	return c.http.Do(r)
}

func (c *Client) server() *url.URL {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != nil {
		return c.leader
	}
	return c.servers[c.next%len(c.servers)]
}

func (c *Client) remember(server *url.URL) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = server
}

// forget makes the next attempt go to another configured server.
func (c *Client) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = nil
	c.next++
}
