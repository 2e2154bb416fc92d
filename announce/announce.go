// Package announce receives the announcements by which upstreams register with the node on
// their VM. There is no configured list of upstreams: each one announces itself under a lease,
// renews the announcement, and sets a flag in it when it drains.
//
//	PUT    /v1/upstreams/{id}   announce or renew; body: Announcement
//	DELETE /v1/upstreams/{id}   withdraw
package announce

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/internal/strictjson"
	"github.com/godwithub/godwithub/resource"
)

// Limits of announcements.
const (
	maxBody        = 16 << 10 // bytes
	minLease       = 300 * time.Millisecond
	maxLease       = time.Minute
	maxSlots       = 10_000
	maxConnections = 100_000
	maxWarmUp      = 10 * time.Minute
	maxIDLength    = 128
)

// Announcement describes an upstream, as sent by the upstream itself.
type Announcement struct {
	ID      fleet.UpstreamID `json:"-"`
	Service string           `json:"service"`
	Addr    string           `json:"addr"`  // IP:port of its HTTP server
	Slots   int              `json:"slots"` // requests it runs at once
	// Connections is how many connections it accepts. 0: not known.
	Connections int `json:"connections"`
	// LeaseMs is how long the announcement is valid, in milliseconds. An upstream
	// renews it three times within a lease.
	LeaseMs int64 `json:"leaseMs"`
	// Draining asks for no new requests.
	Draining bool `json:"draining"`
	// WarmMs is the length of the cold start, counted from the first announcement, in
	// milliseconds.
	WarmMs int64 `json:"warmMs"`
	// StartMs is the start time of the upstream's process in Unix milliseconds and identifies the
	// incarnation. Sequence grows with each announcement of an incarnation. Both are 0 for
	// upstreams that do not report them.
	StartMs  int64  `json:"-"`
	Sequence uint64 `json:"-"`
}

// Lease returns how long the announcement is valid.
func (a *Announcement) Lease() time.Duration { return time.Duration(a.LeaseMs) * time.Millisecond }

// ConnectionsUpTo returns how many connections the upstream accepts, but at most n.
func (a *Announcement) ConnectionsUpTo(n int) int {
	if a.Connections == 0 {
		return n
	}
	return min(n, a.Connections)
}

// WarmUp returns the length of the cold start.
func (a *Announcement) WarmUp() time.Duration { return time.Duration(a.WarmMs) * time.Millisecond }

// Validate returns all validation errors of a, joined.
func (a *Announcement) Validate() error {
	var faults []error
	check := func(ok bool, field, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
		}
	}
	host, _, err := net.SplitHostPort(a.Addr)
	if err := ValidateID(a.ID); err != nil {
		faults = append(faults, err)
	}
	check(resource.ValidName(a.Service), "service", "%.64q is not a valid name", a.Service)
	check(err == nil && net.ParseIP(host) != nil, "addr", "%.64q is not an IP address and port", a.Addr)
	check(a.Slots >= 1 && a.Slots <= maxSlots, "slots", "%d is not between 1 and %d", a.Slots, maxSlots)
	check(a.Connections >= 0 && a.Connections <= maxConnections, "connections", "%d is not between 0 and %d", a.Connections, maxConnections)
	check(a.Lease() >= minLease && a.Lease() <= maxLease, "leaseMs", "%d is not between %d and %d", a.LeaseMs, minLease.Milliseconds(), maxLease.Milliseconds())
	check(a.WarmMs >= 0 && a.WarmUp() <= maxWarmUp, "warmMs", "%d is not between 0 and %d", a.WarmMs, maxWarmUp.Milliseconds())
	return errors.Join(faults...)
}

// ValidateID returns an error if an upstream can't have the id. Other nodes refuse records with an id that is not UTF-8.
func ValidateID(id fleet.UpstreamID) error {
	if id == "" || len(id) > maxIDLength || !utf8.ValidString(string(id)) {
		return fmt.Errorf("id: %.64q does not have 1 to %d bytes of UTF-8", id, maxIDLength)
	}
	return nil
}

// Sink receives announcements that passed validation.
type Sink interface {
	Announce(Announcement)
	Withdraw(fleet.UpstreamID)
}

// LeaseGrant is the body of the response to an accepted announcement.
type LeaseGrant struct {
	LeaseMs int64 `json:"leaseMs"`
}

// Handler returns the HTTP handler that passes valid announcements to sink.
func Handler(sink Sink, log *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/upstreams/{id}", func(w http.ResponseWriter, r *http.Request) {
		a := Announcement{ID: fleet.UpstreamID(r.PathValue("id"))}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err == nil {
			err = strictjson.Unmarshal(body, &a)
		}
		if err == nil {
			err = a.Validate()
		}
		if err != nil {
			refuse(w, log, a.ID, err)
			return
		}
		sink.Announce(a)
		json.NewEncoder(w).Encode(LeaseGrant{a.LeaseMs})
	})
	mux.HandleFunc("DELETE /v1/upstreams/{id}", func(w http.ResponseWriter, r *http.Request) {
		id := fleet.UpstreamID(r.PathValue("id"))
		if err := ValidateID(id); err != nil {
			refuse(w, log, id, err)
			return
		}
		sink.Withdraw(id)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func refuse(w http.ResponseWriter, log *slog.Logger, id fleet.UpstreamID, err error) {
	log.Warn("announcement refused", "upstream", id, "fault", err)
	http.Error(w, err.Error(), http.StatusBadRequest)
}
