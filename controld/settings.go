package controld

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/quota"
)

// Settings are the settings of a member of the control group. Each can be set by a flag or an
// environment variable; see package settings for their names.
type Settings struct {
	NodeID        string `flag:"node-id" usage:"id of this member, unique in the control group and equal to the name in its certificate" validate:"required,max=128"`
	LinkAddr      string `flag:"link-addr" usage:"IP:port for streams from other processes of the fleet" validate:"required,hostname_port"`
	LinkAdvertise string `flag:"link-advertise" usage:"IP:port that others dial instead of link-addr; empty: link-addr" validate:"omitempty,hostname_port"`
	APIAddr       string `flag:"api-addr" usage:"IP:port of the resource API over HTTPS; other members redirect clients to it" validate:"required,hostname_port"`
	DebugAddr     string `flag:"debug-addr" usage:"IP:port on loopback for metrics and health; empty: none" validate:"omitempty,hostname_port"`

	Region        string   `flag:"region" usage:"region of this VM" validate:"required,max=63"`
	FailureDomain string   `flag:"failure-domain" usage:"failure domain of this VM" validate:"required,max=63"`
	GossipAddr    string   `flag:"gossip-addr" usage:"IP:port for membership datagrams (UDP)" validate:"required,hostname_port"`
	Seeds         []string `flag:"seeds" usage:"link addresses of nodes through which to join membership, comma-separated" list:"comma" validate:"dive,hostname_port"`

	DataDir      string   `flag:"data-dir" usage:"folder with the stored configuration" validate:"required"`
	LinkSecurity string   `flag:"link-security" usage:"keys: TLS with the keys of -keys; none: plain TCP, for a network that keeps others out; node-id is then the IP address of link-addr" range:"keys or none" validate:"oneof=keys none"`
	KeysDir      string   `flag:"keys" usage:"folder with this process's keys" validate:"required_if=LinkSecurity keys"`
	TokenFile    string   `flag:"token-file" usage:"file with the tokens of the resource API, see godwithub token new" validate:"required_if=LinkSecurity keys"`
	Founders     []string `flag:"founders" usage:"members of a new group as ID=LINKADDR/APIADDR, comma-separated, the same at all of them; ignored once the data folder belongs to a group" list:"comma"`
	Join         bool     `flag:"join" usage:"with a blank data folder, wait until this member is added to an existing group"`

	SelfRepair        bool `flag:"self-repair" usage:"add members with a blank data folder to the group without an operator, in place of lost ones"`
	IdempotencyGroups bool `flag:"idempotency-groups" usage:"place idempotency groups on nodes; without them requests with an idempotency key are refused"`

	QuotaWindow    time.Duration `flag:"quota-window" usage:"window in which the requests of a customer that run are bounded by its quota, the same at all processes" range:"100ms to 1h" validate:"min=100ms,max=1h"`
	QuotaOvershoot float64       `flag:"quota-overshoot" usage:"share by which the requests that run in a window may exceed the quota, the same at all processes" range:"0 to 10" validate:"min=0,max=10"`
	QuotaTolerance float64       `flag:"quota-tolerance" usage:"requests that may run in a window in addition to quota-overshoot, the same at all processes" validate:"min=0"`

	ShutdownTimeout time.Duration `flag:"shutdown-timeout" usage:"longest wait for requests in flight at a planned stop" range:"1s to 10m" validate:"min=1s,max=10m"`

	LogLevel  string `flag:"log-level" usage:"lowest level that is logged" range:"debug, info, warn or error" validate:"oneof=debug info warn error"`
	LogFormat string `flag:"log-format" usage:"format of log lines" range:"text or json" validate:"oneof=text json"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	bounds := quota.DefaultBounds()
	return Settings{
		QuotaWindow: bounds.Window, QuotaOvershoot: bounds.Overshoot, QuotaTolerance: bounds.Tolerance,
		LinkSecurity: keys.SecurityKeys, IdempotencyGroups: true,
		ShutdownTimeout: 15 * time.Second, LogLevel: "info", LogFormat: "text",
	}
}

// Check checks what the validation rules in the struct tags cannot express, and returns all faults.
// Metrics are served without authentication, so -debug-addr must be on loopback, unless links have
// no keys either.
func (s *Settings) Check() error {
	var faults []error
	if s.plaintext() && (hostIP(s.LinkAddr) == nil || hostIP(s.LinkAddr).String() != s.NodeID) {
		faults = append(faults, fmt.Errorf("-node-id: %q is not the IP address of -link-addr %q, as -link-security none requires", s.NodeID, s.LinkAddr))
	}
	if s.DebugAddr != "" && !s.plaintext() {
		if ip := hostIP(s.DebugAddr); ip == nil || !ip.IsLoopback() {
			faults = append(faults, fmt.Errorf("-debug-addr: %q is not a loopback IP address and port", s.DebugAddr))
		}
	}
	for _, a := range []struct{ flag, addr string }{{"link-addr", s.LinkAddr}, {"link-advertise", s.LinkAdvertise}, {"api-addr", s.APIAddr}, {"gossip-addr", s.GossipAddr}} {
		if a.addr == "" {
			continue // optional, or reported as required
		}
		if ip := hostIP(a.addr); ip == nil || ip.IsUnspecified() {
			faults = append(faults, fmt.Errorf("-%s: %q is not an IP address and port that others can reach", a.flag, a.addr))
		}
	}
	return errors.Join(append(faults, s.checkGroup())...)
}

// address returns the address under which other members reach this one.
func (s *Settings) address() address { return address{s.NodeID, s.linkTarget(), s.APIAddr} }

// linkTarget returns the address that other processes dial to open streams to this one.
func (s *Settings) linkTarget() string {
	if s.LinkAdvertise != "" {
		return s.LinkAdvertise
	}
	return s.LinkAddr
}

// checkGroup checks the settings by which a member with a blank data folder founds or joins a group.
func (s *Settings) checkGroup() error {
	if strings.ContainsFunc(s.NodeID, unicode.IsSpace) {
		return fmt.Errorf("-node-id: %q contains a space", s.NodeID)
	}
	if s.Join == (len(s.Founders) > 0) {
		return errors.New("-founders, -join: exactly one of them is required")
	}
	if s.Join {
		return nil
	}
	founders, err := parseFounders(s.Founders)
	if err != nil {
		return fmt.Errorf("-founders: %w", err)
	}
	if self := s.address(); !slices.Contains(founders, self) {
		return fmt.Errorf("-founders: %s=%s/%s is not among them", self.id, self.linkAddr, self.apiAddr)
	}
	return nil
}

func hostIP(addr string) net.IP {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil
	}
	return net.ParseIP(host)
}

// plain reports whether links run without keys and TLS.
func (s *Settings) plaintext() bool { return s.LinkSecurity == keys.SecurityNone }
