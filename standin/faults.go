package standin

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Health selects what the health endpoint reports.
type Health string

// Modes of the health endpoint.
const (
	ReportsActualHealth Health = ""          // 503 while a fault affects work, else 200
	ReportsHealthy      Health = "healthy"   // always 200
	ReportsUnhealthy    Health = "unhealthy" // always 503
)

// Faults describes how a stand-in misbehaves. The zero value means no faults.
type Faults struct {
	// ErrorShare is the share of requests answered with ErrorStatus, from 0 to 1. ErrorPath limits it
	// to paths with that prefix.
	ErrorShare  float64 `json:"errorShare,omitempty"`
	ErrorPath   string  `json:"errorPath,omitempty"`
	ErrorStatus int     `json:"errorStatus,omitempty"` // 0: 500
	// Endless makes the bodies of these errors go on until the client closes the connection.
	Endless bool `json:"endless,omitempty"`
	// Slowness multiplies service times. 0 counts as 1.
	Slowness float64 `json:"slowness,omitempty"`
	// Freeze holds every request until the fault is removed, the deadline passes or the client closes
	// the connection.
	Freeze bool `json:"freeze,omitempty"`
	// CrashMarker makes the process exit when it runs a request whose body contains this text.
	CrashMarker string `json:"crashMarker,omitempty"`
	// LateShare is the share of answers that are sent LateMs after the request has run, whether or not
	// the client still waits.
	LateShare float64 `json:"lateShare,omitempty"`
	LateMs    int64   `json:"lateMs,omitempty"`
	// ShortShare is the share of answers whose connection is closed after half of the body.
	ShortShare float64 `json:"shortShare,omitempty"`
	// CrossShare is the share of answers that are replaced by the answer to the previous request, with
	// that request's ids.
	CrossShare float64 `json:"crossShare,omitempty"`
	// Health overrides what the health endpoint reports.
	Health Health `json:"health,omitempty"`
	// SilentAnnounce stops announcements while requests are still served.
	SilentAnnounce bool `json:"silentAnnounce,omitempty"`
	// FlapMs switches all faults on and off in turn, each time for this long. 0: they stay on.
	FlapMs int64 `json:"flapMs,omitempty"`
}

// Validate returns an error for the first invalid field of f.
func (f *Faults) Validate() error {
	for _, share := range []float64{f.ErrorShare, f.LateShare, f.ShortShare, f.CrossShare} {
		if share < 0 || share > 1 {
			return fmt.Errorf("standin: share %v is outside 0 to 1", share)
		}
	}
	if f.Slowness < 0 || f.LateMs < 0 || f.FlapMs < 0 {
		return fmt.Errorf("standin: slowness, lateMs and flapMs must not be negative")
	}
	if f.ErrorStatus != 0 && (f.ErrorStatus < 400 || f.ErrorStatus > 599) {
		return fmt.Errorf("standin: errorStatus %d is outside 400 to 599", f.ErrorStatus)
	}
	switch f.Health {
	case ReportsActualHealth, ReportsHealthy, ReportsUnhealthy:
		return nil
	}
	return fmt.Errorf("standin: health %q is neither healthy nor unhealthy", f.Health)
}

// activeAfter returns the faults that are active when f was set elapsed ago. Flapping starts with
// the faults on.
func (f Faults) activeAfter(elapsed time.Duration) Faults {
	if f.FlapMs == 0 {
		return f
	}
	if elapsed.Milliseconds()/f.FlapMs%2 == 0 {
		return f
	}
	return Faults{}
}

// affectsWork reports whether f affects the requests that are served.
func (f *Faults) affectsWork() bool {
	return f.ErrorShare > 0 || f.Slowness > 1 || f.Freeze || f.LateShare > 0 || f.ShortShare > 0 || f.CrossShare > 0
}

// reportsHealthy reports whether the health endpoint reports a healthy stand-in.
func (f *Faults) reportsHealthy() bool {
	switch f.Health {
	case ReportsHealthy:
		return true
	case ReportsUnhealthy:
		return false
	}
	return !f.affectsWork()
}

// errorStatus returns the status of the error to answer a request for path with, or 0 to answer it
// normally.
func (f *Faults) errorStatus(path string) int {
	if !strings.HasPrefix(path, f.ErrorPath) || !withProbability(f.ErrorShare) {
		return 0
	}
	if f.ErrorStatus == 0 {
		return 500
	}
	return f.ErrorStatus
}

func withProbability(share float64) bool { return share > 0 && rand.Float64() < share }
