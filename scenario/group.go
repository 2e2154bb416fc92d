package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/keys"
)

// The group command controls and checks the control group:
//
//	group leader TIMEOUT              wait for a leader; set LEADER, FOLLOWER1 and so on to the names of
//	                                  the members' processes
//	group elections MAX               the running members have won at most MAX elections in all
//	group join                        start another control process, which waits to be added
//	group blank NAME                  start the process of a member with a blank disk, which waits to be added
//	group voters TIMEOUT NAME...      wait until the leader counts exactly these members as voters, and so do
//	                                  they themselves: one with a blank disk is not yet the voter that it was
//	group votes TIMEOUT NAME          wait until the leader and the member itself count it as a voter
//	group cli ARG...                  run the command-line client with the fleet's token
//	group fill ROUTES CALLERS         create that many routes and callers
//	group measure ...                 see measure.go
//	group cut FROM TO                 drop everything that one member sends to another
//	group isolate NAME to|from|both   drop what the others send to a member, what it sends to them, or both
//	group heal                        end all cuts between members
//	group history start N             start N clients that read and write, and one reader at each member
//	group history writes N TIMEOUT    wait until N more writes are accepted
//	group history stop WRITES PAUSE   stop them and check that the history is linearizable, that at least
//	                                  WRITES writes were accepted and that no pause between two accepted
//	                                  writes was longer than PAUSE
//
// The variable with the name of a member, such as $c1, holds its IP address. Cuts
// need "fleet control N relayed".

func groupCommand(w *workspace, ts *testscript.TestScript, args []string) error {
	if len(args) < 1 {
		return scriptErrorf("usage: group ACTION ...")
	}
	switch action, rest := args[0], args[1:]; {
	case action == "leader" && len(rest) == 1:
		return w.waitLeader(ts, rest[0])
	case action == "elections" && len(rest) == 1:
		return w.expectElections(rest[0])
	case action == "join" && len(rest) == 0:
		return w.addMember(ts)
	case action == "blank" && len(rest) == 1:
		return w.startBlankMember(rest[0])
	case action == "voters" && len(rest) > 1:
		return w.waitVoters(rest[0], rest[1:], func(voters []string) bool { return slices.Equal(voters, slices.Sorted(slices.Values(rest[1:]))) })
	case action == "votes" && len(rest) == 2:
		return w.waitVoters(rest[0], rest[1:], func(voters []string) bool { return slices.Contains(voters, rest[1]) })
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
	return scriptErrorf("group %q: no such action with these arguments", args)
}

// firstRelayVM is the number of the VM of the relay in front of the first control process.
const firstRelayVM = 41

// member is one process of the control group.
type member struct {
	name string
	vm   int // number of its VM
}

// startMember starts a control process, which is a founder unless join is set.
func (w *workspace) startMember(m member, join bool) error {
	dir, err := w.issueKeys(m.name, keys.RoleControl)
	if err != nil {
		return err
	}
	return w.start(m.name, controlProgram, w.controlFlags(m, dir, join))
}

// memberLinkAddr returns the link address at which other members reach m.
func (w *workspace) memberLinkAddr(m member) string {
	if w.control.relayed {
		return joinPort(w.vmAddr(m.vm-firstControlVM+firstRelayVM), portLink)
	}
	return joinPort(w.vmAddr(m.vm), portLink)
}

func (w *workspace) controlLinkAddrs() []string {
	var out []string
	for i := range w.control.count {
		out = append(out, w.memberLinkAddr(member{vm: firstControlVM + i}))
	}
	return out
}

// addMember starts a control process on the next free control VM. It joins the group
// once it is added by the command-line client.
func (w *workspace) addMember(ts *testscript.TestScript) error {
	i := w.control.count
	if i == 0 || i >= maxControls {
		return scriptErrorf("group join needs a preceding fleet control and allows at most 9 members")
	}
	m := member{controlName(i + 1), firstControlVM + i}
	w.control.count++
	ts.Setenv(m.name, w.vmAddr(m.vm))
	if err := w.startMemberRelay(m); err != nil {
		return err
	}
	return w.startMember(m, true)
}

// startBlankMember starts a member that has stopped again, with a blank disk.
func (w *workspace) startBlankMember(name string) error {
	if err := w.wipeData(name); err != nil {
		return err
	}
	for i := range w.control.count {
		if controlName(i+1) == name {
			return w.startMember(member{name, firstControlVM + i}, true)
		}
	}
	return scriptErrorf("%q is not a member of the control group", name)
}

// waitVoters waits until the sorted names of the voters, as the leader counts them, are as wanted, and the named members
// count themselves as voters.
func (w *workspace) waitVoters(timeoutText string, names []string, wanted func(voters []string) bool) error {
	timeout, err := time.ParseDuration(timeoutText)
	if err != nil {
		return scriptErrorf("invalid timeout %q: %v", timeoutText, err)
	}
	return waitUntil(timeout, func() error {
		voters, err := w.voters()
		if err == nil && !wanted(voters) {
			err = fmt.Errorf("the voters are %v", voters)
		}
		for _, name := range names {
			if err == nil {
				err = w.votes(name)
			}
		}
		return err
	})
}

// votes returns an error unless a member counts itself as a voter of a group with a leader.
func (w *workspace) votes(name string) error {
	for i := range w.control.count {
		if controlName(i+1) != name {
			continue
		}
		_, body, err := get("http://" + joinPort(w.vmAddr(firstControlVM+i), portDebug) + "/debug/vars")
		if err != nil {
			return err
		}
		var vars struct {
			Group struct {
				Voter  bool
				Leader string
			}
		}
		if err := json.Unmarshal(body, &vars); err != nil {
			return err
		}
		if !vars.Group.Voter || vars.Group.Leader == "" {
			return fmt.Errorf("%s has no vote (%+v)", name, vars.Group)
		}
		return nil
	}
	return scriptErrorf("%q is not a member of the control group", name)
}

// voters returns the names of the voters, as the leader reports them.
func (w *workspace) voters() ([]string, error) {
	err := errors.New("no control group has been started")
	for _, addr := range w.controlAddrs(portAPI) {
		// Members that do not lead redirect the request.
		var status int
		var body []byte
		status, body, err = w.requestOnce(http.MethodGet, "https://"+addr+"/v1/members", nil, "")
		if err != nil || status != http.StatusOK {
			continue
		}
		var list apiv1.Members
		if err = json.Unmarshal(body, &list); err != nil {
			return nil, err
		}
		var out []string
		for _, m := range list.Members {
			if m.Voter {
				out = append(out, m.ID)
			}
		}
		slices.Sort(out)
		return out, nil
	}
	return nil, errors.Join(errors.New("no member leads"), err)
}

func (w *workspace) startMemberRelay(m member) error {
	if !w.control.relayed {
		return nil
	}
	return w.startRelay(m.name, w.memberLinkAddr(m), joinPort(w.vmAddr(m.vm), portLink))
}

// readCallerAt reads a caller resource at one member, without following redirects. It
// returns false if that member gave no valid answer.
func (w *workspace) readCallerAt(addr, name string) (historyState, bool) {
	status, body, err := w.requestOnce(http.MethodGet, "https://"+addr+"/v1/callers/"+name, nil, "")
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

// leader returns the name of the leader, as reported by the leader itself.
func (w *workspace) leader() (string, error) {
	_, body, err := w.callControl(http.MethodGet, "/v1/status", nil, "")
	if err != nil {
		return "", err
	}
	var s apiv1.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return "", err
	}
	if s.Leader == "" {
		return "", errors.New("the control status has no leader")
	}
	return s.Leader, nil
}

// waitLeader waits for a leader and sets LEADER, FOLLOWER1 and so on to the names of
// the members.
func (w *workspace) waitLeader(ts *testscript.TestScript, timeoutText string) error {
	timeout, err := time.ParseDuration(timeoutText)
	if err != nil {
		return scriptErrorf("invalid timeout %q: %v", timeoutText, err)
	}
	var leader string
	err = waitUntil(timeout, func() (err error) {
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

// expectElections checks that the running members have won at most a number of
// elections in all.
func (w *workspace) expectElections(maxText string) error {
	limit, err := strconv.Atoi(maxText)
	if err != nil {
		return scriptErrorf("invalid number of elections %q", maxText)
	}
	won := 0
	for i := range w.control.count {
		p, err := w.process(controlName(i + 1))
		if err != nil || !p.running() {
			continue
		}
		_, body, err := get("http://" + joinPort(w.vmAddr(firstControlVM+i), portDebug) + "/debug/vars")
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
	if won > limit {
		return fmt.Errorf("members have won %d elections, more than %d", won, limit)
	}
	return nil
}

// runCLI runs the command-line client with the settings of the fleet.
func (w *workspace) runCLI(ts *testscript.TestScript, args []string) error {
	ca := filepath.Join(w.dir, "keys", "authority", "ca.crt")
	env := []string{"GODWITHUB_CA=" + ca, "GODWITHUB_TOKEN=" + w.control.token,
		"GODWITHUB_SERVER=" + strings.Join(w.controlAddrs(portAPI), ",")}
	cmd := exec.Command(filepath.Join(w.programDir, "godwithub"), args...)
	cmd.Dir = w.dir
	cmd.Env = append(os.Environ(), env...)
	out, err := cmd.CombinedOutput()
	ts.Logf("%s", out)
	if err != nil {
		return fmt.Errorf("godwithub %q: %w: %.500s", args, err, out)
	}
	return nil
}

// cutMembers drops everything that one member sends to another.
func (w *workspace) cutMembers(from, to string) error {
	fromRelay, toRelay := w.relays[from], w.relays[to]
	if fromRelay == nil || toRelay == nil {
		return scriptErrorf("cuts between members need a preceding fleet control N relayed")
	}
	addrs := map[string]string{}
	for i := range w.control.count {
		addrs[controlName(i+1)] = w.vmAddr(firstControlVM + i)
	}
	// A member sends over the connections that it has opened, which go through the
	// other's relay, and over those that the other has opened, which go through its own.
	if err := toRelay.cut([]string{"to", addrs[from]}); err != nil {
		return err
	}
	return fromRelay.cut([]string{"from", addrs[to]})
}

// isolate drops all traffic between one member and the others, in one direction or both.
func (w *workspace) isolate(name, dirText string) error {
	dirs, err := directions(dirText)
	if err != nil {
		return err
	}
	for i := range w.control.count {
		other := controlName(i + 1)
		if other == name {
			continue
		}
		for _, dir := range dirs {
			from, to := other, name
			if dir == fromTarget {
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
func (w *workspace) healMembers() {
	for i := range w.control.count {
		if r := w.relays[controlName(i+1)]; r != nil {
			r.faults.heal()
		}
	}
}
