package replica

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/consensus/disk"
)

// BenchmarkCommit measures commits of 200-byte commands by a group of three replicas in one process,
// which are connected by an in-memory network.
func BenchmarkCommit(b *testing.B) {
	for _, store := range []string{"disk", "volatile"} {
		for _, callers := range []int{1, 64} {
			b.Run(fmt.Sprintf("%s/callers=%d", store, callers), func(b *testing.B) {
				stores := volatileStores(3)
				if store == "disk" {
					stores = diskStores(b, 3)
				}
				replicas, _ := newMemoryNetwork().startGroup(b, stores...)
				defer stopAll(b, replicas)
				benchmarkPropose(b, waitForLeader(b, replicas), callers)
			})
		}
	}
}

func diskStores(t testing.TB, n int) []consensus.Store {
	var out []consensus.Store
	for range n {
		s, err := disk.Open(t.TempDir())
		assert.NilError(t, err)
		out = append(out, s)
	}
	return out
}

func benchmarkPropose(b *testing.B, leader *Replica, callers int) {
	command := make([]byte, 200)
	var wg sync.WaitGroup
	work := make(chan struct{})
	for range callers {
		wg.Go(func() {
			for range work {
				_, err := leader.Propose(b.Context(), command)
				assert.Check(b, err)
			}
		})
	}
	for b.Loop() {
		work <- struct{}{}
	}
	close(work)
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
}

// BenchmarkRestart measures the time from opening a data folder with 1,000 committed commands to the
// first confirmed read.
func BenchmarkRestart(b *testing.B) {
	folder := b.TempDir()
	start := func() *Replica {
		s, err := disk.Open(folder)
		assert.NilError(b, err)
		founders := consensus.Membership{{ID: s.ID(), Voter: true}}
		// The only voter campaigns at its first tick, so most of the measured time is spent opening
		// the store, checking it and applying its entries.
		return newMemoryNetwork().start(b, Config{
			Store: s, Machine: &countingMachine{}, Founders: founders, SnapshotBytes: 64 << 20,
			TickInterval: time.Millisecond,
		})
	}
	r := start()
	waitForLeader(b, []*Replica{r})
	for range 1000 {
		_, err := r.Propose(b.Context(), make([]byte, 500))
		assert.NilError(b, err)
	}
	assert.NilError(b, r.Stop())
	for b.Loop() {
		r := start()
		for r.ReadBarrier(b.Context()) != nil {
			time.Sleep(time.Millisecond)
		}
		assert.NilError(b, r.Stop())
	}
}
