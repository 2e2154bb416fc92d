package announce

import (
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// Services tells which services the configuration has.
type Services interface {
	// Configured reports whether the configuration has a service. known is false before there is a configuration.
	Configured(service string) (configured, known bool)
	// Subscribe calls f after each change of the configuration.
	Subscribe(f func())
}

// VM is what a node knows of its VM without any announcement.
type VM struct {
	// Service is the service of the VM's upstream; empty: not known.
	Service string
	// IP is the address of the VM; empty: upstreams may have any.
	IP string
	// NodeAddrs are the addresses at which the node itself listens.
	NodeAddrs []string
	Services  Services
}

// maxClockError bounds how far an upstream's clock may be ahead of the node's.
const maxClockError = time.Minute

// CheckAddr returns an error if an upstream of the VM can't have the address.
func (vm *VM) CheckAddr(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	switch {
	case err != nil:
		return fmt.Errorf("addr: %w", err)
	case vm.IP != "" && host != vm.IP:
		return fmt.Errorf("addr: %.64q is not an address of the VM %s", addr, vm.IP)
	case slices.Contains(vm.NodeAddrs, addr):
		return fmt.Errorf("addr: %.64q is an address of the node", addr)
	}
	return nil
}

// CheckStart returns an error if no process can have started at startMs, in Unix milliseconds: it would count as later than all
// that start until then.
func CheckStart(startMs int64, now time.Time) error {
	if startMs > now.Add(maxClockError).UnixMilli() {
		return fmt.Errorf("start: %d is in the future", startMs)
	}
	return nil
}

// trust says how far an announcement may decide about other upstreams. Any process on the VM can send one, so that one of
// a lower trust takes nothing from an upstream of a higher one that is in use.
type trust uint8

const (
	// serviceUnknown: the configuration does not have the service. The announcement waits until it has.
	serviceUnknown trust = iota
	// serviceOfOthers: the configuration has the service, but the VM is meant for another one.
	serviceOfOthers
	serviceOfVM
)

func (o *Ordered) trustOf(service string) trust {
	if service != "" && service == o.vm.Service {
		return serviceOfVM
	}
	if configured, _ := o.vm.Services.Configured(service); configured {
		return serviceOfOthers
	}
	return serviceUnknown
}

// waitsForService reports whether an announcement has to wait until its service is configured. An upstream in use whose
// service is no longer configured goes on.
func (o *Ordered) waitsForService(a *Announcement) bool {
	if o.trustOf(a.Service) > serviceUnknown {
		return false
	}
	inc := o.known[a.ID]
	return inc == nil || !inc.inUse() || inc.Service != a.Service
}

// keepUnconfigured keeps the latest announcement of an upstream whose service is not configured. o.mu is held.
func (o *Ordered) keepUnconfigured(a Announcement, now time.Time) {
	kept, ok := o.unconfigured[a.ID]
	if !ok {
		o.log.Info("announcement waits until its service is configured", "upstream", a.ID, "service", a.Service)
	}
	if !ok || a.isLaterThan(&kept.Announcement) {
		o.unconfigured[a.ID] = unconfiguredUpstream{a, now}
	}
}

// unconfiguredUpstream is an announcement that waits, and when it came.
type unconfiguredUpstream struct {
	Announcement
	lastHeard time.Time
}

// applyConfiguration passes on what has waited for a service that is configured now.
func (o *Ordered) applyConfiguration() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for id, u := range o.unconfigured {
		if now.Sub(u.lastHeard) > u.Lease() {
			delete(o.unconfigured, id)
		} else if !o.waitsForService(&u.Announcement) {
			delete(o.unconfigured, id)
			o.accept(u.Announcement)
		}
	}
}

// inUse reports whether the incarnation was passed on and not taken back.
func (inc *incarnation) inUse() bool { return !inc.withdrawn && !inc.displaced }

// expired reports whether the lease of the last announcement has ended. The upstream is out of use then, so that nothing is lost
// if another one takes its place.
func (inc *incarnation) expired(now time.Time) bool {
	return inc.LeaseMs > 0 && now.Sub(inc.lastHeard) > inc.Lease()
}

// conflictWithin returns why an announcement has to yield to inc, which is known under its id, or "". What an upstream has said about
// its end outlasts its lease, so that a late announcement does not take it back.
func (o *Ordered) conflictWithin(a *Announcement, inc *incarnation, now time.Time) string {
	expired := inc.expired(now) && !inc.Draining && !inc.withdrawn
	if inc.inUse() && inc.Service != "" && !expired {
		switch mine, other := o.trustOf(a.Service), o.trustOf(inc.Service); {
		case mine < other:
			return "the upstream belongs to another service"
		case mine > other:
			return ""
		}
	}
	switch {
	case a.StartMs < inc.StartMs && !expired:
		return "an earlier incarnation"
	case a.StartMs == inc.StartMs && inc.withdrawn && !(inc.unnamed && now.Sub(inc.lastHeard) > maxDelay):
		return "the upstream was withdrawn"
	case a.StartMs == inc.StartMs && a.Sequence <= inc.Sequence && !expired:
		return "overtaken"
	}
	return ""
}

// conflictAtAddr returns why an announcement has to yield to another upstream at its address, or "".
func (o *Ordered) conflictAtAddr(a *Announcement, now time.Time) string {
	mine := o.trustOf(a.Service)
	for id, inc := range o.known {
		if id == a.ID || inc.Addr != a.Addr || !inc.inUse() || inc.expired(now) {
			continue
		}
		switch other := o.trustOf(inc.Service); {
		case mine < other:
			return "an upstream of the VM's service uses the address"
		case mine == other && inc.StartMs > a.StartMs:
			return "a later upstream uses the address"
		}
	}
	return ""
}

// displaceOthersAt takes back the other upstreams at the address of a. They are back if they go on to announce
// themselves after the end of a's lease. o.mu is held.
func (o *Ordered) displaceOthersAt(a *Announcement) {
	for id, inc := range o.known {
		if id != a.ID && inc.Addr == a.Addr && inc.inUse() {
			inc.displaced = true
			o.next.Withdraw(id)
		}
	}
}

// isLaterThan reports whether an upstream made a after b.
func (a *Announcement) isLaterThan(b *Announcement) bool {
	return a.StartMs > b.StartMs || a.StartMs == b.StartMs && a.Sequence > b.Sequence
}

// anyService is the Services of a node that does not check them.
type anyService struct{}

func (anyService) Configured(string) (configured, known bool) { return true, true }
func (anyService) Subscribe(func())                           {}

// unconfiguredError refuses to acknowledge that an upstream drains, before it is known whether its service is configured.
type unconfiguredError struct{ id fleet.UpstreamID }

// Error implements error.
func (e *unconfiguredError) Error() string {
	return fmt.Sprintf("announce: no configuration is known yet, so that the end of %s can't be kept", e.id)
}
