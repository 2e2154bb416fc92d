package scenario

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	maxDatagram = 64 << 10
	// flowQueue is the number of queued datagrams in one direction of a flow. When the
	// queue is full, further datagrams are lost.
	flowQueue = 4096
)

// flow forwards the datagrams of one client address and port. The target sees each flow
// from a separate port.
type flow struct {
	relay    *relay
	client   netip.AddrPort
	conn     *net.UDPConn // to the target
	silent   atomic.Bool
	outbound chan chunk // to the target
	inbound  chan chunk // to the client
}

func (r *relay) readUDP() {
	b := make([]byte, maxDatagram)
	for {
		n, client, err := r.udp.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		f, err := r.flow(client)
		if err != nil {
			continue
		}
		f.enqueue(toTarget, f.outbound, b[:n])
	}
}

func (r *relay) flow(client netip.AddrPort) (*flow, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.flows[client]; f != nil {
		return f, nil
	}
	addr, err := net.ResolveUDPAddr("udp", r.target)
	if err != nil {
		return nil, err
	}
	conn, err := net.DialUDP("udp", nil, addr)
	if err != nil {
		return nil, err
	}
	f := &flow{
		relay: r, client: client, conn: conn,
		outbound: make(chan chunk, flowQueue), inbound: make(chan chunk, flowQueue),
	}
	r.flows[client] = f
	go f.readTarget()
	go f.deliver(toTarget, f.outbound, func(b []byte) { f.conn.Write(b) })
	go f.deliver(fromTarget, f.inbound, func(b []byte) { r.udp.WriteToUDPAddrPort(b, client) })
	return f, nil
}

func (f *flow) readTarget() {
	b := make([]byte, maxDatagram)
	for {
		n, err := f.conn.Read(b)
		select {
		case <-f.relay.stop:
			return
		default:
		}
		if err != nil {
			// Reads fail while nothing listens on the target's port. Datagrams from
			// before and after that are still forwarded.
			time.Sleep(time.Millisecond)
			continue
		}
		f.enqueue(fromTarget, f.inbound, b[:n])
	}
}

// enqueue copies a datagram into the queue. As in a network, the datagram is lost if the
// direction is cut, the flow is silent or the queue is full.
func (f *flow) enqueue(dir direction, queue chan<- chunk, b []byte) {
	isCut, _ := f.relay.faults.isCut(dir, f.client.Addr().Unmap())
	if isCut || f.silent.Load() {
		return
	}
	c := chunk{append([]byte(nil), b...), time.Now().Add(f.relay.faults.delay(dir))}
	select {
	case queue <- c:
	default:
	}
}

func (f *flow) deliver(dir direction, queue <-chan chunk, send func([]byte)) {
	for {
		select {
		case <-f.relay.stop:
			return
		case c := <-queue:
			time.Sleep(time.Until(c.due))
			send(c.data)
		}
	}
}
