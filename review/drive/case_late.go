package main

import (
	"syscall"
	"time"
)

// Figures of the case with a check-in that arrives late at a restarted node.
const (
	lateControls = 5
	lateNodes    = 8
	latePerS     = 6
	// checkInLate is by how much one check-in is late.
	checkInLate = 4 * time.Second
	// leavesAfter is when the worker takes its leave after that check-in was sent, and killedAfter when the
	// process of its node is killed after the leave was acknowledged.
	leavesAfter = time.Second
	killedAfter = time.Second
	// servesOn is how long the worker serves on after the ack. It exits then.
	servesOn = 8 * time.Second
	// drain is drain_ms.
	drain = 2500 * time.Millisecond
)

// lateCheckIn lets a worker take its leave while one of its check-ins is still on its way, and kills the
// process of its node. The check-in arrives when the process is back.
func lateCheckIn(rec *record, trouble bool) (bool, error) {
	f, workers, err := fleetUp(rec, lateControls, lateNodes)
	if err != nil {
		return false, err
	}
	defer f.close()
	c := newConsumers(f)
	w, node := workers[0], f.nodes[0]
	// The consumers on the machine of the leaving worker have left it.
	c.run(f.nodes[1:], latePerS)
	time.Sleep(contact + time.Second)

	w.silence()
	delayed := w.checkIn()
	sentAt := time.Now()
	if !trouble {
		w.call("instances.heartbeat", delayed)
	}
	time.Sleep(leavesAfter)
	acknowledged := w.call("instances.deregister", nil)
	ackedAt := time.Now()
	if !acknowledged {
		return false, errSetUp
	}
	restartedAt := time.Time{}
	if trouble {
		time.Sleep(killedAfter)
		node.signal(syscall.SIGKILL)
		<-node.ended()
		time.Sleep(restartDelay)
		node.bootstrap = false
		if err := node.start(); err != nil {
			return false, err
		}
		restartedAt = time.Now()
		time.Sleep(time.Until(sentAt.Add(checkInLate)))
		w.call("instances.heartbeat", delayed)
	}
	time.Sleep(time.Until(ackedAt.Add(servesOn)))
	w.exit()
	exitedAt := time.Now()
	time.Sleep(2 * time.Second)
	c.halt()
	return judgeLate(rec, w, c, ackedAt, restartedAt.Add(contact), exitedAt), nil
}

// judgeLate checks DRAIN: a request reaches the worker later than drain_ms after the ack of its leave,
// taken and sent on by machines in touch. inTouchFrom is when the worker's own machine is in touch again.
func judgeLate(rec *record, w *worker, c *consumers, ackedAt, inTouchFrom, exitedAt time.Time) bool {
	late, lateInTouch, lost := 0, 0, 0
	for _, s := range c.all() {
		x := w.runOf(s.id)
		if x == nil || x.began.Before(ackedAt.Add(drain)) {
			continue
		}
		late++
		if x.began.After(inTouchFrom) {
			lateInTouch++
			rec.add("verdict", "%s %s reached %s %.1f s after the ack of its leave", s.id, s.route.name, w.id, x.began.Sub(ackedAt).Seconds())
		}
		if s.status/100 != 2 && !s.ended.Before(exitedAt) {
			lost++
			rec.add("verdict", "%s %s was at work when the worker exited: answered %d %s", s.id, s.route.name, s.status, s.fault)
		}
	}
	rec.say("%d requests reached the worker later than %d ms after the ack of its leave, %d of them through machines in touch; %d were lost when it exited",
		late, drain.Milliseconds(), lateInTouch, lost)
	return lateInTouch > 0
}
