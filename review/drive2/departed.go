package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// lateCheckIn is how long after its departure a check-in of the worker arrives that was sent before.
	lateCheckIn = 6 * time.Second
	// killedDown is how long the processes stay down.
	killedDown = 500 * time.Millisecond
	// inTouchAgain is when the machines are in touch after all processes were killed, with a margin: twice contact_ms after
	// they are back.
	inTouchAgain = killedDown + 2*contact + 500*time.Millisecond
	// serveOn is how long the worker goes on serving after its departure was acknowledged.
	serveOn = 12500 * time.Millisecond
	// requestInterval is the time between two requests of a caller.
	requestInterval = 20 * time.Millisecond
	moreNodes       = 4
)

// departedWorker lets a worker leave, and kills all processes of the system as soon as that is acknowledged. A check-in
// that the worker has sent before arrives after they are back.
func departedWorker(f *fleet, trouble bool) error {
	for i := range moreNodes {
		f.addVM("sidecar-more-"+string(rune('1'+i)), "node", places[i]).service = "shop"
	}
	if _, _, err := startCore(f); err != nil {
		return err
	}
	var workers []*worker
	for _, v := range f.vms {
		if v.role == "node" {
			w, err := startWorker(v, "worker-of-"+v.name)
			if err != nil {
				return err
			}
			defer w.close()
			workers = append(workers, w)
		}
	}
	time.Sleep(contact)
	leaving := workers[0]
	caller := leaving.vm
	for i := 0; leaving.ran(fmt.Sprintf("before-%d", i-1)) == 0; i++ {
		if i == 100 {
			return errors.New("the worker got no work before it left")
		}
		caller.send("/order/1", "", fmt.Sprintf("before-%d", i))
		time.Sleep(requestInterval)
	}
	late := leaving.silence()
	if status := leaving.depart(); status != http.StatusOK {
		return fmt.Errorf("the departure was answered with %d", status)
	}
	acked := time.Now()
	if trouble {
		f.killAll()
	}
	f.record.add("the departure of %s was acknowledged %v ago", leaving.id, time.Since(acked))
	if trouble {
		time.Sleep(killedDown)
		for _, v := range f.vms {
			if err := v.start(false); err != nil {
				return err
			}
		}
	}
	time.Sleep(time.Until(acked.Add(lateCheckIn)))
	f.record.add("a check-in of %s arrives that was sent before: %d", leaving.id, leaving.post("instances.heartbeat", late))
	time.Sleep(time.Until(acked.Add(inTouchAgain)))
	served, ranThere := 0, 0
	for i := 0; time.Since(acked) < serveOn; i++ {
		id := fmt.Sprintf("after-%d", i)
		if caller.send("/order/1", "", id) == http.StatusOK {
			served++
		}
		ranThere += leaving.ran(id)
		time.Sleep(requestInterval)
	}
	f.record.add("%d requests were served, %d of them by %s", served, ranThere, leaving.id)
	if served == 0 {
		return errors.New("no request was served after the restart")
	}
	if ranThere > 0 {
		return breaks("%d requests reached %s more than %v after its departure was acknowledged", ranThere, leaving.id, inTouchAgain)
	}
	return nil
}
