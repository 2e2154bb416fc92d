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

// ExitCrash is the exit code of a process that exits because of Faults.CrashMarker.
const ExitCrash = 3

// readHeaderTimeout is the timeout for reading the header of a request.
const readHeaderTimeout = 30 * time.Second

// Standin is one stand-in upstream.
type Standin struct {
	settings  Settings
	paths     []pathSettings
	started   time.Time
	log       *slog.Logger
	runs      *runLog
	slots     chan struct{}
	listener  *limitedListener
	server    *http.Server
	admin     *http.Server
	announcer *announcer
	// exit ends the process when a request contains the crash marker. Tests replace it.
	exit func(code int)

	runID        atomic.Uint64
	counters     counters
	lastAnswered atomic.Pointer[requestIDs]

	mu            sync.Mutex
	faults        Faults
	faultsSetAt   time.Time
	faultsChanged chan struct{} // closed when faults change, so that frozen requests check them again
	draining      bool
}

// requestIDs identifies the request that an answer belongs to.
type requestIDs struct{ requestID, workID string }

// counters holds the counters of Status.
type counters struct {
	running, started, ended, shed, refusedDraining, probes atomic.Int64
}

// New opens the service listener and the run log of a stand-in.
func New(s Settings, log *slog.Logger) (*Standin, error) {
	paths, err := parsePaths(&s)
	if err != nil {
		return nil, err
	}
	runs, err := openRunLog(s.RunLog)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("standin: %w", err), runs.close())
	}
	u := &Standin{
		settings:      s,
		paths:         paths,
		started:       time.Now(),
		log:           logging.Part(log, "standin"),
		runs:          runs,
		slots:         make(chan struct{}, s.Slots),
		listener:      newLimitedListener(l, s.Connections, s.ConnectCost),
		exit:          exitProcess,
		faultsChanged: make(chan struct{}),
		faults:        Faults{CrashMarker: s.CrashMarker},
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: readHeaderTimeout}
	u.announcer = newAnnouncer(u)
	return u, nil
}

// Addr returns the address at which requests are served.
func (u *Standin) Addr() string { return u.listener.Addr().String() }

// announcedAddr returns the address to announce to the node.
func (u *Standin) announcedAddr() string {
	if u.settings.Advertise != "" {
		return u.settings.Advertise
	}
	return u.Addr()
}

// Run serves until ctx ends, then drains: it announces that it drains, refuses new requests,
// finishes those that run, withdraws its announcement and returns.
func (u *Standin) Run(ctx context.Context) error {
	defer u.runs.close()
	if err := u.startAdmin(); err != nil {
		return errors.Join(err, u.listener.Close())
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- u.server.Serve(u.listener) }()
	u.announcer.start()
	u.log.Info("serving", "id", u.settings.ID, "service", u.settings.Service, "addr", u.Addr(), "slots", u.settings.Slots)
	select {
	case err := <-serveErr:
		return fmt.Errorf("standin: serve: %w", err)
	case <-ctx.Done():
	}
	return u.stop()
}

func (u *Standin) stop() error {
	u.SetDraining(true)
	u.announcer.announceNow()
	time.Sleep(u.settings.MinDrainTime)
	// Shutdown waits until no request is left on any connection.
	err := u.server.Shutdown(context.Background())
	u.announcer.stop()
	if u.admin != nil {
		u.admin.Close()
	}
	u.log.Info("stopped", "id", u.settings.ID, "runs", u.counters.ended.Load())
	return err
}

// SetDraining starts or ends draining. A draining stand-in refuses new requests.
func (u *Standin) SetDraining(on bool) {
	u.mu.Lock()
	wasDraining := u.draining
	u.draining = on
	u.mu.Unlock()
	if on && !wasDraining {
		u.log.Info("draining", "id", u.settings.ID)
		u.runs.write(Event{Event: EventDrain, At: time.Now(), Upstream: u.settings.ID})
	}
	u.announcer.announceNow()
}

// Draining reports whether new requests are refused.
func (u *Standin) Draining() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.draining
}

// SetFaults replaces all faults.
func (u *Standin) SetFaults(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
	u.faultsSetAt = time.Now()
	close(u.faultsChanged)
	u.faultsChanged = make(chan struct{})
}

// currentFaults returns the active faults, and a channel that is closed when they are replaced.
func (u *Standin) currentFaults() (Faults, <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults.activeAfter(time.Since(u.faultsSetAt)), u.faultsChanged
}

// coldStartRemaining returns the remaining time of the cold start.
func (u *Standin) coldStartRemaining() time.Duration {
	return max(0, u.settings.ColdStart-time.Since(u.started))
}

// coldStartSlowness returns the factor by which the cold start multiplies service times now: it
// falls linearly from ColdFactor to 1.
func (u *Standin) coldStartSlowness() float64 {
	remaining := u.coldStartRemaining()
	if remaining == 0 {
		return 1
	}
	return 1 + (u.settings.ColdFactor-1)*float64(remaining)/float64(u.settings.ColdStart)
}
