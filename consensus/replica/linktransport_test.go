package replica

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/consensus/volatile"
	_ "github.com/godwithub/godwithub/internal/testseed"
	"github.com/godwithub/godwithub/internal/testwait"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/link/tlslink"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/wire"
)

// Guards against messages larger than a frame that are reassembled wrongly when their fragments are
// interleaved.
func TestLargeMessagesAreReassembled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, 4*link.MaxPayload), 1, 5).Draw(t, "sizes")
		var unsent []*fragmentedMessage
		for i, size := range sizes {
			body := make([]byte, size)
			rand.Read(body)
			m := consensus.Message{Group: fmt.Sprint(i), Snapshot: &consensus.Snapshot{Data: body}}
			b, err := wire.Encode(m)
			assert.NilError(t, err)
			unsent = append(unsent, &fragmentedMessage{id: uint64(i), body: b})
		}
		in := reassembler{}
		got := map[string]int{}
		for len(unsent) > 0 {
			i := rapid.IntRange(0, len(unsent)-1).Draw(t, "next")
			payload := unsent[i].appendFragment(nil)
			assert.Assert(t, len(payload) <= link.MaxPayload)
			messages, _, err := in.addFrame(payload)
			assert.NilError(t, err)
			for _, m := range messages {
				got[m.Group] = len(m.Snapshot.Data)
			}
			if unsent[i].done() {
				unsent = append(unsent[:i], unsent[i+1:]...)
			}
		}
		for i, size := range sizes {
			assert.Equal(t, got[fmt.Sprint(i)], size)
		}
	})
}

// Guards against malformed frames that crash the process or make it use unbounded memory.
func TestMalformedFramesAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := reassembler{}
		for range 100 {
			if _, _, err := in.addFrame(rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "frame")); err != nil {
				return
			}
		}
	})
}

// silentStream accepts frames and never answers, like a connection whose other end has vanished.
type silentStream struct{ reset chan struct{} }

func (s *silentStream) ReadFrame() (link.Frame, error) {
	<-s.reset
	return link.Frame{}, link.ErrReset
}
func (s *silentStream) WriteFrame(link.FrameType, []byte) error  { return nil }
func (s *silentStream) BufferFrame(link.FrameType, []byte) error { return nil }
func (s *silentStream) SetReadDeadline(time.Time) error          { return nil }
func (s *silentStream) Close() error                             { return nil }
func (s *silentStream) PeerName() string                         { return "" }
func (s *silentStream) PeerHasRole(string) bool                  { return true }
func (s *silentStream) Reset() {
	select {
	case <-s.reset:
	default:
		close(s.reset)
	}
}

type silentDialer struct{ opened, replaced int }

func (d *silentDialer) Open(context.Context, string) (link.Stream, error) {
	d.opened++
	return &silentStream{make(chan struct{})}, nil
}
func (d *silentDialer) Replace(string) { d.replaced++ }
func (d *silentDialer) Close() error   { return nil }

// Guards against a transport that keeps writing messages to a connection that has gone silent.
func TestSilentStreamIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &silentDialer{}
		tr := NewLinkTransport(d, nil, logging.Discard())
		for range 60 {
			tr.Send(consensus.Message{Type: consensus.MsgHeartbeat, ToAddr: "peer"})
			time.Sleep(100 * time.Millisecond)
		}
		tr.Close()
		synctest.Wait()
		assert.Assert(t, d.replaced >= 1 && d.opened >= 2, "opened %d, replaced %d", d.opened, d.replaced)
	})
}

// linkNode simulates one process: a link transport and a listener on the loopback interface.
type linkNode struct {
	addr      string
	transport *LinkTransport
	dialer    link.Dialer
	stop      func()
}

func startLinkNode(t *testing.T, ring *keys.Ring) *linkNode {
	l, err := tlslink.Listen("127.0.0.1:0", ring.Server())
	assert.NilError(t, err)
	d := tlslink.NewDialer("", ring.Client(keys.RoleControl))
	n := &linkNode{addr: l.Addr(), dialer: d, transport: NewLinkTransport(d, nil, logging.Discard())}
	mux := link.NewMux(logging.Discard())
	mux.Handle(wire.FrameConsensus, n.transport.Handle)
	ctx, cancel := context.WithCancel(context.Background())
	go mux.Serve(ctx, l)
	n.stop = func() {
		cancel()
		n.transport.Close()
		l.Close()
		mux.Wait()
		d.Close()
	}
	return n
}

func (n *linkNode) start(t *testing.T, id consensus.ReplicaID, founders consensus.Membership) *Replica {
	r, err := Start(Config{
		Group: "g", Core: consensus.Config{Seed: uint64(id)}, Addr: n.addr, Founders: founders, Store: volatile.New(id),
		Machine: &countingMachine{}, Transport: n.transport, TickInterval: 20 * time.Millisecond,
	})
	assert.NilError(t, err)
	n.transport.Register("g", r)
	return r
}

// Guards against a group that works over an in-memory network but not over links. It covers growth
// from one founder, commands larger than a frame, and the loss of the leader.
func TestGroupOverLinks(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, keys.Init(dir))
	assert.NilError(t, keys.Issue(dir, dir, "node", keys.RoleControl, time.Hour))
	ring, err := keys.Load(dir)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()

	var nodes []*linkNode
	var replicas []*Replica
	for i := range 3 {
		id := consensus.ReplicaID(i + 1)
		n := startLinkNode(t, ring)
		nodes = append(nodes, n)
		if i == 0 {
			replicas = append(replicas, n.start(t, id, consensus.Membership{{ID: id, Addr: n.addr, Voter: true}}))
			waitForLeader(t, replicas)
			continue
		}
		replicas = append(replicas, n.start(t, id, nil))
		assert.NilError(t, replicas[0].ChangeMembership(ctx, consensus.MemberChange{Kind: consensus.AddLearner, ID: id, Addr: n.addr}))
		assert.NilError(t, replicas[0].ChangeMembership(ctx, consensus.MemberChange{Kind: consensus.Promote, ID: id}))
	}
	_, err = replicas[0].Propose(ctx, make([]byte, 5*link.MaxPayload))
	assert.NilError(t, err)
	assert.NilError(t, replicas[0].Stop())
	nodes[0].stop()
	survivors := replicas[1:]
	testwait.Until(t, waitLimit, "a commit by another leader", func() bool {
		_, err := waitForLeader(t, survivors).Propose(ctx, []byte("x"))
		var unknown *OutcomeUnknownError
		assert.Assert(t, err == nil || errors.As(err, &unknown) || errors.Is(err, consensus.ErrNotLeader), "%v", err)
		return err == nil
	})
	for i, n := range nodes[1:] {
		assert.NilError(t, survivors[i].Stop())
		n.stop()
	}
}
