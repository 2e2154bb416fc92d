package standin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwithub/godwithub/logging"
)

// ExitCrash is the exit code of a process that a request has crashed.
const ExitCrash = 3

// readHeaderTimeout bounds how long a connection may take to send a header.
const readHeaderTimeout = 30 * time.Second

// Standin is one stand-in upstream.
type Standin struct {
	settings Settings
	paths    []pathTimes
	started  time.Time
	log      *slog.Logger
	runs     *runLog
	slots    chan struct{}
	listener *costlyListener
	server   *http.Server
	admin    *http.Server
	announce *announcer
	// exit ends the process on a crash fault. Tests replace it.
	exit func(code int)

	runID    atomic.Uint64
	counters counters
	previous atomic.Pointer[identity]

	mu       sync.Mutex
	faults   Faults
	faultsAt time.Time
	changed  chan struct{} // closed when faults change, so that frozen requests go on
	draining bool
}

// identity is what an answer is bound to.
type identity struct{ requestID, workID string }

// counters of the status page.
type counters struct {
	running, started, ended, shed, refusedDraining, probes atomic.Int64
}

// New opens the listeners and the run log of a stand-in.
func New(s Settings, log *slog.Logger) (*Standin, error) {
	paths, err := parsePaths(&s)
	if err != nil {
		return nil, err
	}
	runs, err := openRunLog(s.RunLog)
	if err != nil {
		return nil, err
	}
	inner, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("standin: %w", err), runs.close())
	}
	u := &Standin{
		settings: s,
		paths:    paths,
		started:  time.Now(),
		log:      logging.Part(log, "standin"),
		runs:     runs,
		slots:    make(chan struct{}, s.Slots),
		listener: newCostlyListener(inner, s.Connections, s.ConnectCost),
		exit:     exitProcess,
		changed:  make(chan struct{}),
		faults:   Faults{CrashMarker: s.CrashMarker},
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: readHeaderTimeout}
	u.announce = newAnnouncer(u)
	return u, nil
}

// Addr returns the address that requests are served at.
func (u *Standin) Addr() string { return u.listener.Addr().String() }

// announcedAddr returns the address that the node is told.
func (u *Standin) announcedAddr() string {
	if u.settings.Advertise != "" {
		return u.settings.Advertise
	}
	return u.Addr()
}

// Run serves until ctx ends, then drains: it announces that it drains, refuses
// new work, finishes the work it has, withdraws its announcement and returns.
func (u *Standin) Run(ctx context.Context) error {
	defer u.runs.close()
	if err := u.startAdmin(); err != nil {
		return errors.Join(err, u.listener.Close())
	}
	failed := make(chan error, 1)
	go func() { failed <- u.server.Serve(u.listener) }()
	u.announce.start()
	u.log.Info("serving", "id", u.settings.ID, "service", u.settings.Service, "addr", u.Addr(), "slots", u.settings.Slots)
	select {
	case err := <-failed:
		return fmt.Errorf("standin: serve: %w", err)
	case <-ctx.Done():
	}
	return u.stop()
}

func (u *Standin) stop() error {
	u.SetDraining(true)
	u.announce.now()
	time.Sleep(u.settings.DrainMin)
	// Shutdown returns when no request is left on any connection.
	err := u.server.Shutdown(context.Background())
	u.announce.stop()
	if u.admin != nil {
		u.admin.Close()
	}
	u.log.Info("stopped", "id", u.settings.ID, "runs", u.counters.ended.Load())
	return err
}

// SetDraining starts or ends the refusal of new work.
func (u *Standin) SetDraining(on bool) {
	u.mu.Lock()
	was := u.draining
	u.draining = on
	u.mu.Unlock()
	if on && !was {
		u.log.Info("draining", "id", u.settings.ID)
		u.runs.write(Event{Event: EventDrain, At: time.Now(), Upstream: u.settings.ID})
	}
	u.announce.now()
}

// Draining reports whether new work is refused.
func (u *Standin) Draining() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.draining
}

// SetFaults replaces the faults.
func (u *Standin) SetFaults(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
	u.faultsAt = time.Now()
	close(u.changed)
	u.changed = make(chan struct{})
}

// currentFaults returns the faults in force, and a channel that closes when
// they are replaced.
func (u *Standin) currentFaults() (Faults, <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults.at(time.Since(u.faultsAt)), u.changed
}

// warmRemaining returns how much of the cold start is left.
func (u *Standin) warmRemaining() time.Duration {
	return max(0, u.settings.ColdStart-time.Since(u.started))
}

// coldFactor returns the slowness of the cold start, 1 after it.
func (u *Standin) coldFactor() float64 {
	left := u.warmRemaining()
	if left == 0 {
		return 1
	}
	return 1 + (u.settings.ColdFactor-1)*float64(left)/float64(u.settings.ColdStart)
}
