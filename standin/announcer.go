package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// Announcement is what an upstream announces to its node.
type Announcement struct {
	Service     string `json:"service"`
	Addr        string `json:"addr"`  // IP:port
	Slots       int    `json:"slots"` // largest number of requests that run at once
	Connections int    `json:"connections"`
	LeaseMs     int64  `json:"leaseMs"`
	Draining    bool   `json:"draining"`
	WarmMs      int64  `json:"warmMs"` // remaining time of the cold start
}

// AnnouncementReply is the node's reply to an Announcement.
type AnnouncementReply struct {
	LeaseMs int64 `json:"leaseMs"` // the granted lease
}

const (
	// announceTimeout is the timeout of one announcement.
	announceTimeout = 2 * time.Second
	// announceRetry is the wait after a failed announcement. It is short enough that a restarted node
	// has its upstreams back before their leases would expire.
	announceRetry = 250 * time.Millisecond
)

// announcer announces an upstream to its node and renews the lease.
type announcer struct {
	standin  *Standin
	client   *http.Client
	url      string
	wake     chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
	loopDone sync.WaitGroup
}

func newAnnouncer(u *Standin) *announcer {
	ctx, cancel := context.WithCancel(context.Background())
	return &announcer{
		standin: u,
		client:  &http.Client{Timeout: announceTimeout},
		url:     "http://" + u.settings.AnnounceAddr + "/v1/upstreams/" + url.PathEscape(u.settings.ID),
		wake:    make(chan struct{}, 1),
		ctx:     ctx,
		cancel:  cancel,
	}
}

func (a *announcer) start() {
	if a.standin.settings.AnnounceAddr == "" {
		return
	}
	a.loopDone.Add(1)
	go a.loop()
}

// announceNow makes the loop announce at once.
func (a *announcer) announceNow() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// stop stops announcing and withdraws the upstream from its node.
func (a *announcer) stop() {
	a.cancel()
	a.loopDone.Wait()
	if a.standin.settings.AnnounceAddr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if _, err := a.send(ctx, http.MethodDelete, nil); err != nil {
		a.standin.log.Warn("announcement not withdrawn", "error", err)
	}
}

func (a *announcer) loop() {
	defer a.loopDone.Done()
	failing := false
	for {
		wait := a.standin.settings.Lease / 3
		lease, err := a.announce()
		switch {
		case err != nil:
			wait = min(wait, announceRetry)
			if !failing {
				a.standin.log.Warn("announcement failed", "error", err)
			}
		case lease > 0:
			wait = min(wait, lease/3)
		}
		if failing && err == nil {
			a.standin.log.Info("announcement succeeds again")
		}
		failing = err != nil
		select {
		case <-a.ctx.Done():
			return
		case <-a.wake:
		case <-time.After(wait):
		}
	}
}

// announce announces once and returns the granted lease.
func (a *announcer) announce() (time.Duration, error) {
	u := a.standin
	if faults, _ := u.currentFaults(); faults.SilentAnnounce {
		return 0, nil
	}
	b, err := json.Marshal(Announcement{
		Service: u.settings.Service, Addr: u.announcedAddr(),
		Slots: u.settings.Slots, Connections: u.settings.Connections,
		LeaseMs: u.settings.Lease.Milliseconds(), Draining: u.Draining(),
		WarmMs: u.coldStartRemaining().Milliseconds(),
	})
	if err != nil {
		return 0, fmt.Errorf("standin: announce: %w", err)
	}
	reply, err := a.send(a.ctx, http.MethodPut, b)
	if err != nil {
		return 0, err
	}
	var r AnnouncementReply
	if err := json.Unmarshal(reply, &r); err != nil {
		return 0, fmt.Errorf("standin: announce: reply: %w", err)
	}
	return time.Duration(r.LeaseMs) * time.Millisecond, nil
}

func (a *announcer) send(ctx context.Context, method string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, a.url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("standin: announce: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("standin: announce: %w", err)
	}
	defer resp.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil {
		return nil, fmt.Errorf("standin: announce: %w", err)
	}
	if resp.StatusCode/100 != 2 {
		return nil, fmt.Errorf("standin: announce: status %d: %s", resp.StatusCode, bytes.TrimSpace(reply))
	}
	return reply, nil
}
