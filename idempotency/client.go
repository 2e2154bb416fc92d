package idempotency

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/resource"
)

// ErrNoGroup is returned for a service without an idempotency group.
var ErrNoGroup = errors.New("idempotency: service has no idempotency group")

const (
	// maxBatchOps and maxBatchBytes bound the operations in one call.
	maxBatchOps   = 256
	maxBatchBytes = 1 << 20
	// maxConcurrentCalls bounds the calls in flight of one client to one group.
	maxConcurrentCalls = 8
	// maxQueuedOps bounds the queued operations of one group. Once the queue is full, callers
	// block.
	maxQueuedOps = 4096
	// callTimeout bounds one call to one node, after which another node is tried. It is several
	// round trips between regions.
	callTimeout = 400 * time.Millisecond
	// retryDelay is the wait before the members are tried again.
	retryDelay = 20 * time.Millisecond
)

// Client implements Claims. Operations on one group that arrive while calls are in flight are sent
// together. An operation is sent again until it has a result or its context ends. Operations are
// idempotent, so sending one repeatedly doesn't change its result.
type Client struct {
	caller GroupCaller
	group  func(service string) *resource.Group
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu       sync.Mutex
	batchers map[string]*batcher
}

// NewClient returns a client that sends calls through caller. group returns the current group of a
// service, or nil.
func NewClient(caller GroupCaller, group func(service string) *resource.Group) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{caller: caller, group: group, ctx: ctx, cancel: cancel, batchers: map[string]*batcher{}}
}

// Close closes the client. Operations in flight fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	c.tasks.Wait()
}

// Claim implements Claims.
func (c *Client) Claim(ctx context.Context, key Key, attempt AttemptID, expires time.Time) (ClaimResult, error) {
	if limit := time.Now().Add(MaxClaimDuration); expires.After(limit) {
		expires = limit
	}
	r, err := c.submit(ctx, Op{Kind: OpClaim, Key: key, Attempt: attempt, Expires: expires.UnixMilli()})
	return ClaimResult(r), err
}

// Fence implements Claims.
func (c *Client) Fence(ctx context.Context, key Key, attempt AttemptID) (FenceResult, error) {
	r, err := c.submit(ctx, Op{Kind: OpFence, Key: key, Attempt: attempt})
	return FenceResult(r), err
}

// Finish implements Claims. It returns an error if the attempt does not hold the key.
func (c *Client) Finish(ctx context.Context, key Key, attempt AttemptID, record Record) error {
	if record.answerBytes() > MaxAnswer {
		record.dropAnswer()
	}
	r, err := c.submit(ctx, Op{Kind: OpFinish, Key: key, Attempt: attempt, Record: &record})
	if err != nil {
		return err
	}
	if r.Status != StatusRecorded {
		return fmt.Errorf("idempotency: record of attempt %s was not stored: %s", attempt, r.Status)
	}
	return nil
}

// CommitLedger commits a command to the ledger that shares a group. The command is sent again only
// if it was not proposed. An error that wraps ErrUnknown means that the command may or may not be
// committed.
func (c *Client) CommitLedger(ctx context.Context, g *resource.Group, command []byte) ([]byte, error) {
	b := c.batcher(g.Name)
	if b == nil {
		return nil, context.Canceled
	}
	reply, err := b.call(ctx, g, GroupCall{Ledger: command}, false)
	return reply.Ledger, err
}

// ErrUnknown means that a command may or may not be committed.
var ErrUnknown = errors.New("idempotency: the command may or may not be committed")

type pendingOp struct {
	ctx    context.Context
	op     Op
	result chan Result
}

func (c *Client) submit(ctx context.Context, op Op) (Result, error) {
	g := c.group(op.Key.Service)
	if g == nil {
		return Result{}, fmt.Errorf("%w: %s", ErrNoGroup, op.Key.Service)
	}
	b := c.batcher(g.Name)
	if b == nil {
		return Result{}, context.Canceled
	}
	p := &pendingOp{ctx, op, make(chan Result, 1)}
	select {
	case b.queue <- p:
	case <-ctx.Done():
		return Result{}, ctx.Err()
	case <-c.ctx.Done():
		return Result{}, context.Canceled
	}
	select {
	case r := <-p.result:
		return r, nil
	case <-ctx.Done():
		return Result{}, fmt.Errorf("idempotency: no result for attempt %s: %w", op.Attempt, ctx.Err())
	case <-c.ctx.Done():
		return Result{}, context.Canceled
	}
}

// batcher returns the batcher of a group, or nil if the client is closed.
func (c *Client) batcher(group string) *batcher {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return nil
	}
	b := c.batchers[group]
	if b == nil {
		b = &batcher{client: c, queue: make(chan *pendingOp, maxQueuedOps), calls: make(chan struct{}, maxConcurrentCalls)}
		c.batchers[group] = b
		c.tasks.Go(b.run)
	}
	return b
}

// batcher sends the operations on one group in batches.
type batcher struct {
	client *Client
	queue  chan *pendingOp
	calls  chan struct{} // a semaphore of the calls in flight

	mu     sync.Mutex
	leader fleet.NodeID // last known
}

func (b *batcher) run() {
	for {
		select {
		case <-b.client.ctx.Done():
			return
		case b.calls <- struct{}{}:
		}
		var batch []*pendingOp
		select {
		case <-b.client.ctx.Done():
			return
		case p := <-b.queue:
			batch = b.collectBatch(p)
		}
		b.client.tasks.Go(func() {
			defer func() { <-b.calls }()
			b.send(batch)
		})
	}
}

func (b *batcher) collectBatch(first *pendingOp) []*pendingOp {
	batch, bytes := []*pendingOp{first}, first.op.size()
	for len(batch) < maxBatchOps && bytes < maxBatchBytes {
		select {
		case p := <-b.queue:
			batch = append(batch, p)
			bytes += p.op.size()
		default:
			return batch
		}
	}
	return batch
}

// size estimates the encoded size of an operation.
func (o *Op) size() int {
	n := 64 + len(o.Key.Value) + len(o.Attempt)
	if o.Record != nil {
		n += o.Record.answerBytes()
	}
	return n
}

// send sends a batch until it has results. Operations whose contexts have ended are left out of the
// next try.
func (b *batcher) send(batch []*pendingOp) {
	for {
		batch = withoutEnded(batch)
		if len(batch) == 0 || b.client.ctx.Err() != nil {
			return
		}
		g := b.client.group(batch[0].op.Key.Service)
		if g == nil {
			return
		}
		ops := make([]Op, len(batch))
		for i, p := range batch {
			ops[i] = p.op
		}
		ctx, cancel := withLatestDeadline(b.client.ctx, batch)
		reply, err := b.call(ctx, g, GroupCall{Ops: ops}, true)
		cancel()
		if err == nil && len(reply.Results) == len(batch) {
			for i, p := range batch {
				p.result <- reply.Results[i]
			}
			return
		}
		sleep(b.client.ctx, retryDelay)
	}
}

func withoutEnded(batch []*pendingOp) []*pendingOp {
	var out []*pendingOp
	for _, p := range batch {
		if p.ctx.Err() == nil {
			out = append(out, p)
		}
	}
	return out
}

// withLatestDeadline returns a context that ends at the latest deadline of the batch.
func withLatestDeadline(parent context.Context, batch []*pendingOp) (context.Context, context.CancelFunc) {
	var latest time.Time
	for _, p := range batch {
		deadline, ok := p.ctx.Deadline()
		if !ok {
			// Operations without a deadline are checked after each try.
			deadline = time.Now().Add(callTimeout)
		}
		if deadline.After(latest) {
			latest = deadline
		}
	}
	return context.WithDeadline(parent, latest)
}

// call tries the members of a group until one accepts the call or ctx ends. If resend is false, a
// call that may be committed is not sent again.
func (b *batcher) call(ctx context.Context, g *resource.Group, c GroupCall, resend bool) (GroupReply, error) {
	c.Group, c.Epoch = g.Name, g.Epoch
	err := fmt.Errorf("idempotency: group %s has no members", g.Name)
	for i := 0; ; i++ {
		node := b.nextNode(g, i)
		if node == "" {
			return GroupReply{}, err
		}
		tryCtx, cancel := context.WithTimeout(ctx, callTimeout)
		reply, callErr := b.client.caller.Call(tryCtx, node, c)
		cancel()
		switch {
		case callErr == nil && reply.Refusal == NotRefused:
			b.setLeader(node)
			return reply, nil
		case callErr != nil:
			err = callErr
		default:
			err = fmt.Errorf("idempotency: group %s: node %s refused the call: %s", g.Name, node, reply.Refusal)
		}
		if !resend && (callErr != nil || reply.Refusal == RefusedUnknown) {
			return GroupReply{}, fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		b.setLeader(reply.Leader)
		// Members may name each other as leader for a while, so the client follows their replies
		// without a pause for at most one round of tries.
		if callErr != nil || i%len(g.Members) == len(g.Members)-1 {
			sleep(ctx, retryDelay)
		}
		if ctx.Err() != nil {
			return GroupReply{}, err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// nextNode returns the last known leader, or else the members in turn.
func (b *batcher) nextNode(g *resource.Group, i int) fleet.NodeID {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(g.Members) == 0 {
		return ""
	}
	if b.leader != "" {
		return b.leader
	}
	return fleet.NodeID(g.Members[i%len(g.Members)].Node)
}

func (b *batcher) setLeader(node fleet.NodeID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leader = node
}
