package distribute

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwithub/godwithub/credential"
	"github.com/godwithub/godwithub/resource"
)

const (
	// proofPollInterval is the mean interval between polls of a node that needs a lease. A node that loses control
	// just before a poll has to bridge 3 s and a retransmitted SYN with a lease of 4.5 s.
	proofPollInterval = 800 * time.Millisecond
	// urgentPollInterval is the mean interval once urgentShare of the lease has passed, and before the first proof.
	urgentPollInterval = 200 * time.Millisecond
	urgentShare        = 0.3
	// proofPollTimeout bounds one poll for a proof. The next ones do not wait for it.
	proofPollTimeout = 800 * time.Millisecond
	// proofHedgeDelay is HedgeDelay for polls that are not urgent. A member far from its leader waits for its turn, the
	// leader and the leader's quorum; a hedge would go to another region meanwhile.
	proofHedgeDelay = 500 * time.Millisecond
	// urgentFor bounds the time of frequent polls, which would load control while it has no quorum for long.
	urgentFor = 10 * time.Second
	// leaseCheckInterval is how often the end of the lease is looked for, for the log.
	leaseCheckInterval = 250 * time.Millisecond
)

// proofs holds the lease of a node. It is safe for concurrent use.
type proofs struct {
	bound time.Duration // 0: no lease is needed
	clock func() credential.Instant

	mu      sync.Mutex
	lease   credential.Lease
	changed chan struct{} // closed when the lease changes

	fromControl, fromNodes, expired atomic.Uint64
}

func newProofs(c Config) *proofs {
	return &proofs{bound: c.LeaseBound, clock: c.Clock, changed: make(chan struct{})}
}

// needed reports whether the node needs a lease.
func (p *proofs) needed() bool { return p.bound > 0 }

// record adds the proof of a reply to a question that was sent at asked, and counts it if it is new. proof may be nil.
func (p *proofs) record(asked credential.Instant, proof *agedProof, counter *atomic.Uint64) {
	if proof == nil || proof.Age < 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lease.Record(credential.Proof{Version: proof.Version, At: asked.Add(-proof.Age)}) {
		counter.Add(1)
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

// newestProof returns the newest proof with its age, or nil if there is none.
func (p *proofs) newestProof() *agedProof {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest, ok := p.lease.Newest()
	if !ok {
		return nil
	}
	return &agedProof{newest.Version, p.clock().Sub(newest.At)}
}

// remaining returns for how long the lease of version v still holds; 0 if no lease is needed.
func (p *proofs) remaining(v resource.Version) time.Duration {
	if !p.needed() {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.lease.ProvenAt(v)
	if now := p.clock(); ok && p.lease.Valid(now, p.bound, v) {
		return p.bound - now.Sub(at)
	}
	return 0
}

// Fresh reports whether each change that was acknowledged more than Config.LeaseBound ago is part of the
// configuration of version v. It is always true if no lease is needed.
func (f *Follower) Fresh(v resource.Version) bool {
	p := f.proofs
	if !p.needed() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lease.Valid(p.clock(), p.bound, v)
}

// ProofsChanged returns a channel that is closed at the next change of what Fresh depends on, other than time.
func (f *Follower) ProofsChanged() <-chan struct{} {
	f.proofs.mu.Lock()
	defer f.proofs.mu.Unlock()
	return f.proofs.changed
}

// isUrgent reports whether the lease needs a proof soon.
func (f *Follower) isUrgent() bool {
	remaining := f.proofs.remaining(f.holder.Version())
	return remaining < time.Duration((1-urgentShare)*float64(f.proofs.bound))
}

// runProofPolls asks control for proofs at intervals, also while this node watches control: a message on a watch
// answers no question, so that the node cannot tell when control was asked. While proofs are missing, it asks more
// often, and other nodes as well. A question does not wait for the answers to earlier ones.
func (f *Follower) runProofPolls(ctx context.Context) {
	var polls sync.WaitGroup
	defer polls.Wait()
	urgentSince := time.Now()
	for {
		urgent := f.isUrgent()
		if !urgent {
			urgentSince = time.Now()
		}
		hedgeDelay := proofHedgeDelay
		if urgent {
			hedgeDelay = f.cfg.HedgeDelay
		}
		polls.Go(func() {
			pollCtx, cancel := context.WithTimeout(ctx, proofPollTimeout)
			defer cancel()
			if asked := time.Now(); f.pollControl(pollCtx, hedgeDelay) {
				f.confirmations.record(asked, true)
			}
		})
		interval := proofPollInterval
		if urgent {
			if time.Since(urgentSince) < urgentFor {
				interval = urgentPollInterval
			}
			for _, q := range f.peers.pickForProof() {
				polls.Go(func() { f.askPeerForProof(ctx, q) })
			}
		}
		if !sleep(ctx, jitter(interval)) {
			return
		}
	}
}

// askPeerForProof asks another node for its newest proof.
func (f *Follower) askPeerForProof(ctx context.Context, q peer) {
	ctx, cancel := context.WithTimeout(ctx, proofPollTimeout)
	defer cancel()
	asked := f.cfg.Clock()
	reply, err := pull(ctx, f.nodeDialer, q.addr, request{VersionOnly: true, Proof: true}, f.cfg.FrameTimeout)
	if err != nil || reply.proof == nil {
		return
	}
	f.learnControlVersion(reply.proof.Version)
	f.proofs.record(asked, reply.proof, &f.proofs.fromNodes)
}

// reportLease logs when the lease runs out and when it holds again.
func (f *Follower) reportLease(ctx context.Context) {
	if !f.proofs.needed() {
		return
	}
	held, since := false, time.Now()
	for sleep(ctx, leaseCheckInterval) {
		v := f.holder.Version()
		if fresh := f.Fresh(v); fresh != held {
			held = fresh
			if fresh {
				f.log.Info("configuration is known to be current", "version", v.String(), "unknown_ms", time.Since(since).Milliseconds())
			} else {
				f.proofs.expired.Add(1)
				f.log.Warn("configuration is not known to be current: requests with keys are refused", "version", v.String())
			}
			since = time.Now()
		}
	}
}

// ProveCurrent makes the server prove that the version of its holder is the newest, to nodes that ask for a
// proof. The handler that passes such requests on to HandlePull has to confirm that beforehand, after the request has
// arrived; see AsksProof.
func (s *Server) ProveCurrent() {
	s.prove = func() *agedProof { return &agedProof{Version: s.holder.Version()} }
}
