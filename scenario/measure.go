package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/godwithub/godwithub/client"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/resource"
)

// fillBatch is the number of resources that fill creates with one change.
const fillBatch = 5000

// measure runs a measurement of the control group and shows its figures:
//
//	group measure writes CLIENTS DURATION BATCH  rate and latency of changes of BATCH callers each
//	group measure kills N                        time from the kill of a leader to the next accepted write
//	group measure restart                        time from the start of all members to a confirmed read
//	group measure replace NAME                   time to replace a member that has lost its disk
func (w *world) measure(args []string, show func(string, ...any)) error {
	numbers := make([]int, len(args))
	for i, text := range args {
		numbers[i], _ = strconv.Atoi(text)
	}
	switch {
	case args[0] == "writes" && len(args) == 4:
		d, err := time.ParseDuration(args[2])
		if err != nil {
			return misused("%v", err)
		}
		return w.measureWrites(numbers[1], d, numbers[3], show)
	case args[0] == "kills" && len(args) == 2:
		return w.measureKills(numbers[1], show)
	case args[0] == "restart" && len(args) == 1:
		return w.measureRestart(show)
	case args[0] == "replace" && len(args) == 2:
		return w.measureReplace(args[1], show)
	}
	return misused("group measure %q: no such measurement", args)
}

// fill creates routes of the service shop, and callers.
func (w *world) fill(routesText, callersText string) error {
	routes, err1 := strconv.Atoi(routesText)
	callers, err2 := strconv.Atoi(callersText)
	if err1 != nil || err2 != nil {
		return misused("group fill ROUTES CALLERS")
	}
	var all []resource.Object
	for i := range routes {
		name := fmt.Sprintf("filler-%d", i)
		all = append(all, &resource.Route{Meta: resource.Meta{Name: name}, Host: name + ".example.com", PathPrefix: "/", Service: "shop"})
	}
	for i := range callers {
		all = append(all, &resource.Caller{Meta: resource.Meta{Name: fmt.Sprintf("filler-%d", i)}, Weight: 1})
	}
	for batch := range slices.Chunk(all, fillBatch) {
		b, err := json.Marshal(apiv1.ApplyRequest{Writes: putsOf(batch)})
		if err != nil {
			return misused("%v", err)
		}
		if err := w.submitBody(b); err != nil {
			return err
		}
	}
	return nil
}

func putsOf(objects []resource.Object) []apiv1.Write {
	var out []apiv1.Write
	for _, o := range objects {
		out = append(out, apiv1.Write{Op: apiv1.OpPut, Object: &apiv1.Resource{Object: o}})
	}
	return out
}

// measureWrites lets clients change callers of their own, one change after the
// other.
func (w *world) measureWrites(clients int, d time.Duration, batch int, show func(string, ...any)) error {
	var mu sync.Mutex
	var took []time.Duration
	var failed []string
	var all sync.WaitGroup
	end := time.Now().Add(d)
	prefix := uuid.NewString()[:8]
	for i := range clients {
		c, err := w.apiClient(w.controlAddrs(portAPI), historyRetry)
		if err != nil {
			return err
		}
		all.Go(func() {
			defer c.Close()
			var mine []resource.Object
			for j := range batch {
				mine = append(mine, &resource.Caller{Meta: resource.Meta{Name: fmt.Sprintf("%s-%d-%d", prefix, i, j)}, Weight: 1})
			}
			for n := 0; time.Now().Before(end); n++ {
				start := time.Now()
				done, err := c.Apply(context.Background(), putsOf(mine), client.WriteOptions{})
				mu.Lock()
				took = append(took, time.Since(start))
				if err != nil {
					failed = append(failed, err.Error())
				}
				mu.Unlock()
				if err != nil {
					return
				}
				for _, o := range mine {
					o.Metadata().Revision = done.Version.Revision
				}
			}
		})
	}
	all.Wait()
	if len(failed) > 0 {
		return offenders(failed, "writes failed")
	}
	slices.Sort(took)
	at := func(q float64) time.Duration { return took[int(q*float64(len(took)-1))].Round(10 * time.Microsecond) }
	show("%d clients, %d callers per change, %s: %.0f changes/s, p50 %s, p99 %s, max %s; %s", clients, batch, d,
		float64(len(took))/d.Seconds(), at(0.5), at(0.99), at(1), w.consensusCounts())
	return nil
}

// consensusCounts sums what the members count.
func (w *world) consensusCounts() string {
	sums := map[string]int{}
	for i := range w.control.count {
		_, body, err := get("http://" + joinPort(w.vm(firstControlVM+i), portDebug) + "/debug/vars")
		var vars struct {
			Consensus map[string]int `json:"consensus"`
		}
		if err != nil || json.Unmarshal(body, &vars) != nil {
			continue
		}
		for name, n := range vars.Consensus {
			sums[name] += n
		}
	}
	return fmt.Sprintf("elections won %d, leaderships lost %d, snapshots taken %d, installed %d", sums["elections_won"],
		sums["leaderships_lost"], sums["snapshots_taken"], sums["snapshots_installed"])
}

// measureKills kills the leader n times. The write that follows is tried at all
// members in turn, without pauses between them.
func (w *world) measureKills(n int, show func(string, ...any)) error {
	var took []time.Duration
	for i := range n {
		leader, err := w.leader()
		if err != nil {
			return err
		}
		p, err := w.process(leader)
		if err != nil {
			return err
		}
		body, err := json.Marshal(apiv1.ApplyRequest{Writes: putsOf([]resource.Object{
			&resource.Caller{Meta: resource.Meta{Name: fmt.Sprintf("kill-%d-%d", i, time.Now().UnixNano())}, Weight: 1}})})
		if err != nil {
			return err
		}
		start := time.Now()
		if err := p.kill(); err != nil {
			return err
		}
		if err := w.submitBody(body); err != nil {
			return err
		}
		took = append(took, time.Since(start))
		if err := w.start(leader, controlProgram, p.args); err != nil {
			return err
		}
		// The next leader must find all members up.
		if err := w.waitUp(leader); err != nil {
			return err
		}
	}
	slices.Sort(took)
	show("%d kills: to the next accepted write median %s, max %s", n, took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond))
	return nil
}

// waitUp waits until a member knows the leader.
func (w *world) waitUp(name string) error {
	var i int
	fmt.Sscanf(name, "c%d", &i)
	url := "http://" + joinPort(w.vm(firstControlVM+i-1), portDebug) + "/healthz"
	return waitUntil(applyBound, func() error {
		status, _, err := get(url)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("%s: status %d", url, status)
		}
		return err
	})
}

// measureRestart kills and starts all members.
func (w *world) measureRestart(show func(string, ...any)) error {
	var members []*process
	for i := range w.control.count {
		p, err := w.process(controlName(i + 1))
		if err != nil {
			return err
		}
		if err := p.kill(); err != nil {
			return err
		}
		members = append(members, p)
	}
	start := time.Now()
	for _, p := range members {
		if err := w.start(p.name, controlProgram, p.args); err != nil {
			return err
		}
	}
	for i := range members {
		url := "http://" + joinPort(w.vm(firstControlVM+i), portDebug) + "/debug/vars"
		if err := waitUntil(time.Minute, func() error { _, _, err := get(url); return err }); err != nil {
			return err
		}
	}
	up := time.Since(start)
	if err := waitUntil(time.Minute, func() error { _, err := w.leader(); return err }); err != nil {
		return err
	}
	show("restart of all members: state loaded after %s, confirmed read after %s", up.Round(time.Millisecond), time.Since(start).Round(time.Millisecond))
	return nil
}

// measureReplace replaces a member whose disk is lost, and waits until it has
// all changes.
func (w *world) measureReplace(name string, show func(string, ...any)) error {
	p, err := w.process(name)
	if err != nil {
		return err
	}
	if err := p.kill(); err != nil {
		return err
	}
	if err := w.wipe(name); err != nil {
		return err
	}
	if err := w.start(name, controlProgram, p.args); err != nil {
		return err
	}
	ip, _, _ := strings.Cut(p.flag("api-addr"), ":")
	m := apiv1.Member{ID: name, LinkAddr: joinPort(ip, portLink), APIAddr: joinPort(ip, portAPI), Voter: true}
	c, err := w.apiClient(w.controlAddrs(portAPI), historyRetry)
	if err != nil {
		return err
	}
	defer c.Close()
	start := time.Now()
	if _, err := c.PutMember(context.Background(), m, client.WriteOptions{}); err != nil {
		return err
	}
	voter := time.Since(start)
	want, err := c.Status(context.Background())
	if err != nil {
		return err
	}
	url := "http://" + joinPort(ip, portDebug) + "/debug/vars"
	path := "control.version.revision"
	err = waitUntil(time.Minute, func() error {
		_, body, err := get(url)
		if err != nil {
			return err
		}
		return checkJSON(body, path, ">=", strconv.FormatUint(want.Version.Revision, 10))
	})
	if err != nil {
		return err
	}
	show("replacement of %s: a voter after %s, all changes after %s; %s", name, voter.Round(time.Millisecond),
		time.Since(start).Round(time.Millisecond), w.consensusCounts())
	return nil
}
