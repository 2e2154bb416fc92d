package main

import (
	"encoding/json"
	"time"
)

// Figures of the case with a check-in from another writer.
const (
	foreignControls = 5
	foreignNodes    = 8
	foreignPerS     = 6
	// foreignAfter is when the check-in of the other writer arrives, after the ack of the drain.
	foreignAfter = drain + time.Second
	// foreignServesOn is how long the worker serves on after that ack.
	foreignServesOn = 8 * time.Second
)

// foreignCheckIn lets a worker drain. Then a check-in under its id arrives that comes from another writer:
// fields are missing, and one has another type.
func foreignCheckIn(rec *record, trouble bool) (bool, error) {
	f, workers, err := fleetUp(rec, foreignControls, foreignNodes)
	if err != nil {
		return false, err
	}
	defer f.close()
	c := newConsumers(f)
	w := workers[0]
	// The consumers on the machine of the leaving worker have left it.
	c.run(f.nodes[1:], foreignPerS)
	time.Sleep(contact + time.Second)

	w.setState("draining")
	if !w.call("instances.heartbeat", w.checkIn()) {
		return false, errSetUp
	}
	ackedAt := time.Now()
	time.Sleep(foreignAfter)
	if trouble {
		w.call("instances.heartbeat", w.malformedCheckIn())
	}
	time.Sleep(time.Until(ackedAt.Add(foreignServesOn)))
	w.silence()
	w.call("instances.deregister", nil)
	w.exit()
	exitedAt := time.Now()
	time.Sleep(2 * time.Second)
	c.halt()
	return judgeLate(rec, w, c, ackedAt, ackedAt, exitedAt), nil
}

// malformedCheckIn returns a check-in as another writer sends it: version and cold_remaining_ms are
// missing, and zone is a number.
func (w *worker) malformedCheckIn() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	b, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.node.addr(portApp), "zone": 7, "slots": workerSlots,
		"state": "ready", "sequence": w.sequence + 1, "born": w.born,
	})
	if err != nil {
		panic(err)
	}
	return b
}

// setState sets the state that the worker reports.
func (w *worker) setState(state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = state
}
