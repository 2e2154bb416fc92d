package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/godwithub/godwithub/client"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/resource"
)

const (
	// historyKeys is the number of callers that the clients of a history change.
	historyKeys = 3
	// historyPause is the mean pause of a client between two operations.
	historyPause = 20 * time.Millisecond
	// historyRetry bounds how long a client asks for the result of one operation.
	historyRetry = time.Minute
	// probePause is the pause between two reads at one member.
	probePause = 50 * time.Millisecond
	// checkTimeout bounds the check of a history.
	checkTimeout = time.Minute
)

// history is what concurrent clients of the control group have seen. Clients
// replace the revision that they have read, and resend until there is a result;
// probes read at one member each and follow no redirect, so that a member that
// answers with old state is found.
type history struct {
	world  *world
	number int // of the history in its script
	start  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	all    sync.WaitGroup

	mu         sync.Mutex
	operations []porcupine.Operation
	failed     []string
	writes     []time.Duration // when each accepted write was answered
	probed     int
}

// historyInput is an operation on one caller.
type historyInput struct {
	name     string
	write    bool
	revision uint64 // that the write replaces
	weight   int
}

// historyOutput is what an operation has shown: the state after an accepted
// write, or the present state.
type historyOutput struct {
	accepted bool
	state    historyState
}

// historyState is the state of one caller. Revision 0: it does not exist.
type historyState struct {
	revision uint64
	weight   int
}

// historyModel is a caller that is replaced by its revision.
var historyModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, o := range all {
			name := o.Input.(historyInput).name
			parts[name] = append(parts[name], o)
		}
		var out [][]porcupine.Operation
		for _, p := range parts {
			out = append(out, p)
		}
		return out
	},
	Init: func() any { return historyState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(historyState), input.(historyInput), output.(historyOutput)
		if !out.accepted {
			return out.state == s && (!in.write || in.revision != s.revision), s
		}
		return in.revision == s.revision && out.state.revision > s.revision && out.state.weight == in.weight, out.state
	},
}

// startHistory starts clients, and one probe for each member.
func (w *world) startHistory(text string) error {
	n, err := strconv.Atoi(text)
	if err != nil || w.history != nil {
		return misused("group history start N, once")
	}
	w.histories++
	h := &history{world: w, number: w.histories, start: time.Now()}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	addrs := w.controlAddrs(portAPI)
	for i := range n {
		c, err := w.apiClient(addrs, historyRetry)
		if err != nil {
			return err
		}
		h.all.Go(func() { h.run(c, i) })
	}
	for i, addr := range addrs {
		h.all.Go(func() { h.probe(addr, n+i) })
	}
	w.history = h
	return nil
}

func (w *world) apiClient(servers []string, retry time.Duration) (*client.Client, error) {
	conf, err := keys.APIClient(filepath.Join(w.work, "keys", "authority", "ca.crt"))
	if err != nil {
		return nil, err
	}
	return client.New(client.Config{Servers: servers, TLS: conf, Token: w.control.secret, RetryFor: retry})
}

// run reads and writes in turn until the history is stopped. An operation that
// has begun goes on to its result.
func (h *history) run(c *client.Client, number int) {
	defer c.Close()
	for i := 0; h.ctx.Err() == nil; i++ {
		name := h.caller(rand.IntN(historyKeys))
		present, ok := h.read(c, number, name)
		if !ok {
			return
		}
		if !h.write(c, number, historyInput{name, true, present.revision, 1 + number%5*200 + i%200}) {
			return
		}
		time.Sleep(rand.N(2 * historyPause))
	}
}

func (h *history) read(c *client.Client, number int, name string) (historyState, bool) {
	call := h.now()
	o, err := c.Get(context.Background(), resource.Key{Type: resource.TypeCaller, Name: name})
	var e *apiv1.Error
	if errors.As(err, &e) && e.Code == apiv1.CodeNotFound {
		err = nil
	}
	if err != nil {
		h.fail("read of %s: %v", name, err)
		return historyState{}, false
	}
	s := stateOf(o)
	h.record(number, call, historyInput{name: name}, historyOutput{state: s})
	return s, true
}

func (h *history) write(c *client.Client, number int, in historyInput) bool {
	o := &resource.Caller{Meta: resource.Meta{Name: in.name, Revision: in.revision}, Weight: in.weight}
	call := h.now()
	done, err := c.Put(context.Background(), o, client.WriteOptions{})
	var e *apiv1.Error
	switch {
	case err == nil:
		h.record(number, call, in, historyOutput{true, historyState{done.Version.Revision, in.weight}})
		h.mu.Lock()
		h.writes = append(h.writes, time.Since(h.start))
		h.mu.Unlock()
		return true
	case errors.As(err, &e) && e.Code == apiv1.CodeConflict && len(e.Conflicts) == 1:
		var present historyState
		if current := e.Conflicts[0].Current; current != nil {
			present = stateOf(current.Object)
		}
		h.record(number, call, in, historyOutput{state: present})
		return true
	}
	h.fail("write of %s: %v", in.name, err)
	return false
}

// probe reads at one member. Only its own answers count.
func (h *history) probe(addr string, number int) {
	for i := 0; h.ctx.Err() == nil; i++ {
		name := h.caller(i % historyKeys)
		call := h.now()
		s, ok := h.world.readAt(addr, name)
		if ok {
			h.record(number, call, historyInput{name: name}, historyOutput{state: s})
			h.mu.Lock()
			h.probed++
			h.mu.Unlock()
		}
		time.Sleep(probePause)
	}
}

func stateOf(o resource.Object) historyState {
	c, ok := o.(*resource.Caller)
	if !ok {
		return historyState{}
	}
	return historyState{c.Revision, c.Weight}
}

// caller returns the name of a caller that only this history changes: the model
// begins without it.
func (h *history) caller(i int) string { return fmt.Sprintf("history-%d-%d", h.number, i) }

func (h *history) now() int64 { return int64(time.Since(h.start)) }

func (h *history) record(number int, call int64, in historyInput, out historyOutput) {
	end := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: number, Input: in, Call: call, Output: out, Return: end})
}

func (h *history) fail(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed = append(h.failed, fmt.Sprintf(format, args...))
}

// waitWrites waits until n more writes are accepted than at the call.
func (w *world) waitWrites(countText, boundText string) error {
	n, err := strconv.Atoi(countText)
	if err != nil || w.history == nil {
		return misused("group history writes N BOUND, after start")
	}
	bound, err := time.ParseDuration(boundText)
	if err != nil {
		return misused("bound %q: %v", boundText, err)
	}
	want := w.history.accepted() + n
	return waitUntil(bound, func() error {
		if got := w.history.accepted(); got < want {
			return fmt.Errorf("%d writes of %d were accepted", got, want)
		}
		return nil
	})
}

func (h *history) accepted() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.writes)
}

// stopHistory ends the clients and checks that all they have seen is
// linearizable, that enough was written, and that no pause between two accepted
// writes was longer than the bound.
func (w *world) stopHistory(minText, gapText string, show func(string, ...any)) error {
	least, err := strconv.Atoi(minText)
	if err != nil || w.history == nil {
		return misused("group history stop WRITES PAUSE, after start")
	}
	bound, err := time.ParseDuration(gapText)
	if err != nil {
		return misused("pause %q: %v", gapText, err)
	}
	h := w.history
	h.cancel()
	h.all.Wait()
	w.history = nil
	gap := h.longestPause()
	show("%d accepted writes, %d operations, %d answers of single members, longest pause between accepted writes %s",
		len(h.writes), len(h.operations), h.probed, gap.Round(time.Millisecond))
	switch {
	case len(h.failed) > 0:
		return offenders(h.failed, "operations without a result")
	case len(h.writes) < least:
		return fmt.Errorf("%d writes were accepted, fewer than %d", len(h.writes), least)
	case gap > bound:
		return fmt.Errorf("no write was accepted for %s, longer than %s", gap, bound)
	}
	if result := porcupine.CheckOperationsTimeout(historyModel, h.operations, checkTimeout); result != porcupine.Ok {
		return fmt.Errorf("the history of %d operations is not linearizable: %s", len(h.operations), result)
	}
	return nil
}

func (h *history) longestPause() time.Duration {
	var longest, last time.Duration
	for _, at := range h.writes {
		longest = max(longest, at-last)
		last = at
	}
	return longest
}
