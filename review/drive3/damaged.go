package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
	"unicode/utf8"
)

// Times of the case "damaged", from the start of the machines.
const (
	damagedAt         = 10 * time.Second // the second configuration
	damagedTrafficAt  = 8 * time.Second  // as on the sheets
	damagedTrafficFor = 30 * time.Second
	// applied is when a configuration is in force everywhere, after its ack: config_apply_ms of the site.
	applied = 2500 * time.Millisecond
	// damagedHost is the host of all routes.
	damagedHost = "ficu95.example"
)

// runDamaged plays a configuration of which one byte was damaged, so that it is not UTF-8 and cannot be read. It has to be
// refused, and the one before stays in force. Without the trouble, the same configuration is sent undamaged.
func runDamaged(r *record, trouble bool) (int, error) {
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
	if err := f.change(r, 1, 6*time.Second); err != nil {
		return exitNotRun, err
	}
	for i, m := range f.sides {
		u, err := newUpstream(m, fmt.Sprintf("i-7f3a91c%d", i), 5, func(u *upstream, x *exchange) bool { return runShortWork(r, x) })
		if err != nil {
			return exitNotRun, err
		}
		defer u.close()
		go u.announce()
	}
	if err := f.awaitReady(time.Until(began.Add(damagedTrafficAt))); err != nil {
		return exitNotRun, err
	}
	time.Sleep(time.Until(began.Add(damagedTrafficAt)))
	var before, after traffic
	changed := time.Now().Add(damagedAt - damagedTrafficAt + applied)
	callersDone := make(chan struct{})
	go func() {
		defer close(callersDone)
		before.sent, before.served = playCallers(r, f.sides, time.Until(changed))
		after.sent, after.served = playCallers(r, f.sides, damagedTrafficFor)
	}()
	time.Sleep(time.Until(began.Add(damagedAt)))
	sent := document(2, 1, []string{service}, firstRoutes)
	if trouble {
		sent = damage(sent)
	}
	status, answer, err := f.replace(sent, 6*time.Second)
	if err != nil {
		return exitNotRun, fmt.Errorf("config.replace of 00000002: %w", err)
	}
	r.say("operator: config.replace of 00000002 gets %d; it is UTF-8: %t", status, utf8.Valid(sent))
	r.add("sent: %q", sent)
	r.add("answer: %q", answer)
	<-callersDone
	hosts, version, err := f.readHosts(r)
	if err != nil {
		return exitNotRun, err
	}
	r.say("read back: version %s, hosts %+q", version, hosts)
	r.say("requests served: %d of %d until %s after the change, %d of %d later", before.served, before.sent, applied, after.served, after.sent)
	return checkDamaged(r, trouble, status, after)
}

// traffic counts requests.
type traffic struct{ sent, served int }

// checkDamaged returns how the case has ended.
func checkDamaged(r *record, trouble bool, status int, after traffic) (int, error) {
	switch {
	case trouble && status == http.StatusOK:
		r.say("CONFIG: an invalid configuration is acknowledged, and is in force")
		return exitBroken, nil
	case !trouble && status != http.StatusOK:
		return exitNotRun, errors.New("the undamaged configuration is refused")
	case after.served < after.sent*9/10:
		r.say("requests are not served, though a valid configuration is in force")
		return exitBroken, nil
	}
	return exitHeld, nil
}

// damage sets the highest bit of one byte in the host of the document.
func damage(document []byte) []byte {
	out := bytes.Clone(document)
	out[bytes.Index(out, []byte(damagedHost))+len("fic")] |= 0x80
	return out
}

// runShortWork answers a request after a short time.
func runShortWork(r *record, x *exchange) bool {
	if !x.expected() {
		return x.wrongInstance()
	}
	if x.readBody() != nil {
		return false
	}
	r.add("upstream %s runs %s", x.upstream.id, x.id)
	time.Sleep(20 * time.Millisecond)
	return x.answer(http.StatusOK, bodyOf(x.id, 200))
}

// readHosts reads the configuration back, and returns its hosts and its version.
func (f *fleet) readHosts(r *record) (hosts []string, version string, err error) {
	for i := range 100 {
		status, answer, err := callOperator(f.cores[i%len(f.cores)], "config.read", nil, time.Second)
		if err != nil || status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		r.add("operator reads: %q", answer)
		var d struct {
			Version   string `json:"version"`
			Listeners []struct {
				Host string `json:"host"`
			} `json:"listeners"`
		}
		if err := json.Unmarshal(answer, &d); err != nil {
			return nil, "", err
		}
		for _, l := range d.Listeners {
			hosts = append(hosts, l.Host)
		}
		return hosts, d.Version, nil
	}
	return nil, "", errors.New("the configuration cannot be read")
}
