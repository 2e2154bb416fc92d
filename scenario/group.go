package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/keys"
)

// The group command works on the control group:
//
//	group leader BOUND                set LEADER, and FOLLOWER1 and up, to names of processes
//	group elections MAX               the running members have won at most that many
//	group join                        start a further control process, which waits to be added
//	group cli ARG...                  run the command line with the fleet's token
//	group fill ROUTES CALLERS         create that many
//	group measure ...                 see measure.go
//	group cut FROM TO                 drop all that one member sends to another
//	group isolate NAME to|from|both   drop what a member gets from or sends to the others
//	group heal                        end all cuts between members
//	group history start N             begin N clients that read and write, and reads at each member
//	group history writes N BOUND      wait until N more writes are accepted
//	group history stop WRITES PAUSE   end them; the history is linearizable, has that many accepted
//	                                  writes, and no longer pause between two of them
//
// Each member has its address in the variable of its name, $c1 and so on. Cuts
// need "fleet control N relayed".

func groupCommand(w *world, ts *testscript.TestScript, args []string) error {
	if len(args) < 1 {
		return misused("usage: group ACTION ...")
	}
	switch action, rest := args[0], args[1:]; {
	case action == "leader" && len(rest) == 1:
		return w.waitLeader(ts, rest[0])
	case action == "elections" && len(rest) == 1:
		return w.expectElections(rest[0])
	case action == "join" && len(rest) == 0:
		return w.addMember(ts)
	case action == "cli":
		return w.runCLI(ts, rest)
	case action == "fill" && len(rest) == 2:
		return w.fill(rest[0], rest[1])
	case action == "measure" && len(rest) > 0:
		return w.measure(rest, ts.Logf)
	case action == "cut" && len(rest) == 2:
		return w.cutMembers(rest[0], rest[1])
	case action == "isolate" && len(rest) == 2:
		return w.isolate(rest[0], rest[1])
	case action == "heal" && len(rest) == 0:
		w.healMembers()
		return nil
	case action == "history" && len(rest) == 2 && rest[0] == "start":
		return w.startHistory(rest[1])
	case action == "history" && len(rest) == 3 && rest[0] == "writes":
		return w.waitWrites(rest[1], rest[2])
	case action == "history" && len(rest) == 3 && rest[0] == "stop":
		return w.stopHistory(rest[1], rest[2], ts.Logf)
	}
	return misused("group %q: no such action with these arguments", args)
}

// firstRelayVM is the VM of the relay in front of the first control process.
const firstRelayVM = 41

// member is a control process of a script.
type member struct {
	name string
	vm   int // its number
}

// startMember starts a control process. Without joining it is a founder.
func (w *world) startMember(m member, join bool) error {
	dir, err := w.issueKeys(m.name, keys.RoleControl)
	if err != nil {
		return err
	}
	return w.start(m.name, controlProgram, w.controlFlags(m, dir, join))
}

// memberLink is where other members reach m.
func (w *world) memberLink(m member) string {
	if w.control.relayed {
		return joinPort(w.vm(m.vm-firstControlVM+firstRelayVM), portLink)
	}
	return joinPort(w.vm(m.vm), portLink)
}

func (w *world) controlLinks() []string {
	var out []string
	for i := range w.control.count {
		out = append(out, w.memberLink(member{vm: firstControlVM + i}))
	}
	return out
}

// addMember starts a control process on the next free control VM. It joins
// once it is added by the command line.
func (w *world) addMember(ts *testscript.TestScript) error {
	i := w.control.count
	if i == 0 || i >= 9 {
		return misused("fleet control comes first, and 9 members are the most")
	}
	m := member{controlName(i + 1), firstControlVM + i}
	w.control.count++
	ts.Setenv(m.name, w.vm(m.vm))
	if err := w.startMemberRelay(m); err != nil {
		return err
	}
	return w.startMember(m, true)
}

func (w *world) startMemberRelay(m member) error {
	if !w.control.relayed {
		return nil
	}
	return w.startRelay(m.name, w.memberLink(m), joinPort(w.vm(m.vm), portLink))
}

// readAt reads a caller at one member, without following redirects.
func (w *world) readAt(addr, name string) (historyState, bool) {
	status, body, err := w.callOne(http.MethodGet, "https://"+addr+"/v1/callers/"+name, nil, "")
	var r apiv1.Resource
	switch {
	case err != nil:
		return historyState{}, false
	case status == http.StatusNotFound:
		return historyState{}, true
	case status != http.StatusOK || json.Unmarshal(body, &r) != nil:
		return historyState{}, false
	}
	return stateOf(r.Object), true
}

// leader returns the name of the leader, as itself confirms it.
func (w *world) leader() (string, error) {
	_, body, err := w.callControl(http.MethodGet, "/v1/status", nil, "")
	if err != nil {
		return "", err
	}
	var s apiv1.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return "", err
	}
	if s.Leader == "" {
		return "", errors.New("the status names no leader")
	}
	return s.Leader, nil
}

// waitLeader sets LEADER, and FOLLOWER1 and up, to the names of members.
func (w *world) waitLeader(ts *testscript.TestScript, text string) error {
	bound, err := time.ParseDuration(text)
	if err != nil {
		return misused("bound %q: %v", text, err)
	}
	var leader string
	err = waitUntil(bound, func() (err error) {
		leader, err = w.leader()
		return err
	})
	if err != nil {
		return err
	}
	ts.Setenv("LEADER", leader)
	followers := 0
	for i := range w.control.count {
		if name := controlName(i + 1); name != leader {
			followers++
			ts.Setenv("FOLLOWER"+strconv.Itoa(followers), name)
		}
	}
	return nil
}

// expectElections checks how many elections the members that run have won in all.
func (w *world) expectElections(text string) error {
	most, err := strconv.Atoi(text)
	if err != nil {
		return misused("%q is no number of elections", text)
	}
	won := 0
	for i := range w.control.count {
		p, err := w.process(controlName(i + 1))
		if err != nil || !p.running() {
			continue
		}
		_, body, err := get("http://" + joinPort(w.vm(firstControlVM+i), portDebug) + "/debug/vars")
		if err != nil {
			return err
		}
		var vars struct {
			Consensus struct {
				Won int `json:"elections_won"`
			} `json:"consensus"`
		}
		if err := json.Unmarshal(body, &vars); err != nil {
			return err
		}
		won += vars.Consensus.Won
	}
	if won > most {
		return fmt.Errorf("%d elections were won, more than %d", won, most)
	}
	return nil
}

// runCLI runs the command line with the settings of the fleet.
func (w *world) runCLI(ts *testscript.TestScript, args []string) error {
	ca := filepath.Join(w.work, "keys", "authority", "ca.crt")
	env := []string{"GODWITHUB_CA=" + ca, "GODWITHUB_TOKEN=" + w.control.secret,
		"GODWITHUB_SERVER=" + strings.Join(w.controlAddrs(portAPI), ",")}
	cmd := exec.Command(filepath.Join(w.programs, "godwithub"), args...)
	cmd.Dir = w.work
	cmd.Env = append(os.Environ(), env...)
	out, err := cmd.CombinedOutput()
	ts.Logf("%s", out)
	if err != nil {
		return fmt.Errorf("godwithub %q: %w: %.500s", args, err, out)
	}
	return nil
}

// cutMembers drops all that one member sends to another.
func (w *world) cutMembers(from, to string) error {
	a, b := w.relays[from], w.relays[to]
	if a == nil || b == nil {
		return misused("fleet control N relayed comes first")
	}
	vms := map[string]string{}
	for i := range w.control.count {
		vms[controlName(i+1)] = w.vm(firstControlVM + i)
	}
	// What a member sends goes over the connections that it has opened and back
	// over those that the other has opened.
	if err := b.cut([]string{"to", vms[from]}); err != nil {
		return err
	}
	return a.cut([]string{"from", vms[to]})
}

// isolate drops all between one member and the others, one way or both.
func (w *world) isolate(name, way string) error {
	ways, err := directions(way)
	if err != nil {
		return err
	}
	for i := range w.control.count {
		other := controlName(i + 1)
		if other == name {
			continue
		}
		for _, d := range ways {
			from, to := other, name
			if d == fromTarget {
				from, to = name, other
			}
			if err := w.cutMembers(from, to); err != nil {
				return err
			}
		}
	}
	return nil
}

// healMembers ends all cuts between members.
func (w *world) healMembers() {
	for i := range w.control.count {
		if r := w.relays[controlName(i+1)]; r != nil {
			r.gate.heal()
		}
	}
}
