package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// Times of the cases with lost disks.
const (
	catchUp      = 6 * time.Second // catch_up_s of the site
	recovery     = 15 * time.Second
	downAfter    = 1500 * time.Millisecond // until machines that have lost their disks are back
	removedFor   = time.Second             // from the removal of a machine to the loss of the disks
	readFor      = 45 * time.Second        // for which the configuration is asked for at the end
	firstService = "huvo11a"
)

var firstRoutes = []routeSpec{
	{"r-v72xgy3", "ficu95.example", "/lohu930/", "safe", firstService, 4000, 2, 1},
	{"r-2b9wu3f", "ficu95.example", "/pufi791/", "unsafe", firstService, 4000, 1, 0},
}

// runRemoved plays the replacement of a core machine by another one, which runs for longer than the time to catch up
// when the replaced one is removed without SIGTERM. A change is acknowledged, and two further machines lose their disks.
// Without the trouble, no disk is lost.
func runRemoved(r *record, trouble bool) (int, error) {
	bounds = catalogueBounds
	f, err := newFleet(5, nil)
	if err != nil {
		return exitNotRun, err
	}
	defer f.stop(false)
	if err := f.startFirst(r); err != nil {
		return exitNotRun, err
	}
	time.Sleep(catchUp)
	successor, err := f.addCore()
	if err != nil {
		return exitNotRun, err
	}
	r.add("%s is started as a further core machine", successor.ip)
	time.Sleep(catchUp + 2*time.Second)
	leader, err := f.leader()
	if err != nil {
		return exitNotRun, err
	}
	r.add("%s leads", leader.ip)
	others := f.coresBut(leader, successor)[:3] // the one that is removed, and two that lose their disks
	others[0].kill()
	removedAt := time.Now()
	r.add("%s is removed for good, without SIGTERM", others[0].ip)
	f.forget(others[0])
	time.Sleep(removedFor)
	if err := f.change(r, 2, 5*time.Second); err != nil {
		return exitNotRun, err
	}
	if trouble {
		f.loseDisks(r, others[1:])
		r.say("two disks lost %.3f s after the machine was removed", time.Since(removedAt).Seconds())
	}
	return f.checkReadable(r, 2)
}

// startFirst starts all machines for the first time and puts the first configuration in force.
func (f *fleet) startFirst(r *record) error {
	if err := f.startAll(); err != nil {
		return err
	}
	if err := f.change(r, 1, 10*time.Second); err != nil {
		return err
	}
	return f.laterSettings()
}

// laterSettings rewrites the settings as they are at later starts.
func (f *fleet) laterSettings() error {
	var faults []error
	for _, m := range f.machines() {
		faults = append(faults, m.writeSettings(false))
	}
	return errors.Join(faults...)
}

// change puts a version in force that is based on the one before.
func (f *fleet) change(r *record, version int, limit time.Duration) error {
	status, answer, err := f.replace(document(version, version-1, []string{firstService}, firstRoutes), limit)
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("config.replace of %08x: %d %s %w", version, status, answer, err)
	}
	r.add("operator: config.replace of %08x is acknowledged", version)
	return nil
}

// addCore starts a further core machine.
func (f *fleet) addCore() (*machine, error) {
	m := &machine{fleet: f, role: "control", ip: f.ip(len(f.cores) + len(f.sides)), zone: zoneNames[len(f.cores)%len(zoneNames)]}
	f.cores = append(f.cores, m)
	return m, errors.Join(m.writeSettings(false), m.start())
}

// coresBut returns the core machines but for some.
func (f *fleet) coresBut(some ...*machine) []*machine {
	return slices.DeleteFunc(slices.Clone(f.cores), func(m *machine) bool { return slices.Contains(some, m) })
}

// forget takes a core machine that was removed from those that operators know.
func (f *fleet) forget(gone *machine) { f.cores = f.coresBut(gone) }

// leader returns the core machine to which the others redirect operators.
func (f *fleet) leader() (*machine, error) {
	client := &http.Client{
		Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	for range 50 {
		for _, m := range f.cores {
			resp, err := client.Post("http://"+m.addr(portControl)+"/rpc?call=config.read", "application/json", nil)
			if err != nil {
				continue
			}
			resp.Body.Close()
			to, err := url.Parse(resp.Header.Get("Location"))
			for _, l := range f.cores {
				if err == nil && resp.StatusCode == http.StatusTemporaryRedirect && to.Host == l.addr(portControl) {
					return l, nil
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, errors.New("no leader is known")
}

// loseDisks takes the power and the disks of machines at the same moment, and starts them again a little later.
func (f *fleet) loseDisks(r *record, machines []*machine) {
	for _, m := range machines {
		m.kill()
	}
	for _, m := range machines {
		os.RemoveAll(m.dataDir())
		os.MkdirAll(m.dataDir(), 0o755)
		r.add("%s has lost its disk", m.ip)
	}
	time.AfterFunc(downAfter, func() {
		for _, m := range machines {
			m.start()
			r.add("%s is back", m.ip)
		}
	})
}

func (m *machine) dataDir() string { return filepath.Join(m.fleet.dir, "data-"+m.ip) }

// checkReadable waits until the system has had time to recover, and checks that the configuration can then be read,
// and is not older than the version that was acknowledged.
func (f *fleet) checkReadable(r *record, version int) (int, error) {
	time.Sleep(downAfter + recovery)
	end := time.Now().Add(readFor)
	reads, last := 0, ""
	for time.Now().Before(end) {
		for _, m := range f.cores {
			status, answer, err := callOperator(m, "config.read", nil, time.Second)
			reads++
			last = fmt.Sprintf("status %d, error %v", status, err)
			if status == http.StatusOK && err == nil {
				r.add("operator reads at %s: %s", m.ip, answer)
				return checkVersion(r, answer, version)
			}
			r.add("operator reads at %s: %s", m.ip, last)
		}
		time.Sleep(500 * time.Millisecond)
	}
	status, answer, err := f.replace(document(version+1, version, []string{firstService}, firstRoutes), 3*time.Second)
	r.say("CONFIG, LOST: %d reads in %.0f s, none was answered (%s); a further change: status %d %s, %v", reads, readFor.Seconds(), last, status, answer, err)
	return exitBroken, nil
}

func checkVersion(r *record, answer []byte, version int) (int, error) {
	var d struct {
		Version string `json:"version"`
	}
	err := json.Unmarshal(answer, &d)
	if want := fmt.Sprintf("%08x", version); err != nil || d.Version != want {
		r.say("CONFIG, LOST: version %q is read, %s was acknowledged", d.Version, want)
		return exitBroken, nil
	}
	r.say("version %s is read", d.Version)
	return exitHeld, nil
}
