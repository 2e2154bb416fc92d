package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// Times of the case "unfounded", from the start of the first machines.
const (
	lostAt    = 150 * time.Millisecond // two seeds lose their power and their disks
	lastStart = 280 * time.Millisecond // of the third seed; all machines start within 0.3 s
	backAt    = 2 * time.Second
	// askFrom is when the operator begins: contact_ms and catch_up_s after the machines are back.
	askFrom = backAt + 4*time.Second
	askFor  = 75 * time.Second
	trialAt = 8 * time.Second // traffic, as on the sheet
)

// runUnfounded plays the loss of two core machines with their disks during the first start of the system.
func runUnfounded(r *record, trouble bool) (int, error) {
	f, err := newFleet(5, []string{firstService, firstService})
	if err != nil {
		return exitNotRun, err
	}
	defer f.stop(false)
	began := time.Now()
	for _, m := range f.machines()[1:] {
		if err := m.start(); err != nil {
			return exitNotRun, err
		}
	}
	r.add("all machines but %s are started", f.cores[0].ip)
	time.Sleep(time.Until(began.Add(lostAt)))
	if trouble {
		for _, m := range f.cores[1:3] {
			m.kill()
			os.RemoveAll(m.dataDir())
			if err := os.MkdirAll(m.dataDir(), 0o755); err != nil {
				return exitNotRun, err
			}
			r.add("%s has lost its power and its disk", m.ip)
		}
	}
	time.Sleep(time.Until(began.Add(lastStart)))
	if err := f.cores[0].start(); err != nil {
		return exitNotRun, err
	}
	r.add("%s is started", f.cores[0].ip)
	if err := f.laterSettings(); err != nil {
		return exitNotRun, err
	}
	time.Sleep(time.Until(began.Add(backAt)))
	if trouble {
		for _, m := range f.cores[1:3] {
			if err := m.start(); err != nil {
				return exitNotRun, err
			}
			r.add("%s is back", m.ip)
		}
	}
	for i, m := range f.sides {
		u, err := newUpstream(m, fmt.Sprintf("i-7f3a91c%d", i), 5, func(_ *upstream, x *exchange) bool {
			if !x.expected() {
				return x.wrongInstance()
			}
			return x.readBody() == nil && x.answer(http.StatusOK, bodyOf(x.id, 200))
		})
		if err != nil {
			return exitNotRun, err
		}
		defer u.close()
		go u.announce()
	}
	time.Sleep(time.Until(began.Add(askFrom)))
	acked := make(chan time.Duration, 1)
	asked := time.Now()
	go func() {
		defer close(acked)
		status, answer, err := f.replace(document(1, 0, []string{firstService}, firstRoutes), askFor)
		r.add("operator: config.replace of 00000001: status %d %s, %v", status, answer, err)
		if err == nil && status == http.StatusOK {
			acked <- time.Since(asked)
		}
	}()
	time.Sleep(time.Until(began.Add(trialAt)))
	sent, served := playCallers(r, f.sides, askFor-2*time.Second)
	took, ok := <-acked
	if ok {
		r.say("the first configuration was acknowledged after %.3f s; %d of %d requests served", took.Seconds(), served, sent)
		return exitHeld, nil
	}
	r.say("Fault: no request of %d is served in %.0f s; the first configuration was not acknowledged in %.0f s", sent, (askFor - 2*time.Second).Seconds(), askFor.Seconds())
	return exitBroken, nil
}
