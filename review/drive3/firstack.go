package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// firstAckFor is how long the operator sends the first configuration again until it is acknowledged.
	firstAckFor = 10 * time.Second
	// firstAckEvery is the time between two of these calls.
	firstAckEvery = 20 * time.Millisecond
)

// runFirstAck plays the loss of two disks right after the first configuration was acknowledged. Without the trouble, no
// disk is lost.
func runFirstAck(r *record, trouble bool) (int, error) {
	f, err := newFleet(5, nil)
	if err != nil {
		return exitNotRun, err
	}
	defer f.stop(false)
	if err := f.startAll(); err != nil {
		return exitNotRun, err
	}
	r.add("five core machines are started")
	began := time.Now()
	acked, err := f.firstAck(r)
	if err != nil {
		return exitNotRun, err
	}
	r.say("the first configuration is acknowledged %.3f s after the start", time.Since(began).Seconds())
	if err := f.laterSettings(); err != nil {
		return exitNotRun, err
	}
	if trouble {
		var lost []*machine // two seeds that did not acknowledge
		for _, m := range f.cores[:3] {
			if m != acked && len(lost) < 2 {
				lost = append(lost, m)
			}
		}
		f.loseDisks(r, lost)
	}
	return f.checkReadable(r, 1)
}

// firstAck sends the first configuration until it is acknowledged, and returns the machine that did so.
func (f *fleet) firstAck(r *record) (*machine, error) {
	body := document(1, 0, []string{firstService}, firstRoutes)
	client := &http.Client{
		Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	for end := time.Now().Add(firstAckFor); time.Now().Before(end); time.Sleep(firstAckEvery) {
		for _, m := range f.cores {
			if status := postTo(client, m, "config.replace", body); status == http.StatusOK {
				r.add("operator: config.replace of 00000001 is acknowledged by %s", m.ip)
				return m, nil
			}
		}
	}
	return nil, fmt.Errorf("the first configuration was not acknowledged in %s", firstAckFor)
}
