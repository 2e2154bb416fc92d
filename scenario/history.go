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
	// historyCallers is the number of caller resources that the clients of a history change.
	historyCallers = 3
	// historyPause is the mean pause of a client between two rounds of a read and a write.
	historyPause = 20 * time.Millisecond
	// historyRetry bounds how long a client retries one operation to get its result.
	historyRetry = time.Minute
	// probePause is the pause of a probe between two reads.
	probePause = 50 * time.Millisecond
	// checkTimeout bounds the linearizability check of a history.
	checkTimeout = time.Minute
)

// history records the operations of concurrent clients of the control group. Clients
// replace the revision that they have read, and resend until there is a result. Each
// probe reads at one member and follows no redirect, so that the check detects a
// member that answers with stale state.
type history struct {
	workspace *workspace
	number    int // of the history in its script, from 1
	start     time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu         sync.Mutex
	operations []porcupine.Operation
	failures   []string
	writeTimes []time.Duration // when each accepted write was answered, since start
	probeReads int
}

// historyInput is an operation on one caller resource.
type historyInput struct {
	name     string
	write    bool
	revision uint64 // the revision that the write replaces
	weight   int
}

// historyOutput is the result of an operation: the state after an accepted write, or
// the current state after a read or a rejected write.
type historyOutput struct {
	accepted bool
	state    historyState
}

// historyState is the state of one caller resource. Revision 0 means that it does not
// exist.
type historyState struct {
	revision uint64
	weight   int
}

// historyModel is the sequential specification of a caller resource: a write is
// accepted only if it names the current revision.
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

// startHistory starts the clients of a history, and one probe for each member.
func (w *workspace) startHistory(countText string) error {
	n, err := strconv.Atoi(countText)
	if err != nil || w.history != nil {
		return scriptErrorf("usage: group history start N, with no other history running")
	}
	w.historyCount++
	h := &history{workspace: w, number: w.historyCount, start: time.Now()}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	addrs := w.controlAddrs(portAPI)
	for i := range n {
		c, err := w.apiClient(addrs, historyRetry)
		if err != nil {
			return err
		}
		h.wg.Go(func() { h.run(c, i) })
	}
	for i, addr := range addrs {
		h.wg.Go(func() { h.probe(addr, n+i) })
	}
	w.history = h
	return nil
}

func (w *workspace) apiClient(servers []string, retry time.Duration) (*client.Client, error) {
	conf, err := keys.APIClient(filepath.Join(w.dir, "keys", "authority", "ca.crt"))
	if err != nil {
		return nil, err
	}
	return client.New(client.Config{Servers: servers, TLS: conf, Token: w.control.token, RetryFor: retry})
}

// run alternates reads and writes until the history is stopped. It waits for the
// result of an operation that has begun.
func (h *history) run(c *client.Client, clientID int) {
	defer c.Close()
	for i := 0; h.ctx.Err() == nil; i++ {
		name := h.callerName(rand.IntN(historyCallers))
		current, ok := h.read(c, clientID, name)
		if !ok {
			return
		}
		if !h.write(c, clientID, historyInput{name, true, current.revision, 1 + clientID%5*200 + i%200}) {
			return
		}
		time.Sleep(rand.N(2 * historyPause))
	}
}

func (h *history) read(c *client.Client, clientID int, name string) (historyState, bool) {
	callTime := h.now()
	o, err := c.Get(context.Background(), resource.Key{Type: resource.TypeCaller, Name: name})
	var e *apiv1.Error
	if errors.As(err, &e) && e.Code == apiv1.CodeNotFound {
		err = nil
	}
	if err != nil {
		h.fail("read of caller %s: %v", name, err)
		return historyState{}, false
	}
	state := stateOf(o)
	h.record(clientID, callTime, historyInput{name: name}, historyOutput{state: state})
	return state, true
}

func (h *history) write(c *client.Client, clientID int, in historyInput) bool {
	o := &resource.Caller{Meta: resource.Meta{Name: in.name, Revision: in.revision}, Weight: in.weight}
	callTime := h.now()
	applied, err := c.Put(context.Background(), o, client.WriteOptions{})
	var e *apiv1.Error
	switch {
	case err == nil:
		h.record(clientID, callTime, in, historyOutput{true, historyState{applied.Version.Revision, in.weight}})
		h.mu.Lock()
		h.writeTimes = append(h.writeTimes, time.Since(h.start))
		h.mu.Unlock()
		return true
	case errors.As(err, &e) && e.Code == apiv1.CodeConflict && len(e.Conflicts) == 1:
		var current historyState
		if conflicting := e.Conflicts[0].Current; conflicting != nil {
			current = stateOf(conflicting.Object)
		}
		h.record(clientID, callTime, in, historyOutput{state: current})
		return true
	}
	h.fail("write of caller %s: %v", in.name, err)
	return false
}

// probe reads at one member until the history is stopped. Redirects and failed reads
// are not recorded.
func (h *history) probe(addr string, clientID int) {
	for i := 0; h.ctx.Err() == nil; i++ {
		name := h.callerName(i % historyCallers)
		callTime := h.now()
		state, ok := h.workspace.readCallerAt(addr, name)
		if ok {
			h.record(clientID, callTime, historyInput{name: name}, historyOutput{state: state})
			h.mu.Lock()
			h.probeReads++
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

// callerName returns the name of a caller resource that only this history changes,
// since in the model it does not exist at first.
func (h *history) callerName(i int) string { return fmt.Sprintf("history-%d-%d", h.number, i) }

func (h *history) now() int64 { return int64(time.Since(h.start)) }

func (h *history) record(clientID int, callTime int64, in historyInput, out historyOutput) {
	end := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: clientID, Input: in, Call: callTime, Output: out, Return: end})
}

func (h *history) fail(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = append(h.failures, fmt.Sprintf(format, args...))
}

// waitWrites waits until n more writes than at the time of the call are accepted.
func (w *workspace) waitWrites(countText, timeoutText string) error {
	n, err := strconv.Atoi(countText)
	if err != nil || w.history == nil {
		return scriptErrorf("usage: group history writes N TIMEOUT, after group history start")
	}
	timeout, err := time.ParseDuration(timeoutText)
	if err != nil {
		return scriptErrorf("invalid timeout %q: %v", timeoutText, err)
	}
	want := w.history.accepted() + n
	return waitUntil(timeout, func() error {
		if got := w.history.accepted(); got < want {
			return fmt.Errorf("%d of %d writes were accepted", got, want)
		}
		return nil
	})
}

func (h *history) accepted() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.writeTimes)
}

// stopHistory stops the clients and probes. It checks that the recorded operations are
// linearizable, that enough writes were accepted, and that no pause between two
// accepted writes was too long.
func (w *workspace) stopHistory(writesText, pauseText string, logf func(string, ...any)) error {
	minWrites, err := strconv.Atoi(writesText)
	if err != nil || w.history == nil {
		return scriptErrorf("usage: group history stop WRITES PAUSE, after group history start")
	}
	maxPause, err := time.ParseDuration(pauseText)
	if err != nil {
		return scriptErrorf("invalid pause %q: %v", pauseText, err)
	}
	h := w.history
	h.cancel()
	h.wg.Wait()
	w.history = nil
	longest := h.longestPause()
	logf("%d accepted writes, %d operations, %d reads at single members, longest pause between accepted writes %s",
		len(h.writeTimes), len(h.operations), h.probeReads, longest.Round(time.Millisecond))
	switch {
	case len(h.failures) > 0:
		return violationsError(h.failures, "operations without a result")
	case len(h.writeTimes) < minWrites:
		return fmt.Errorf("%d writes were accepted, expected at least %d", len(h.writeTimes), minWrites)
	case longest > maxPause:
		return fmt.Errorf("no write was accepted for %s, longer than %s", longest, maxPause)
	}
	if result := porcupine.CheckOperationsTimeout(historyModel, h.operations, checkTimeout); result != porcupine.Ok {
		return fmt.Errorf("the history of %d operations is not linearizable: %s", len(h.operations), result)
	}
	return nil
}

func (h *history) longestPause() time.Duration {
	var longest, last time.Duration
	for _, at := range h.writeTimes {
		longest = max(longest, at-last)
		last = at
	}
	return longest
}
