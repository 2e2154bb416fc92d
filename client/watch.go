package client

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/resource"
)

const (
	// watchIdleTimeout is how long a watch may receive nothing before the client
	// reconnects. The server sends a heartbeat every 10 s.
	watchIdleTimeout = 30 * time.Second
	// maxEventBytes bounds the length of an event, which is one line of the response.
	maxEventBytes = 1 << 20
	// reachedPollInterval is the interval at which WaitReached reads the status.
	reachedPollInterval = 200 * time.Millisecond
)

// WatchOptions are the options of a watch.
type WatchOptions struct {
	// Since is the version after which events are sent. With the zero version,
	// the full state is sent first.
	Since resource.Version
	// Reached asks for events that count the nodes by the version they have in force.
	Reached bool
}

// Watch calls handle for each event until ctx ends, handle fails or the API
// refuses the watch. After a lost connection it reconnects and resumes from the
// last version it received, so an object may be reported more than once.
func (c *Client) Watch(ctx context.Context, opts WatchOptions, handle func(apiv1.Event) error) error {
	backoff := backoffMin
	for {
		stop, err := c.watchOnce(ctx, &opts, func(e apiv1.Event) error {
			backoff = backoffMin
			return handle(e)
		})
		switch {
		case stop:
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(max(backoff, retryDelay(err))):
		}
		backoff = min(2*backoff, backoffMax)
	}
}

// watchOnce handles the events of one connection. stop tells Watch to return err
// instead of reconnecting.
func (c *Client) watchOnce(ctx context.Context, opts *WatchOptions, handle func(apiv1.Event) error) (stop bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	q := url.Values{}
	if opts.Since != (resource.Version{}) {
		q.Set("since", opts.Since.String())
	}
	if opts.Reached {
		q.Set("reached", "true")
	}
	resp, err := c.send(ctx, &apiCall{method: http.MethodGet, path: "/v1/watch", query: q})
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		err := readError(resp)
		return isFinal(err), err
	}
	idleTimer := time.AfterFunc(watchIdleTimeout, cancel)
	defer idleTimer.Stop()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		idleTimer.Reset(watchIdleTimeout)
		var e apiv1.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return false, fmt.Errorf("client: watch: %w", err)
		}
		if e.Type == apiv1.EventVersion && e.Version != nil {
			opts.Since = *e.Version
		}
		if err := handle(e); err != nil {
			return true, err
		}
	}
	return false, errors.Join(lines.Err(), io.ErrUnexpectedEOF)
}

// ErrNodesUnknown is returned by WaitReached if the control group does not know
// the nodes of the fleet.
var ErrNodesUnknown = errors.New("client: the control group does not know the nodes of the fleet")

// WaitReached returns once all nodes have version v or a newer one in force.
// progress, unless nil, is called with each status read before that.
func (c *Client) WaitReached(ctx context.Context, v resource.Version, progress func(apiv1.NodeVersions)) error {
	for {
		s, err := c.Status(ctx)
		if err != nil {
			return err
		}
		if !s.Nodes.Known {
			return ErrNodesUnknown
		}
		// s.Nodes.Reached counts the nodes at the current version, which may be newer than v.
		if countBehind(s.Nodes, v) == 0 {
			return nil
		}
		if progress != nil {
			progress(s.Nodes)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(reachedPollInterval):
		}
	}
}

// countBehind returns the number of nodes at versions below v.
func countBehind(n apiv1.NodeVersions, v resource.Version) (count int) {
	for _, at := range n.ByVersion {
		if at.Version.Less(v) {
			count += at.Nodes
		}
	}
	return count
}
