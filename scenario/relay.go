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

// relay forwards TCP connections and UDP datagrams from its address to a
// target, and fails as a network does: what it drops is held or lost without
// a sign to either side.
//
// Clients are told apart by IP address. The connections to the target come
// from the relay's own address.
type relay struct {
	target string
	gate   *gate
	tcp    net.Listener
	udp    *net.UDPConn
	stop   chan struct{}

	mu    sync.Mutex
	pipes map[*pipe]bool
	flows map[netip.AddrPort]*flow
}

func relayCommand(w *world, ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return misused("usage: relay ACTION NAME ...")
	}
	action, name, rest := args[0], args[1], args[2:]
	if action == "start" {
		if len(rest) != 2 {
			return misused("usage: relay start NAME LISTEN TARGET")
		}
		return w.startRelay(name, rest[0], rest[1])
	}
	w.mu.Lock()
	r := w.relays[name]
	w.mu.Unlock()
	if r == nil {
		return misused("no relay %q", name)
	}
	switch action {
	case "cut":
		return r.cut(rest)
	case "heal":
		r.gate.heal()
	case "delay":
		return r.setDelay(rest)
	case "silence":
		r.silence()
	case "break":
		r.breakAll()
	default:
		return misused("relay %s: no such action", action)
	}
	return nil
}

func (w *world) startRelay(name, listen, target string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.relays[name] != nil {
		return misused("relay %q runs already", name)
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
		return nil, fmt.Errorf("relay: %w", err)
	}
	// UDP takes the port that TCP got, in case listen asks for any.
	addr := tcp.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: addr.IP, Port: addr.Port})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("relay: %w", err), tcp.Close())
	}
	r := &relay{
		target: target, gate: newGate(), tcp: tcp, udp: udp,
		stop:  make(chan struct{}),
		pipes: map[*pipe]bool{}, flows: map[netip.AddrPort]*flow{},
	}
	go r.acceptTCP()
	go r.readUDP()
	return r, nil
}

func (r *relay) cut(args []string) error {
	if len(args) < 1 || len(args) > 2 {
		return misused("usage: relay cut NAME to|from|both [IP]")
	}
	ways, err := directions(args[0])
	if err != nil {
		return err
	}
	var client netip.Addr
	if len(args) == 2 {
		if client, err = netip.ParseAddr(args[1]); err != nil {
			return misused("%v", err)
		}
	}
	for _, way := range ways {
		r.gate.setCut(way, client)
	}
	return nil
}

func (r *relay) setDelay(args []string) error {
	if len(args) != 2 {
		return misused("usage: relay delay NAME to|from|both DURATION")
	}
	ways, err := directions(args[0])
	if err != nil {
		return err
	}
	d, err := time.ParseDuration(args[1])
	if err != nil {
		return misused("%v", err)
	}
	for _, way := range ways {
		r.gate.setDelay(way, d)
	}
	return nil
}

// silence makes what is open now silent for good. Later connections, and
// datagrams from other client ports, pass.
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

// breakAll closes all connections, visibly to both sides.
func (r *relay) breakAll() {
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
	r.breakAll()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.conn.Close()
	}
}

// clientAddr returns the IP address of a peer in the form that cuts use.
func clientAddr(a net.Addr) netip.Addr {
	p, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return netip.Addr{}
	}
	return p.Addr().Unmap()
}
