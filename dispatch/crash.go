package dispatch

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// crashProbeTimeout bounds the connection that tells a crashed upstream from a
// broken connection. It stays on the VM.
const crashProbeTimeout = 200 * time.Millisecond

// crashRecheck is the wait before the second look at an upstream that still accepts
// connections. Those of an ending process break a moment before its listener closes.
const crashRecheck = 30 * time.Millisecond

// checkCrash reports the requests in flight at u if it no longer accepts
// connections, and tells whether that is known already. It is called before the
// request that found the broken connection gives its slot back.
func (d *Dispatcher) checkCrash(u *upstream) bool {
	inFlight := u.inFlight()
	if refuses(u.addr) {
		d.crashed(u, inFlight)
		return true
	}
	time.AfterFunc(crashRecheck, func() {
		if refuses(u.addr) {
			d.crashed(u, inFlight)
		}
	})
	return false
}

// refuses reports whether nothing listens at addr.
func refuses(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, crashProbeTimeout)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// crashed tells the fleet which requests were in flight, and withdraws u.
func (d *Dispatcher) crashed(u *upstream, inFlight []uint64) {
	d.log.Warn("upstream crashed", "upstream", u.id, "in_flight", len(inFlight))
	if d.cfg.Crashes != nil {
		d.cfg.Crashes.Crashed(u.id, u.service, inFlight)
	}
	d.refusesConnections(u)
}

// refusesConnections withdraws an upstream whose process is gone. With all its
// slots free it would draw work from every ingress until its lease ends, only to
// refuse it.
func (d *Dispatcher) refusesConnections(u *upstream) {
	d.Withdraw(u.id)
	d.cfg.Gone(u.id)
}
