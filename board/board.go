// Package board is the blackboard of a node: typed sections of control state
// that controllers read and write. One goroutine owns the state and runs the
// controllers. Traffic reads an immutable View, which the board publishes
// after each batch of events.
package board

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

const (
	// eventBacklog is how many events may wait for the board.
	eventBacklog = 1024
	// tickInterval is the time between Tick events.
	tickInterval = 100 * time.Millisecond
	// maxBatch bounds how many events are handled before a publication.
	maxBatch = 256
)

// Board runs the controllers of a node.
type Board struct {
	log         *slog.Logger
	state       State
	controllers []Controller
	perform     func(Action)
	events      chan Event
	view        atomic.Pointer[View]
}

// New returns a board for the node self. perform carries out actions; it is
// called on the board's goroutine and must not block.
func New(self fleet.Node, log *slog.Logger, perform func(Action), controllers ...Controller) *Board {
	b := &Board{
		log:         log,
		controllers: controllers,
		perform:     perform,
		events:      make(chan Event, eventBacklog),
		state: State{
			Self:     self,
			Nodes:    map[fleet.NodeID]fleet.Node{},
			Local:    map[fleet.UpstreamID]*LocalUpstream{},
			Evidence: newEvidence(),
			Ledgers:  newLedgers(),
			changed:  map[string]bool{},
		},
	}
	b.view.Store(published(&View{Self: self}))
	return b
}

// View returns the latest publication. It is never nil.
func (b *Board) View() *View { return b.view.Load() }

// Post hands an event to the board. It blocks while the backlog is full, until
// ctx ends.
func (b *Board) Post(ctx context.Context, e Event) error {
	select {
	case b.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run handles events until ctx ends.
func (b *Board) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-b.events:
			b.handle(e, time.Now())
			b.drain()
		case now := <-tick.C:
			b.handle(Tick{}, now)
		}
		b.publish()
	}
}

// drain handles the events that are waiting, so that a burst is published once.
func (b *Board) drain() {
	for range maxBatch {
		select {
		case e := <-b.events:
			b.handle(e, time.Now())
		default:
			return
		}
	}
}

func (b *Board) handle(e Event, now time.Time) {
	for _, c := range b.controllers {
		c(&b.state, e, now)
	}
	for _, a := range b.state.actions {
		b.perform(a)
	}
	b.state.actions = b.state.actions[:0]
}

func (b *Board) publish() {
	old := b.view.Load()
	next := old.next(&b.state)
	if next != old {
		b.view.Store(published(next))
		old.replace()
	}
	clear(b.state.changed)
}
