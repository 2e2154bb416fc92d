package node

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/quota"
)

// Settings are the settings of a node. Each can be set by a flag or an environment variable;
// see package settings for their names.
type Settings struct {
	NodeID        string `flag:"node-id" usage:"name of this node, unique in the fleet and equal to the name in its certificate" validate:"required,max=128"`
	Region        string `flag:"region" usage:"region of this VM" validate:"required,max=63"`
	FailureDomain string `flag:"failure-domain" usage:"failure domain of this VM" validate:"required,max=63"`

	CallerAddr string `flag:"caller-addr" usage:"IP:port for callers, HTTP/1.1 and HTTP/2 without TLS" validate:"required,hostname_port"`
	LinkAddr   string `flag:"link-addr" usage:"IP:port for streams from other processes of the fleet" validate:"required,hostname_port"`
	// LinkAdvertise is for when others reach this process at another address than it listens
	// on, such as that of a network address translator or, in scenarios, of a relay.
	LinkAdvertise string `flag:"link-advertise" usage:"IP:port that others dial instead of link-addr; empty: link-addr" validate:"omitempty,hostname_port"`
	GossipAddr    string `flag:"gossip-addr" usage:"IP:port for membership datagrams (UDP)" validate:"required,hostname_port"`
	AnnounceAddr  string `flag:"announce-addr" usage:"IP:port on loopback for announcements of this VM's upstreams" validate:"required,hostname_port"`
	DebugAddr     string `flag:"debug-addr" usage:"IP:port on loopback for metrics and health; empty: none" validate:"omitempty,hostname_port"`
	ReadyAddr     string `flag:"ready-addr" usage:"IP:port that answers any GET with 200 while the node takes requests, else 503; empty: none" validate:"omitempty,hostname_port"`
	OriginService string `flag:"origin-service" usage:"service of this VM, reported to upstreams as the origin of requests that callers send to this node" validate:"max=63"`

	LinkSecurity string   `flag:"link-security" usage:"keys: TLS with the keys of -keys; none: plain TCP, for a network that keeps others out; node-id is then the IP address of link-addr" range:"keys or none" validate:"oneof=keys none"`
	KeysDir      string   `flag:"keys" usage:"folder with this process's keys" validate:"required_if=LinkSecurity keys"`
	Seeds        []string `flag:"seeds" usage:"link addresses of nodes through which to join membership, comma-separated" list:"comma" validate:"dive,hostname_port"`
	ControlAddrs []string `flag:"control-addrs" usage:"link addresses of the control VMs, comma-separated" list:"comma" validate:"dive,hostname_port"`

	LinkTransport string `flag:"link-transport" usage:"transport between nodes" range:"tls or quic" validate:"oneof=tls quic"`
	LinkConns     int    `flag:"link-conns" usage:"QUIC connections to each peer" range:"1 to 64" validate:"min=1,max=64"`

	// RetryRatio and RetrySlack are the retry budget of the fleet, which the upstreams of a service share.
	RetryRatio float64 `flag:"retry-ratio" usage:"retry budget of a service over the whole fleet: retries per request in 10 s; 0: each node has a fixed budget" range:"0 to 1" validate:"min=0,max=1"`
	RetrySlack float64 `flag:"retry-slack" usage:"retries of a service over the whole fleet in 10 s, in addition to those of retry-ratio" validate:"min=0"`

	RevocationBound time.Duration `flag:"revocation-bound" usage:"how long after a key was taken from a customer requests with it may still run; a node that cannot tell refuses requests with keys; 0: no bound" range:"0s to 1h" validate:"min=0,max=1h"`

	// DepartureDisks must exceed the number of control VMs whose disks may be lost at once.
	DepartureDisks int `flag:"departure-disks" usage:"control VMs that must have it on their disks before the end that an upstream announces is acknowledged" range:"1 to 9" validate:"min=1,max=9"`

	ReportBurn bool `flag:"report-burn" usage:"send counts of requests to the control VMs, for the report on how fast error budgets are used up"`

	QuotaWindow    time.Duration `flag:"quota-window" usage:"window in which the requests of a customer that run are bounded by its quota, the same at all processes" range:"100ms to 1h" validate:"min=100ms,max=1h"`
	QuotaOvershoot float64       `flag:"quota-overshoot" usage:"share by which the requests that run in a window may exceed the quota, the same at all processes" range:"0 to 10" validate:"min=0,max=10"`
	QuotaTolerance float64       `flag:"quota-tolerance" usage:"requests that may run in a window in addition to quota-overshoot, the same at all processes" validate:"min=0"`

	LameDuck     time.Duration `flag:"lame-duck" usage:"how long the node still takes new requests after it has begun to leave" range:"0s to 1h" validate:"min=0s,max=1h"`
	DrainTimeout time.Duration `flag:"drain-timeout" usage:"longest wait for requests in flight at a planned stop" range:"1s to 1h" validate:"min=1s,max=1h"`

	LogLevel  string `flag:"log-level" usage:"lowest level that is logged" range:"debug, info, warn or error" validate:"oneof=debug info warn error"`
	LogFormat string `flag:"log-format" usage:"format of log lines" range:"text or json" validate:"oneof=text json"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	bounds := quota.DefaultBounds()
	return Settings{
		QuotaWindow: bounds.Window, QuotaOvershoot: bounds.Overshoot, QuotaTolerance: bounds.Tolerance,
		LinkSecurity:  keys.SecurityKeys,
		LinkTransport: "tls",
		// A control group of three bears the loss of one disk.
		DepartureDisks: 2,

		ReportBurn:   true,
		LinkConns:    2,
		DrainTimeout: 30 * time.Second,
		LogLevel:     "info",
		LogFormat:    "text",
	}
}

// Check validates what the rules in the tags cannot express, such as settings that depend on
// each other. Announcements and metrics have no authentication, so their addresses must be on
// loopback, unless links have no authentication either.
func (s *Settings) Check() error {
	var faults []error
	if s.plaintext() {
		faults = append(faults, s.checkPlaintext())
	}
	for _, a := range []struct{ flag, addr string }{{"announce-addr", s.AnnounceAddr}, {"debug-addr", s.DebugAddr}} {
		if a.addr == "" || s.plaintext() {
			continue
		}
		host, _, err := net.SplitHostPort(a.addr)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			faults = append(faults, fmt.Errorf("-%s: %q is not a loopback IP address and port", a.flag, a.addr))
		}
	}
	for _, a := range []struct{ flag, addr string }{{"link-addr", s.LinkAddr}, {"gossip-addr", s.GossipAddr}} {
		if a.addr == "" {
			continue // reported as required
		}
		host, _, err := net.SplitHostPort(a.addr)
		if ip := net.ParseIP(host); err != nil || ip == nil || ip.IsUnspecified() {
			faults = append(faults, fmt.Errorf("-%s: %q is not an IP address and port that others can reach", a.flag, a.addr))
		}
	}
	return errors.Join(faults...)
}

// plaintext reports whether links run without TLS.
func (s *Settings) plaintext() bool { return s.LinkSecurity == keys.SecurityNone }

// checkPlaintext checks that the node's ID is its IP address, and that the transport does not
// require keys.
func (s *Settings) checkPlaintext() error {
	var faults []error
	if host, _, err := net.SplitHostPort(s.LinkAddr); err != nil || host != s.NodeID {
		faults = append(faults, fmt.Errorf("-node-id: %q is not the IP address of -link-addr %q, as -link-security none requires", s.NodeID, s.LinkAddr))
	}
	if s.LinkTransport == "quic" {
		faults = append(faults, errors.New("-link-transport: quic needs keys"))
	}
	return errors.Join(faults...)
}
