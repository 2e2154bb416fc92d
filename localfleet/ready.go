package localfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/godwithub/godwithub/node"
	"github.com/godwithub/godwithub/resource"
)

// readyPollInterval is the interval at which a node that is not ready is checked again.
const readyPollInterval = 50 * time.Millisecond

// waitReady waits until each node has a configuration and knows all upstreams of the service shop.
func (f *Fleet) waitReady(ctx context.Context) error {
	for i := range f.CallerAddrs {
		if err := retryUntilOK(ctx, func() error { return f.checkReady(i) }); err != nil {
			return err
		}
	}
	return nil
}

// WaitKeyedRequestsAnswered waits until each node answers a POST to path with an idempotency key.
// The consensus groups that store claims of keys are placed a few seconds after the nodes have
// joined.
func (f *Fleet) WaitKeyedRequestsAnswered(ctx context.Context, path string) error {
	for _, addr := range f.CallerAddrs {
		if err := retryUntilOK(ctx, func() error { return sendKeyed(addr, path) }); err != nil {
			return err
		}
	}
	return nil
}

func sendKeyed(addr, path string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Idempotency-Key", uuid.Must(uuid.NewV7()).String())
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if got := resp.Header.Get("Godwithub-Outcome"); got != "answered" {
		return fmt.Errorf("localfleet: request with an idempotency key has outcome %s (%s)", got, resp.Header.Get("Godwithub-Reason"))
	}
	return nil
}

func (f *Fleet) checkReady(i int) error {
	resp, err := http.Get("http://" + f.DebugAddr(i) + "/v1/view")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var s node.Status
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return err
	}
	if s.Config == "" || len(s.Upstreams["shop"]) != len(f.UpstreamAddrs) {
		return fmt.Errorf("localfleet: node %d knows configuration %q and %d upstreams", i+1, s.Config, len(s.Upstreams["shop"]))
	}
	return nil
}

// retryUntilOK repeats check until it succeeds. It returns the last error of check once ctx ends.
func retryUntilOK(ctx context.Context, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(readyPollInterval):
		}
	}
}

// Shop returns the configuration of a small storefront: browsing, which is idempotent, and orders,
// which are urgent and must not run twice.
func Shop() []resource.Object {
	meta := func(name string) resource.Meta { return resource.Meta{Name: name} }
	return []resource.Object{
		&resource.Rank{Meta: meta("urgent"), Level: 0},
		&resource.Rank{Meta: meta("normal"), Level: 1, Share: 0.2},
		&resource.Service{Meta: meta("shop"), Floor: 2},
		&resource.Route{Meta: meta("shop"), Host: "*", PathPrefix: "/", Service: "shop"},
		&resource.RequestKind{
			Meta: meta("browse"), Service: "shop", Method: "GET", Path: "/*", Idempotent: true, Rank: "normal",
			DeadlineMs: 2000, LatencyObjectiveMs: 100, AvailabilityObjective: 0.995, AnswerBytes: 1024,
		},
		&resource.RequestKind{
			Meta: meta("order"), Service: "shop", Method: "POST", Path: "/orders", Rank: "urgent",
			DeadlineMs: 5000, LatencyObjectiveMs: 200, AvailabilityObjective: 0.999, AnswerBytes: 1024,
		},
	}
}
