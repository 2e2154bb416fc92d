// Package bench measures parts of the system on one machine: the transports of links between nodes,
// the latency that the system adds to a request, the memory that idle nodes and open connections
// take, and the sizes of control messages.
package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/link/quiclink"
	"github.com/godwithub/godwithub/link/tlslink"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/wire"
)

// Links compares the transports of links: TLS, and QUIC with different numbers of connections.
type Links struct {
	Rates     []int         // exchanges per second
	Duration  time.Duration // of each run
	QUICConns []int         // numbers of QUIC connections to compare
	Out       io.Writer
}

const (
	answerBytes = 1024
	// maxLatency is the upper bound of latency histograms, in microseconds.
	maxLatency = 60_000_000
)

// linkResult is the result of one transport at one rate.
type linkResult struct {
	name      string
	rate      int
	hist      *hdrhistogram.Histogram
	errors    int
	cpu       time.Duration
	allocs    uint64
	exchanges int
}

// Run measures each transport at each rate and prints a table. At each rate all transports run one
// after the other, so that a change of the machine's load affects all of them.
func (l Links) Run() error {
	dir, err := os.MkdirTemp("", "godwithub-bench-")
	if err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	defer os.RemoveAll(dir)
	ring, err := newRing(dir)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(l.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "rate/s\ttransport\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\tcpu ms/exchange\tallocs/exchange\terrors")
	for _, rate := range l.Rates {
		for _, t := range l.transports() {
			r, err := t.measure(ring, rate, l.Duration)
			if err != nil {
				return err
			}
			r.print(w)
		}
	}
	return w.Flush()
}

func newRing(dir string) (*keys.Ring, error) {
	if err := keys.Init(dir); err != nil {
		return nil, err
	}
	if err := keys.Issue(dir, dir, "bench", keys.RoleNode, time.Hour); err != nil {
		return nil, err
	}
	return keys.Load(dir)
}

type transport struct {
	name string
	open func(ring *keys.Ring) (link.Dialer, link.Listener, error)
}

func (l Links) transports() []transport {
	list := []transport{{"tls", func(ring *keys.Ring) (link.Dialer, link.Listener, error) {
		ln, err := tlslink.Listen("127.0.0.1:0", ring.Server())
		return tlslink.NewDialer("", ring.Client(keys.RoleNode)), ln, err
	}}}
	for _, conns := range l.QUICConns {
		list = append(list, transport{fmt.Sprintf("quic, %d conns", conns), func(ring *keys.Ring) (link.Dialer, link.Listener, error) {
			d, err := quiclink.NewDialer("127.0.0.1", ring.Client(keys.RoleNode), conns)
			if err != nil {
				return nil, nil, err
			}
			ln, err := quiclink.Listen("127.0.0.1:0", ring.Server())
			return d, ln, err
		}})
	}
	return list
}

func (t transport) measure(ring *keys.Ring, rate int, duration time.Duration) (*linkResult, error) {
	d, ln, err := t.open(ring)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	defer ln.Close()
	mux := link.NewMux(logging.Discard())
	mux.Handle(wire.FrameAttempt, answerExchange)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go mux.Serve(ctx, ln)

	warmUp := duration / 5
	callAtRate(rate, warmUp, func(time.Time) { exchange(ctx, d, ln.Addr()) })
	r := &linkResult{name: t.name, rate: rate, hist: hdrhistogram.New(1, maxLatency, 3)}
	var mu sync.Mutex
	before := ownUsage()
	r.exchanges = callAtRate(rate, duration, func(planned time.Time) {
		err := exchange(ctx, d, ln.Addr())
		latency := time.Since(planned)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			r.errors++
			return
		}
		r.hist.RecordValue(latency.Microseconds())
	})
	after := ownUsage()
	r.cpu, r.allocs = after.cpu-before.cpu, after.allocs-before.allocs
	return r, nil
}

// callAtRate calls do at a constant rate, each time in a new goroutine. It waits until all calls
// have returned and returns their number.
func callAtRate(rate int, duration time.Duration, do func(planned time.Time)) int {
	var wg sync.WaitGroup
	n := int(float64(rate) * duration.Seconds())
	start := time.Now()
	for i := range n {
		planned := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(planned))
		wg.Go(func() { do(planned) })
	}
	wg.Wait()
	return n
}

var answerBody = make([]byte, answerBytes)

// answerExchange serves one exchange with the frames of an attempt.
func answerExchange(_ context.Context, s link.Stream, _ link.Frame) {
	s.WriteFrame(wire.FrameAck, nil)
	if err := wire.Read(s, wire.FrameEnd, nil); err != nil {
		s.Reset()
		return
	}
	head, _ := wire.Encode(&wire.AnswerHead{RequestID: "r", Status: 200, BodyBytes: answerBytes})
	s.BufferFrame(wire.FrameAnswer, head)
	s.BufferFrame(wire.FrameData, answerBody)
	if err := wire.Write(s, wire.FrameAnswerEnd, &wire.AnswerEnd{BodyBytes: answerBytes}); err != nil {
		s.Reset()
		return
	}
	s.Close()
}

func exchange(ctx context.Context, d link.Dialer, addr string) error {
	s, err := d.Open(ctx, addr)
	if err != nil {
		return err
	}
	head, _ := wire.Encode(&wire.AttemptHead{AttemptID: "a", RequestID: "r", Service: "s", Kind: "k"})
	s.BufferFrame(wire.FrameAttempt, head)
	if err := s.WriteFrame(wire.FrameEnd, nil); err != nil {
		s.Reset()
		return err
	}
	for {
		f, err := s.ReadFrame()
		if err != nil {
			s.Reset()
			return err
		}
		if f.Type == wire.FrameAnswerEnd {
			return s.Close()
		}
	}
}

type usage struct {
	cpu    time.Duration
	allocs uint64
}

// ownUsage returns the processor time and the number of allocations of this process so far.
func ownUsage() usage {
	var ru syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{time.Duration(ru.Utime.Nano() + ru.Stime.Nano()), m.Mallocs}
}

func (r *linkResult) print(w io.Writer) {
	ms := func(q float64) float64 { return float64(r.hist.ValueAtQuantile(q)) / 1000 }
	n := max(1, r.exchanges)
	fmt.Fprintf(w, "%d\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t%d\t%d\n", r.rate, r.name, ms(50), ms(99), ms(99.9),
		float64(r.hist.Max())/1000, r.cpu.Seconds()*1000/float64(n), int(r.allocs)/n, r.errors)
}
