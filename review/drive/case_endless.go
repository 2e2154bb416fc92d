package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// Figures of the case with endless bodies.
const (
	endlessControls = 5
	endlessNodes    = 8
	endlessPerS     = 6 // requests per second and node
	// endlessFaultS is how long a worker fails some of its requests, several seconds, and endlessPauseS
	// the time until another one does. failedShare is the share of its GET requests that it fails, as on
	// the site (srv_grey, x).
	endlessFaultS = 6
	failedShare   = 0.45
	endlessPauseS = 3
	endlessRounds = 6
	// linkBytesPerS is what the link of the faulty worker's machine carries: 1,000 Mbit/s.
	linkBytesPerS = 1000e6 / 8
	// maxLost is how many requests may be lost before the rule is broken.
	maxLost = 3
	// contact is contact_ms.
	contact = 4 * time.Second
)

// endlessBodies lets workers fail a part of their requests with a body that does not end until the caller
// closes the connection.
func endlessBodies(rec *record, trouble bool) (bool, error) {
	f, workers, err := fleetUp(rec, endlessControls, endlessNodes)
	if err != nil {
		return false, err
	}
	defer f.close()
	faulty := make([]atomic.Bool, len(workers))
	for i, w := range workers {
		w.fault = func(rw http.ResponseWriter, r *http.Request) bool {
			if !faulty[i].Load() || r.Method != "GET" || rand.Float64() >= failedShare {
				return false
			}
			return w.answerWithoutEnd(rw)
		}
	}
	for _, m := range f.nodes {
		go m.limitMemory()
	}
	c := newConsumers(f)
	c.run(f.nodes, endlessPerS)
	time.Sleep(contact + time.Second)
	for round := range endlessRounds {
		// The workers of checkout, which serve stock.
		i := (2*round + 1) % len(workers)
		if trouble {
			rec.add("platform", "%s fails its GET requests for %d s", workers[i].id, endlessFaultS)
			faulty[i].Store(true)
		}
		time.Sleep(endlessFaultS * time.Second)
		faulty[i].Store(false)
		time.Sleep(endlessPauseS * time.Second)
	}
	c.halt()
	return judgeEndless(rec, f, workers, c), nil
}

// answerWithoutEnd answers with status 500 and a body that goes on until the caller closes the
// connection.
func (w *worker) answerWithoutEnd(rw http.ResponseWriter) bool {
	rw.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%d.500", w.id, w.stamp.Add(1)))
	rw.WriteHeader(http.StatusInternalServerError)
	piece := make([]byte, 64<<10)
	pause := time.Duration(float64(len(piece)) * workerSlots / linkBytesPerS * float64(time.Second))
	for next := time.Now(); ; next = next.Add(pause) {
		time.Sleep(time.Until(next))
		if _, err := rw.Write(piece); err != nil {
			return true
		}
	}
}

// judgeEndless checks LOST: more than three requests from kept connections, passed on to a sound worker,
// whose connection ended without an answer, at machines in touch. A process that ends by itself counts as
// running. It also counts the machines whose process ended by itself three times (Fault).
func judgeEndless(rec *record, f *fleet, workers []*worker, c *consumers) bool {
	lost, answered, all := 0, 0, c.all()
	for _, s := range all {
		if s.status != 0 {
			answered++
			continue
		}
		if !s.kept || s.gaveUp || !ranAtSoundWorker(workers, s) {
			continue
		}
		lost++
		rec.add("verdict", "%s %s at %s was passed on from a kept connection and lost: %s", s.id, s.route.name, s.node.name, s.fault)
	}
	ends, often := 0, 0
	for _, m := range f.nodes {
		n := len(m.memoryKills())
		ends += n
		if n >= 3 {
			often++
		}
	}
	rec.say("%d requests, %d answered; %d processes ended for want of memory, %d machines three times or more; %d requests lost", len(all), answered, ends, often, lost)
	return lost > maxLost
}

// ranAtSoundWorker reports whether a worker ran the request and did not fail it.
func ranAtSoundWorker(workers []*worker, s *sent) bool {
	for _, w := range workers {
		if x := w.runOf(s.id); x != nil && !x.faulty {
			return true
		}
	}
	return false
}
