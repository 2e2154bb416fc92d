package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the case "stray", from the start of the machines.
const (
	strayAt         = 7 * time.Second // the stray announcements
	strayTrafficAt  = 8 * time.Second // as on the sheets
	strayTrafficFor = 60 * time.Second
	// strayService is a service that the configuration does not name.
	strayService = "zuvo17c"
)

// runStray plays announcements of another writer, which name a service that the configuration does not have, and the
// address of an upstream. They name no upstream to use, and the others hold.
func runStray(r *record, trouble bool) (int, error) {
	const service = "huvo11a"
	f, err := newFleet(5, []string{service, service, service})
	if err != nil {
		return exitNotRun, err
	}
	defer f.stop(false)
	began := time.Now()
	if err := f.startAll(); err != nil {
		return exitNotRun, err
	}
	routes := []routeSpec{
		{"r-safe", "ficu95.example", "/lohu930/", "safe", service, 4000, 2, 1},
		{"r-unsafe", "ficu95.example", "/pufi791/", "unsafe", service, 4000, 1, 0},
	}
	status, answer, err := f.replace(document(1, 0, []string{service}, routes), 6*time.Second)
	if err != nil || status != http.StatusOK {
		return exitNotRun, fmt.Errorf("first configuration: %d %s %w", status, answer, err)
	}
	r.add("operator: config.replace of version 00000001 acknowledged")
	var upstreams []*upstream
	for i, m := range f.sides {
		u, err := newUpstream(m, fmt.Sprintf("i-7f3a91c%d", i), 5, func(u *upstream, x *exchange) bool { return runShortWork(r, x) })
		if err != nil {
			return exitNotRun, err
		}
		defer u.close()
		upstreams = append(upstreams, u)
		go u.announce()
	}
	if err := f.awaitReady(time.Until(began.Add(strayAt))); err != nil {
		return exitNotRun, err
	}
	time.Sleep(time.Until(began.Add(strayAt)))
	for _, u := range upstreams {
		if u.acked.Load() == 0 {
			return exitNotRun, fmt.Errorf("no heartbeat of %s was acknowledged", u.id)
		}
		r.add("upstream %s of %s at %s: %d heartbeats acknowledged", u.id, u.service, u.machine.addr(portApp), u.acked.Load())
		if trouble {
			r.add("stray heartbeat at %s: status %d", u.machine.ip, sendStray(u))
		}
	}
	time.Sleep(time.Until(began.Add(strayTrafficAt)))
	sent, served := playCallers(r, f.sides, strayTrafficFor)
	acked := int64(0)
	for _, u := range upstreams {
		acked += u.acked.Load()
	}
	r.say("%d requests sent in %.0f s, %d served; %d heartbeats of the upstreams acknowledged", sent, strayTrafficFor.Seconds(), served, acked)
	switch {
	case sent < 100:
		return exitNotRun, fmt.Errorf("only %d requests were sent", sent)
	case served == 0:
		r.say("Fault: no request is served")
		return exitBroken, nil
	}
	return exitHeld, nil
}

// sendStray announces, at the machine of u, an upstream of a service that the configuration does not name, with the
// address of u. It returns the status of the answer.
func sendStray(u *upstream) int {
	body, _ := json.Marshal(map[string]any{
		"service": strayService, "address": u.machine.addr(portApp), "zone": u.machine.zone, "version": "v1", "slots": 5,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	other := &upstream{machine: u.machine, id: "i-02d9e6b4" + strings.TrimPrefix(u.id, "i-7f3a91c")}
	return other.call("instances.heartbeat", body)
}

// playCallers sends a request at each machine every 100 ms, by turns safe and unsafe, and returns how many were sent
// and how many were served.
func playCallers(r *record, machines []*machine, length time.Duration) (sent, served int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	end := time.Now().Add(length)
	for _, m := range machines {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				q := &call{id: newID("c"), method: http.MethodGet, host: "ficu95.example", target: "/lohu930/2f", deadline: 4 * time.Second}
				if n%2 == 1 {
					q.method, q.target, q.body = http.MethodPost, "/pufi791/2f", []byte("one order")
				}
				callers.Go(func() {
					r.add("caller at %s sends %s %s %s", m.ip, q.id, q.method, q.target)
					reply := callOnce(m, q)
					r.add("caller gets for %s: status %d, stamp %q, complete %t, error %v", q.id, reply.status, reply.header.Get("X-Server-Stamp"), reply.complete, reply.err)
					mu.Lock()
					defer mu.Unlock()
					sent++
					if reply.status == http.StatusOK && reply.complete && reply.header.Get("X-Server-Stamp") != "" {
						served++
					}
				})
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	return sent, served
}

// callOnce sends a request over a new connection.
func callOnce(m *machine, q *call) *reply {
	c, err := dialNode(m)
	if err != nil {
		return &reply{err: err}
	}
	defer c.Close()
	reply, _ := c.do(q)
	return reply
}
