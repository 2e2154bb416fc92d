package scenario

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// relay forwards TCP connections and UDP datagrams from its address to a target, and
// simulates network faults. During a cut it holds back TCP data and loses datagrams,
// and neither side gets an error.
//
// Clients are distinguished by IP address. The target sees the relay's address, not
// that of the client.
type relay struct {
	target string
	faults *pathFaults
	tcp    net.Listener
	udp    *net.UDPConn
	stop   chan struct{}

	mu    sync.Mutex
	pipes map[*pipe]bool
	flows map[netip.AddrPort]*flow
}

func relayCommand(w *workspace, ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return scriptErrorf("usage: relay ACTION NAME ...")
	}
	action, name, rest := args[0], args[1], args[2:]
	if action == "start" {
		if len(rest) != 2 {
			return scriptErrorf("usage: relay start NAME LISTEN TARGET")
		}
		return w.startRelay(name, rest[0], rest[1])
	}
	w.mu.Lock()
	r := w.relays[name]
	w.mu.Unlock()
	if r == nil {
		return scriptErrorf("no relay is named %q", name)
	}
	switch action {
	case "cut":
		return r.cut(rest)
	case "heal":
		r.faults.heal()
	case "delay":
		return r.setDelay(rest)
	case "silence":
		r.silence()
	case "break":
		r.closeConnections()
	default:
		return scriptErrorf("relay %s: unknown action", action)
	}
	return nil
}

func (w *workspace) startRelay(name, listen, target string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.relays[name] != nil {
		return scriptErrorf("relay %q is already running", name)
	}
	r, err := newRelay(listen, target)
	if err != nil {
		return err
	}
	w.relays[name] = r
	return nil
}

func newRelay(listen, target string) (*relay, error) {
	tcp, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("relay: listen on TCP: %w", err)
	}
	// UDP uses the port that TCP got, since the port in listen may be 0.
	addr := tcp.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: addr.IP, Port: addr.Port})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("relay: listen on UDP: %w", err), tcp.Close())
	}
	r := &relay{
		target: target, faults: newPathFaults(), tcp: tcp, udp: udp,
		stop:  make(chan struct{}),
		pipes: map[*pipe]bool{}, flows: map[netip.AddrPort]*flow{},
	}
	go r.acceptTCP()
	go r.readUDP()
	return r, nil
}

func (r *relay) cut(args []string) error {
	if len(args) < 1 || len(args) > 2 {
		return scriptErrorf("usage: relay cut NAME to|from|both [IP]")
	}
	dirs, err := directions(args[0])
	if err != nil {
		return err
	}
	var client netip.Addr
	if len(args) == 2 {
		if client, err = netip.ParseAddr(args[1]); err != nil {
			return scriptErrorf("%v", err)
		}
	}
	for _, dir := range dirs {
		r.faults.setCut(dir, client)
	}
	return nil
}

func (r *relay) setDelay(args []string) error {
	if len(args) != 2 {
		return scriptErrorf("usage: relay delay NAME to|from|both DELAY")
	}
	dirs, err := directions(args[0])
	if err != nil {
		return err
	}
	d, err := time.ParseDuration(args[1])
	if err != nil {
		return scriptErrorf("%v", err)
	}
	for _, dir := range dirs {
		r.faults.setDelay(dir, d)
	}
	return nil
}

// silence permanently drops the traffic of the connections and UDP flows that are open
// now, without closing them. Later connections, and datagrams from other client ports,
// are forwarded.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pipes {
		p.silent.Store(true)
	}
	for _, f := range r.flows {
		f.silent.Store(true)
	}
}

// closeConnections closes all TCP connections, so that both sides notice it.
func (r *relay) closeConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pipes {
		p.close()
	}
}

func (r *relay) close() {
	close(r.stop)
	r.tcp.Close()
	r.udp.Close()
	r.closeConnections()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.conn.Close()
	}
}

// clientAddr returns the IP address of a client in the form that cuts use, which is not
// mapped into IPv6.
func clientAddr(a net.Addr) netip.Addr {
	p, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return netip.Addr{}
	}
	return p.Addr().Unmap()
}
