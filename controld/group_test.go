package controld

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/client"
	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/consensus/replica"
	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/control/server"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/resource"
)

// testGroup is a control group that runs in the test process.
type testGroup struct {
	t         *testing.T
	dir       string
	token     string
	addrs     map[string]address
	stopFuncs map[string]func()
	killFuncs map[string]func()
	// selfRepair makes members join the group and repair it by themselves.
	selfRepair bool
	// seeds are the members that the settings of a member name; nil: all.
	seeds []string
	// distributes connects members to nodes.
	distributes bool
	// listenAddrs holds the link addresses that members listen at, if others reach them at another one.
	listenAddrs map[string]string
}

func newTestGroup(t *testing.T, ids ...string) *testGroup {
	dir := t.TempDir()
	g := &testGroup{t: t, dir: dir, addrs: map[string]address{}, stopFuncs: map[string]func(){}, killFuncs: map[string]func(){}}
	assert.NilError(t, keys.Init(g.path("ca")))
	var err error
	g.token, err = server.NewToken(g.path("tokens"), "op", server.RoleAdmin)
	assert.NilError(t, err)
	network := freeNetwork(t)
	for i, id := range ids {
		assert.NilError(t, keys.Issue(g.path("ca"), g.path("keys-"+id), id, keys.RoleControl, time.Hour))
		ip := fmt.Sprintf("%s.%d", network, i+2)
		g.addrs[id] = address{id, ip + ":7000", ip + ":8443"}
	}
	t.Cleanup(func() {
		for id := range g.stopFuncs {
			g.stop(id)
		}
	})
	return g
}

// freeNetwork returns the first three octets of a loopback network that no other test uses. With an
// address of its own, a member can have fixed ports. They are below the range of ephemeral ports and
// therefore stay free while the member is down.
func freeNetwork(t *testing.T) string {
	for range 100 {
		network := fmt.Sprintf("127.%d.%d", 16+rand.IntN(230), rand.IntN(256))
		if l, err := net.Listen("tcp", network+".1:65001"); err == nil {
			t.Cleanup(func() { l.Close() })
			return network
		}
	}
	t.Fatal("no free network")
	return ""
}

func (g *testGroup) path(name string) string { return filepath.Join(g.dir, name) }

// start starts a member. Without founders it waits to be added to an existing group.
func (g *testGroup) start(id string, founders ...string) *Daemon {
	g.t.Helper()
	a := g.addrs[id]
	settings := Defaults()
	settings.NodeID, settings.LinkAddr, settings.APIAddr, settings.DebugAddr = id, a.linkAddr, a.apiAddr, "127.0.0.1:0"
	settings.Region, settings.FailureDomain, settings.GossipAddr = "doto", "obihiro-a", "127.0.0.1:0"
	settings.DataDir, settings.KeysDir, settings.TokenFile = g.path("data-"+id), g.path("keys-"+id), g.path("tokens")
	if listen := g.listenAddrs[id]; listen != "" {
		settings.LinkAddr, settings.LinkAdvertise = listen, a.linkAddr
	}
	for _, f := range founders {
		b := g.addrs[f]
		settings.Founders = append(settings.Founders, f+"="+b.linkAddr+"/"+b.apiAddr)
	}
	settings.Join = len(founders) == 0
	settings.ShutdownTimeout = 2 * time.Second
	settings.SelfRepair = g.selfRepair
	for name, b := range g.addrs {
		if g.seeds == nil || slices.Contains(g.seeds, name) {
			settings.Seeds = append(settings.Seeds, b.linkAddr)
		}
	}
	assert.NilError(g.t, settings.Check())
	options, disconnect := Options{}, func() error { return nil }
	if g.distributes {
		var f *Fleet
		f, options = NewFleet()
		disconnect = f.Close
	}
	options.Replicate = Replicate
	d, err := New(settings, logging.Discard(), options)
	assert.NilError(g.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	g.stopFuncs[id] = func() {
		cancel()
		assert.NilError(g.t, <-ended)
		assert.NilError(g.t, disconnect())
	}
	g.killFuncs[id] = func() {
		d.replication.Close()
		cancel()
		<-ended
		disconnect()
	}
	return d
}

func (g *testGroup) stop(id string) {
	stop := g.stopFuncs[id]
	// A failure in stop runs the cleanup, which stops what is left.
	delete(g.stopFuncs, id)
	stop()
}

// kill ends members at the same moment, as if their processes were killed: their replicas end first.
func (g *testGroup) kill(ids ...string) {
	var ending sync.WaitGroup
	for _, id := range ids {
		delete(g.stopFuncs, id)
		ending.Go(g.killFuncs[id])
	}
	ending.Wait()
}

func (g *testGroup) client(ids ...string) *client.Client {
	tlsConfig, err := keys.APIClient(g.path("ca/ca.crt"))
	assert.NilError(g.t, err)
	var servers []string
	for _, id := range ids {
		servers = append(servers, g.addrs[id].apiAddr)
	}
	c, err := client.New(client.Config{Servers: servers, TLS: tlsConfig, Token: g.token, RetryFor: 20 * time.Second})
	assert.NilError(g.t, err)
	g.t.Cleanup(c.Close)
	return c
}

func (g *testGroup) member(id string) apiv1.Member {
	a := g.addrs[id]
	return apiv1.Member{ID: id, LinkAddr: a.linkAddr, APIAddr: a.apiAddr, Voter: true}
}

// write creates a caller with the given name.
func (g *testGroup) write(c *client.Client, name string) {
	g.t.Helper()
	o := &resource.Caller{Meta: resource.Meta{Name: name}, Weight: 1}
	_, err := c.Apply(g.t.Context(), []apiv1.Write{{Op: apiv1.OpPut, Object: &apiv1.Resource{Object: o}}}, client.WriteOptions{})
	assert.NilError(g.t, err)
}

func (g *testGroup) voterIDs(c *client.Client) (ids []string) {
	g.t.Helper()
	members, err := c.Members(g.t.Context())
	assert.NilError(g.t, err)
	for _, m := range members {
		assert.Assert(g.t, m.Voter, "%s is not a voter", m.ID)
		ids = append(ids, m.ID)
	}
	return ids
}

// Guards against a blank disk that founds a second group or votes under the replica id of the lost
// one, against a replacement after which the group loses its quorum with the next failure, and
// against membership changes that lose configuration.
func TestLostDiskIsReplaced(t *testing.T) {
	g := newTestGroup(t, "c1", "c2", "c3", "c4")
	founders := []string{"c1", "c2", "c3"}
	for _, id := range founders {
		g.start(id, founders...)
	}
	c := g.client("c1", "c2", "c3", "c4")
	g.write(c, "a")
	assert.DeepEqual(t, g.voterIDs(c), founders)

	g.stop("c2")
	assert.NilError(t, os.RemoveAll(g.path("data-c2")))
	blank := g.start("c2", founders...)
	group := blank.replication.(*Group)
	waitFor(t, func() error {
		if group.replica.Load() == nil {
			return errors.New("the replica has not started")
		}
		return nil
	})
	g.write(c, "b")
	assert.Equal(t, group.info().Blank, true)
	assert.Equal(t, len(group.Members()), 0)

	_, err := c.PutMember(t.Context(), g.member("c2"), client.WriteOptions{})
	assert.NilError(t, err)
	assert.DeepEqual(t, g.voterIDs(c), founders)
	// The next failure leaves the new replica and one other.
	g.stop("c3")
	g.write(c, "c")
	g.start("c4")
	_, err = c.ReplaceMember(t.Context(), "c3", g.member("c4"), client.WriteOptions{})
	assert.NilError(t, err)
	assert.DeepEqual(t, g.voterIDs(c), []string{"c1", "c2", "c4"})
	_, err = c.RemoveMember(t.Context(), "c1", client.WriteOptions{})
	assert.NilError(t, err)
	g.write(c, "d")
	assert.DeepEqual(t, g.voterIDs(c), []string{"c2", "c4"})
	callers, err := c.List(t.Context(), resource.TypeCaller, 100, "")
	assert.NilError(t, err)
	assert.Equal(t, len(callers.Items), 4)
}

// Guards against adding a member whose log belongs to another group, and against a process at the
// member's address that has a certificate for another name.
func TestMembersWithForeignLogOrNameAreRefused(t *testing.T) {
	g := newTestGroup(t, "c1", "c2", "c3")
	g.start("c1", "c1")
	g.start("c2", "c2")
	c := g.client("c1")
	g.write(c, "a")
	g.write(g.client("c2"), "b")
	_, err := c.PutMember(t.Context(), g.member("c2"), client.WriteOptions{})
	assert.ErrorContains(t, err, "is not blank")
	wrong := g.member("c2")
	wrong.ID = "c3"
	_, err = c.PutMember(t.Context(), wrong, client.WriteOptions{})
	assert.ErrorContains(t, err, `is for "c2", not for "c3"`)
	_, err = c.RemoveMember(t.Context(), "c1", client.WriteOptions{})
	assert.ErrorContains(t, err, "last voter")
	assert.DeepEqual(t, g.voterIDs(c), []string{"c1"})
}

func waitFor(t *testing.T, condition func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = condition(); err == nil {
			return
		}
	}
	t.Fatal(err)
}

// Guards against a proposal with an unknown outcome that is reported as not applied: the operator
// would send it again under a new change id, and it would be applied twice.
func TestOutcomeUnknownErrorsStayUnknown(t *testing.T) {
	definite := []error{control.ErrNotLeader, control.ErrClosed, control.ErrBusy, control.ErrTooLarge}
	for _, tt := range []struct{ err, want error }{
		{&replica.NotLeaderError{Leader: 1}, control.ErrNotLeader},
		{fmt.Errorf("wrapped: %w", consensus.ErrBusy), control.ErrBusy},
		{replica.ErrStopped, control.ErrClosed},
		{&replica.OutcomeUnknownError{Cause: &replica.NotLeaderError{}}, nil},
		{&replica.OutcomeUnknownError{Cause: replica.ErrStopped}, nil},
		{&replica.OutcomeUnknownError{Cause: context.DeadlineExceeded}, nil},
		{errors.New("other"), nil},
	} {
		got := mapError(tt.err)
		for _, d := range definite {
			assert.Equal(t, errors.Is(got, d), d == tt.want, "%v is mapped to %v", tt.err, got)
		}
	}
}
