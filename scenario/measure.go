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

// fillBatchSize is the number of resources that fill creates with one change.
const fillBatchSize = 5000

// measure runs a measurement of the control group and shows the result:
//
//	group measure writes CLIENTS DURATION BATCH  rate and latency of changes of BATCH callers each
//	group measure kills N                        time from killing the leader to the next accepted write, N times
//	group measure restart                        time from the restart of all members to a confirmed read
//	group measure replace NAME                   time to replace a member that has lost its disk
func (w *workspace) measure(args []string, logf func(string, ...any)) error {
	numbers := make([]int, len(args))
	for i, text := range args {
		numbers[i], _ = strconv.Atoi(text)
	}
	switch {
	case args[0] == "writes" && len(args) == 4:
		d, err := time.ParseDuration(args[2])
		if err != nil {
			return scriptErrorf("%v", err)
		}
		return w.measureWrites(numbers[1], d, numbers[3], logf)
	case args[0] == "kills" && len(args) == 2:
		return w.measureKills(numbers[1], logf)
	case args[0] == "restart" && len(args) == 1:
		return w.measureRestart(logf)
	case args[0] == "replace" && len(args) == 2:
		return w.measureReplace(args[1], logf)
	}
	return scriptErrorf("group measure %q: unknown measurement or wrong number of arguments", args)
}

// fill creates a number of routes to the service shop and of callers.
func (w *workspace) fill(routesText, callersText string) error {
	routes, err1 := strconv.Atoi(routesText)
	callers, err2 := strconv.Atoi(callersText)
	if err1 != nil || err2 != nil {
		return scriptErrorf("usage: group fill ROUTES CALLERS")
	}
	var objects []resource.Object
	for i := range routes {
		name := fmt.Sprintf("filler-%d", i)
		objects = append(objects, &resource.Route{Meta: resource.Meta{Name: name}, Host: name + ".example.com", PathPrefix: "/", Service: "shop"})
	}
	for i := range callers {
		objects = append(objects, &resource.Caller{Meta: resource.Meta{Name: fmt.Sprintf("filler-%d", i)}, Weight: 1})
	}
	for batch := range slices.Chunk(objects, fillBatchSize) {
		b, err := json.Marshal(apiv1.ApplyRequest{Writes: putWrites(batch)})
		if err != nil {
			return scriptErrorf("%v", err)
		}
		if err := w.applyBatch(b); err != nil {
			return err
		}
	}
	return nil
}

func putWrites(objects []resource.Object) []apiv1.Write {
	var out []apiv1.Write
	for _, o := range objects {
		out = append(out, apiv1.Write{Op: apiv1.OpPut, Object: &apiv1.Resource{Object: o}})
	}
	return out
}

// measureWrites measures concurrent clients, each of which changes its own callers, one
// change after the other.
func (w *workspace) measureWrites(clients int, d time.Duration, batch int, logf func(string, ...any)) error {
	var mu sync.Mutex
	var latencies []time.Duration
	var failures []string
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	prefix := uuid.NewString()[:8]
	for i := range clients {
		c, err := w.apiClient(w.controlAddrs(portAPI), historyRetry)
		if err != nil {
			return err
		}
		wg.Go(func() {
			defer c.Close()
			var callers []resource.Object
			for j := range batch {
				callers = append(callers, &resource.Caller{Meta: resource.Meta{Name: fmt.Sprintf("%s-%d-%d", prefix, i, j)}, Weight: 1})
			}
			for n := 0; time.Now().Before(end); n++ {
				start := time.Now()
				applied, err := c.Apply(context.Background(), putWrites(callers), client.WriteOptions{})
				mu.Lock()
				latencies = append(latencies, time.Since(start))
				if err != nil {
					failures = append(failures, err.Error())
				}
				mu.Unlock()
				if err != nil {
					return
				}
				for _, o := range callers {
					o.Metadata().Revision = applied.Version.Revision
				}
			}
		})
	}
	wg.Wait()
	if len(failures) > 0 {
		return violationsError(failures, "writes failed")
	}
	slices.Sort(latencies)
	quantile := func(q float64) time.Duration {
		return latencies[int(q*float64(len(latencies)-1))].Round(10 * time.Microsecond)
	}
	logf("%d clients, %d callers per change, %s: %.0f changes/s, p50 %s, p99 %s, max %s; %s", clients, batch, d,
		float64(len(latencies))/d.Seconds(), quantile(0.5), quantile(0.99), quantile(1), w.consensusCounts())
	return nil
}

// consensusCounts sums the consensus counters of all members.
func (w *workspace) consensusCounts() string {
	sums := map[string]int{}
	for i := range w.control.count {
		_, body, err := get("http://" + joinPort(w.vmAddr(firstControlVM+i), portDebug) + "/debug/vars")
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

// measureKills kills the leader n times and measures the time to the next accepted
// write, which is tried at all members in turn without a pause between them.
func (w *workspace) measureKills(n int, logf func(string, ...any)) error {
	var recoveries []time.Duration
	for i := range n {
		leader, err := w.leader()
		if err != nil {
			return err
		}
		p, err := w.process(leader)
		if err != nil {
			return err
		}
		body, err := json.Marshal(apiv1.ApplyRequest{Writes: putWrites([]resource.Object{
			&resource.Caller{Meta: resource.Meta{Name: fmt.Sprintf("kill-%d-%d", i, time.Now().UnixNano())}, Weight: 1}})})
		if err != nil {
			return err
		}
		start := time.Now()
		if err := p.kill(); err != nil {
			return err
		}
		if err := w.applyBatch(body); err != nil {
			return err
		}
		recoveries = append(recoveries, time.Since(start))
		if err := w.start(leader, controlProgram, p.args); err != nil {
			return err
		}
		// The next round starts with all members up.
		if err := w.waitMemberHealthy(leader); err != nil {
			return err
		}
	}
	slices.Sort(recoveries)
	logf("%d leader kills: time to the next accepted write median %s, max %s", n, recoveries[len(recoveries)/2].Round(time.Millisecond), recoveries[len(recoveries)-1].Round(time.Millisecond))
	return nil
}

// waitMemberHealthy waits until the health endpoint of a member reports that it knows
// the leader.
func (w *workspace) waitMemberHealthy(name string) error {
	var i int
	fmt.Sscanf(name, "c%d", &i)
	url := "http://" + joinPort(w.vmAddr(firstControlVM+i-1), portDebug) + "/healthz"
	return waitUntil(applyTimeout, func() error {
		status, _, err := get(url)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("%s: status %d", url, status)
		}
		return err
	})
}

// measureRestart kills and restarts all members, and measures the time until they have
// loaded their state and until a leader answers a read.
func (w *workspace) measureRestart(logf func(string, ...any)) error {
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
		url := "http://" + joinPort(w.vmAddr(firstControlVM+i), portDebug) + "/debug/vars"
		if err := waitUntil(time.Minute, func() error { _, _, err := get(url); return err }); err != nil {
			return err
		}
	}
	loadedAfter := time.Since(start)
	if err := waitUntil(time.Minute, func() error { _, err := w.leader(); return err }); err != nil {
		return err
	}
	logf("restart of all members: state loaded after %s, confirmed read after %s", loadedAfter.Round(time.Millisecond), time.Since(start).Round(time.Millisecond))
	return nil
}

// measureReplace wipes a member's disk, replaces the member, and measures the time until
// it is a voter and until it has all changes.
func (w *workspace) measureReplace(name string, logf func(string, ...any)) error {
	p, err := w.process(name)
	if err != nil {
		return err
	}
	if err := p.kill(); err != nil {
		return err
	}
	if err := w.wipeData(name); err != nil {
		return err
	}
	if err := w.start(name, controlProgram, p.args); err != nil {
		return err
	}
	ip, _, _ := strings.Cut(p.flagValue("api-addr"), ":")
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
	voterAfter := time.Since(start)
	status, err := c.Status(context.Background())
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
		return checkJSON(body, path, ">=", strconv.FormatUint(status.Version.Revision, 10))
	})
	if err != nil {
		return err
	}
	logf("replacement of member %s: voter after %s, all changes after %s; %s", name, voterAfter.Round(time.Millisecond),
		time.Since(start).Round(time.Millisecond), w.consensusCounts())
	return nil
}
