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
	// silence is how long a watch may bring nothing before it is opened anew.
	// Heartbeats come every 10 s.
	silence = 30 * time.Second
	// maxEventBytes bounds one line of a watch.
	maxEventBytes = 1 << 20
	// reachedPoll is the interval at which WaitReached asks.
	reachedPoll = 200 * time.Millisecond
)

// WatchOptions are the options of a watch.
type WatchOptions struct {
	// Since is the version after which events are wanted. The zero version
	// brings the full state first.
	Since resource.Version
	// Reached asks for reports of the versions that nodes have reached.
	Reached bool
}

// Watch calls handle for each event until ctx ends, handle fails or the API
// refuses the watch. It connects again after a break and resumes from the last
// version, so an object may be reported more than once.
func (c *Client) Watch(ctx context.Context, opts WatchOptions, handle func(apiv1.Event) error) error {
	pause := backoffMin
	for {
		stop, err := c.watchOnce(ctx, &opts, func(e apiv1.Event) error {
			pause = backoffMin
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
		case <-time.After(max(pause, retryAfter(err))):
		}
		pause = min(2*pause, backoffMax)
	}
}

// watchOnce follows one connection. stop says that another would not help.
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
	resp, err := c.send(ctx, &call{method: http.MethodGet, path: "/v1/watch", query: q})
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		err := readError(resp)
		return final(err), err
	}
	quiet := time.AfterFunc(silence, cancel)
	defer quiet.Stop()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		quiet.Reset(silence)
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

// ErrNodesUnknown says that the control group does not know the nodes.
var ErrNodesUnknown = errors.New("client: the control group does not know which nodes there are")

// WaitReached returns once all nodes have version v in force. progress, unless
// nil, is called with each state in between.
func (c *Client) WaitReached(ctx context.Context, v resource.Version, progress func(apiv1.Nodes)) error {
	for {
		s, err := c.Status(ctx)
		if err != nil {
			return err
		}
		if !s.Nodes.Known {
			return ErrNodesUnknown
		}
		// The status counts against its own version, which may be newer.
		if behind(s.Nodes, v) == 0 {
			return nil
		}
		if progress != nil {
			progress(s.Nodes)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(reachedPoll):
		}
	}
}

// behind counts the nodes at versions below v.
func behind(n apiv1.Nodes, v resource.Version) (count int) {
	for _, at := range n.ByVersion {
		if at.Version.Less(v) {
			count += at.Nodes
		}
	}
	return count
}
