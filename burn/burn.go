// Package burn counts the outcomes of requests against their service-level objectives, and reports
// how fast services use up their error budgets.
//
// Each node counts its requests and sends its running totals to every control VM, which stores the
// differences by time. Since totals are sent, a lost or repeated message is harmless. A node that
// restarts begins a new series.
package burn

import (
	"sync"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// Key identifies requests that are counted together.
type Key struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Kind    string `cbor:"2,keyasint" json:"kind"`
}

// Counts are the numbers of requests by outcome, and of attempts.
type Counts struct {
	Requests uint64 `cbor:"1,keyasint" json:"asked"`
	Answered uint64 `cbor:"2,keyasint" json:"answered"`
	// InTime counts answers with a status below 500 within the latency objective.
	InTime uint64 `cbor:"3,keyasint" json:"inTime"`
	Errors uint64 `cbor:"4,keyasint" json:"errors"` // answers with a status of 500 or above
	// Refused counts requests that were not run because of overload.
	Refused  uint64 `cbor:"5,keyasint" json:"refused"`
	NotRun   uint64 `cbor:"6,keyasint" json:"notRun"` // requests that were not run for other reasons
	Unknown  uint64 `cbor:"7,keyasint" json:"unknown"`
	Attempts uint64 `cbor:"8,keyasint" json:"attempts"`
}

// plus returns c + d.
func (c Counts) plus(d Counts) Counts {
	return Counts{
		c.Requests + d.Requests, c.Answered + d.Answered, c.InTime + d.InTime, c.Errors + d.Errors,
		c.Refused + d.Refused, c.NotRun + d.NotRun, c.Unknown + d.Unknown, c.Attempts + d.Attempts,
	}
}

// minus returns c - d. The caller ensures that c is at least d, as totals only grow.
func (c Counts) minus(d Counts) Counts {
	return Counts{
		c.Requests - d.Requests, c.Answered - d.Answered, c.InTime - d.InTime, c.Errors - d.Errors,
		c.Refused - d.Refused, c.NotRun - d.NotRun, c.Unknown - d.Unknown, c.Attempts - d.Attempts,
	}
}

// Entry holds the totals of one key.
type Entry struct {
	Key    Key    `cbor:"1,keyasint"`
	Counts Counts `cbor:"2,keyasint"`
}

// Totals are what a node has counted since its process started. Only keys that
// changed since the last message need to be sent.
type Totals struct {
	Node fleet.NodeID `cbor:"1,keyasint"`
	// Incarnation identifies the incarnation of the node. A later one has a higher value.
	Incarnation uint64 `cbor:"2,keyasint"`
	// UptimeMs is the age of the process, in milliseconds.
	UptimeMs int64   `cbor:"3,keyasint"`
	Entries  []Entry `cbor:"4,keyasint"`
	// Full reports that Entries contains all keys.
	Full bool `cbor:"5,keyasint,omitempty"`
}

// Reply answers Totals.
type Reply struct {
	// SendFullTotals requests full totals, because the control VM does not know the incarnation.
	SendFullTotals bool `cbor:"1,keyasint,omitempty"`
}

// Recorder counts the requests of a node. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	totals map[Key]*tally
}

type tally struct {
	Counts
	changedAt time.Time
}

// NewRecorder returns a recorder without counts.
func NewRecorder() *Recorder { return &Recorder{totals: map[Key]*tally{}} }

// Add adds c to the totals of k.
func (r *Recorder) Add(now time.Time, k Key, c Counts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.totals[k]
	if t == nil {
		t = &tally{}
		r.totals[k] = t
	}
	t.Counts = t.plus(c)
	t.changedAt = now
}

// ChangedSince returns the totals of the keys that changed at t or later.
func (r *Recorder) ChangedSince(t time.Time) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Entry
	for k, tl := range r.totals {
		if !tl.changedAt.Before(t) {
			out = append(out, Entry{k, tl.Counts})
		}
	}
	return out
}
