package control

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/google/uuid"

	"github.com/godwithub/godwithub/resource"
)

// Errors of replicators. Other errors of Propose leave open whether the
// command is applied; a resend under the same change id tells.
var (
	// ErrNotLeader says that the command was not accepted, since this process
	// does not lead the control group.
	ErrNotLeader = errors.New("control: not the leader")
	// ErrClosed says that the replicator was closed.
	ErrClosed = errors.New("control: replicator is closed")
	// ErrBusy says that the command was not accepted, since too much awaits
	// commitment.
	ErrBusy = errors.New("control: too many changes are under way")
	// ErrTooLarge says that the command was not accepted, since it is too large
	// to be replicated.
	ErrTooLarge = errors.New("control: the command is too large")
)

// Replicator replicates commands to the state machines of the control group.
type Replicator interface {
	// Propose returns what Apply returned for command. After an error other
	// than ErrNotLeader, ErrClosed, ErrBusy or ErrTooLarge the command may
	// still be applied.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// ReadBarrier returns once the local state machine has applied all that was
	// acknowledged before the call.
	ReadBarrier(ctx context.Context) error
	// Leader returns the leader's id and the address of its resource API.
	Leader() (id, apiAddr string, ok bool)
}

// Local is a Replicator of a single process. With a journal, acknowledged
// commands survive a restart.
type Local struct {
	id, apiAddr string

	mu      sync.Mutex
	machine *Machine
	journal *Journal // nil: in memory only
	index   uint64
	closed  bool
}

// NewLocal returns a replicator of machine that leads under id. It replays
// journal, unless that is nil, into machine and closes it in Close.
func NewLocal(machine *Machine, journal *Journal, id, apiAddr string) (*Local, error) {
	l := &Local{id: id, apiAddr: apiAddr, machine: machine, journal: journal}
	if journal == nil {
		return l, nil
	}
	index, err := journal.replay(machine)
	if err != nil {
		return nil, err
	}
	l.index = index
	return l, nil
}

// Propose implements Replicator.
func (l *Local) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, ErrClosed
	}
	if l.journal != nil {
		if err := l.journal.append(l.index+1, command); err != nil {
			return nil, err
		}
	}
	l.index++
	result := l.machine.Apply(l.index, command)
	if l.journal != nil && l.journal.full() {
		// The log keeps growing until a later attempt succeeds; the command
		// itself is stored and applied.
		if err := l.compact(); err != nil {
			l.journal.log.Error("compaction failed", "error", err)
		}
	}
	return result, nil
}

func (l *Local) compact() error {
	b, err := l.machine.Snapshot()
	if err != nil {
		return err
	}
	return l.journal.compact(l.index, b)
}

// ReadBarrier implements Replicator.
func (l *Local) ReadBarrier(ctx context.Context) error { return ctx.Err() }

// Leader implements Replicator.
func (l *Local) Leader() (id, apiAddr string, ok bool) { return l.id, l.apiAddr, true }

// Close waits for a running Propose and refuses later ones.
func (l *Local) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	if l.journal == nil {
		return nil
	}
	return l.journal.Close()
}

// Submit proposes c and decodes its result.
func Submit(ctx context.Context, r Replicator, c *Command) (*Result, error) {
	b, err := c.Encode()
	if err != nil {
		return nil, err
	}
	answer, err := r.Propose(ctx, b)
	if err != nil {
		return nil, fmt.Errorf("control: propose: %w", err)
	}
	return DecodeResult(answer)
}

// NewChangeID returns a fresh change id, a UUIDv7.
func NewChangeID() string { return uuid.Must(uuid.NewV7()).String() }

// Put is Submit for one or more objects, each over the revision it names.
func Put(ctx context.Context, r Replicator, objects ...resource.Object) (*Result, error) {
	c := &Command{Op: OpWrite}
	for _, o := range objects {
		w, err := PutWrite(o)
		if err != nil {
			return nil, err
		}
		c.Writes = append(c.Writes, w)
	}
	return Submit(ctx, r, c)
}
