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

// checkCrash reports the requests in flight at u if it no longer accepts
// connections, and tells whether that is so. It is called before the request
// that found the broken connection gives its slot back.
func (d *Dispatcher) checkCrash(u *upstream) bool {
	inFlight := u.inFlight()
	conn, err := net.DialTimeout("tcp", u.addr, crashProbeTimeout)
	if err == nil {
		conn.Close()
		return false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	d.log.Warn("upstream crashed", "upstream", u.id, "in_flight", len(inFlight))
	if d.cfg.Crashes != nil {
		d.cfg.Crashes.Crashed(u.id, u.service, inFlight)
	}
	d.refusesConnections(u)
	return true
}

// refusesConnections withdraws an upstream whose process is gone. With all its
// slots free it would draw work from every ingress until its lease ends, only to
// refuse it.
func (d *Dispatcher) refusesConnections(u *upstream) {
	d.Withdraw(u.id)
	d.cfg.Gone(u.id)
}
