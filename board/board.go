// Package board holds the control state of a node and runs the controllers that change it.
// One goroutine owns the state and passes each event to every controller. The request path
// reads an immutable View, which the board publishes after each batch of events.
package board

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

const (
	// eventBacklog is the capacity of the event queue.
	eventBacklog = 1024
	// tickInterval is the time between Tick events.
	tickInterval = 100 * time.Millisecond
	// maxBatch bounds how many queued events are handled before a View is published.
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

// New returns a board for the node self. perform executes actions; it is
// called on the board's goroutine and must not block.
func New(self fleet.Node, log *slog.Logger, perform func(Action), controllers ...Controller) *Board {
	b := &Board{
		log:         log,
		controllers: controllers,
		perform:     perform,
		events:      make(chan Event, eventBacklog),
		state: State{
			Self:         self,
			Nodes:        map[fleet.NodeID]fleet.Node{},
			LeavingSince: map[fleet.NodeID]time.Time{},
			Local:        map[fleet.UpstreamID]*LocalUpstream{},
			Evidence:     newEvidence(),
			Ledgers:      newLedgers(),
			changed:      map[string]bool{},
		},
	}
	b.view.Store(withReplaced(&View{Self: self}))
	return b
}

// View returns the latest published View. It is never nil.
func (b *Board) View() *View { return b.view.Load() }

// Post queues an event. It blocks while the queue is full and returns the error of ctx if
// that ends first.
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
			b.handleQueued()
		case now := <-tick.C:
			b.handle(Tick{}, now)
		}
		b.publish()
	}
}

// handleQueued handles the events that are already queued, so that a burst of events leads to
// a single publication.
func (b *Board) handleQueued() {
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
		b.view.Store(withReplaced(next))
		old.markReplaced()
	}
	clear(b.state.changed)
}
