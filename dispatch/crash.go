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
	u.setDown(true)
	d.log.Warn("upstream crashed", "upstream", u.id, "in_flight", len(inFlight))
	if d.cfg.Crashes != nil {
		d.cfg.Crashes.Crashed(u.id, u.service, inFlight)
	}
	return true
}
