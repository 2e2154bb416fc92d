package dispatch

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// crashProbeTimeout bounds the connection attempt that distinguishes a crashed upstream from a
// broken connection. The upstream is on the same VM.
const crashProbeTimeout = 200 * time.Millisecond

// crashRecheckDelay is the delay before the second check of an upstream that still accepts
// connections: the connections of an ending process break a moment before its listener closes.
const crashRecheckDelay = 30 * time.Millisecond

// checkCrash checks whether u has crashed, that is, refuses connections. If so, it reports the
// requests in flight at u and returns true. Otherwise it checks again after crashRecheckDelay and
// returns false. It must be called before the request whose connection broke releases its slot.
func (d *Dispatcher) checkCrash(u *upstream) bool {
	inFlight := u.inFlight()
	if connectionRefused(u.addr) {
		d.reportCrash(u, inFlight)
		return true
	}
	time.AfterFunc(crashRecheckDelay, func() {
		if connectionRefused(u.addr) {
			d.reportCrash(u, inFlight)
		}
	})
	return false
}

// connectionRefused reports whether a connection to addr is refused because nothing listens there.
func connectionRefused(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, crashProbeTimeout)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// reportCrash reports which requests were in flight at u, and withdraws u.
func (d *Dispatcher) reportCrash(u *upstream, inFlight []InFlight) {
	d.log.Warn("upstream crashed", "upstream", u.id, "in_flight", len(inFlight))
	if d.cfg.Crashes != nil {
		d.cfg.Crashes.Crashed(u.id, u.service, inFlight)
	}
	d.withdrawGone(u)
}

// withdrawGone withdraws an upstream whose process has ended. With all its slots free, it would
// otherwise attract work from every ingress until its lease ends, and refuse all of it.
func (d *Dispatcher) withdrawGone(u *upstream) {
	d.mu.Lock()
	if d.upstreams[u.id] == u {
		d.remove(u)
	}
	d.mu.Unlock()
	d.cfg.Gone(u.id, u.startMs)
}
