package control

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/google/uuid"

	"github.com/godwithub/godwithub/resource"
)

// Errors of replicators. After any other error of Propose the command may or may not have been
// applied; a resend under the same change id returns the result.
var (
	// ErrNotLeader means that the command was not accepted because this process is not the leader
	// of the control group.
	ErrNotLeader = errors.New("control: not the leader")
	// ErrClosed means that the command was not accepted because the replicator is closed.
	ErrClosed = errors.New("control: replicator is closed")
	// ErrBusy means that the command was not accepted because too many bytes of commands await
	// commitment.
	ErrBusy = errors.New("control: too many changes are under way")
	// ErrTooLarge means that the command was not accepted because it exceeds the size limit of the
	// log.
	ErrTooLarge = errors.New("control: the command is too large")
)

// Replicator replicates commands to the state machines of the control group.
type Replicator interface {
	// Propose replicates command and returns the result of Apply. After an error other than
	// ErrNotLeader, ErrClosed, ErrBusy or ErrTooLarge the command may still be applied.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// ReadBarrier returns once the local state machine has applied every command that was
	// acknowledged before the call, so that a read is linearizable.
	ReadBarrier(ctx context.Context) error
	// Leader returns the leader's id and the address of its resource API.
	Leader() (id, apiAddr string, ok bool)
}

// Local is a Replicator for a control group of one process. With a journal, acknowledged commands
// survive a restart.
type Local struct {
	id, apiAddr string

	mu      sync.Mutex
	machine *Machine
	journal *Journal // nil: in memory only
	index   uint64
	closed  bool
}

// NewLocal returns a replicator of machine that is the leader under the given id. If journal is not
// nil, NewLocal replays it into machine and Close closes it.
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
	if l.journal != nil && l.journal.needsCompaction() {
		// The command itself is stored and applied. The log grows until a later compaction
		// succeeds.
		if err := l.compact(); err != nil {
			l.journal.log.Error("journal compaction failed", "error", err)
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

// Close waits for a running Propose, closes the journal and makes later proposals fail.
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
	encoded, err := r.Propose(ctx, b)
	if err != nil {
		return nil, fmt.Errorf("control: propose: %w", err)
	}
	return DecodeResult(encoded)
}

// NewChangeID returns a new UUIDv7.
func NewChangeID() string { return uuid.Must(uuid.NewV7()).String() }

// Put submits one command that writes objects, each over the revision in its metadata.
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
