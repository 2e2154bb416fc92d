package explain

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// ErrUnknownRequest says that no line names the request as ended or refused.
var ErrUnknownRequest = errors.New("explain: the logs do not say how the request ended")

// Messages that the story of a request is made of.
const (
	msgEnded      = "ingress: request ended"
	msgRefused    = "ingress: request refused"
	msgAttempt    = "dispatch: attempt ended"
	msgWork       = "node: upstream's work"
	msgJoined     = "dispatch: upstream joined"
	msgLeft       = "dispatch: upstream left"
	msgPathFailed = "ingress: path to node failed"
	msgPathWorks  = "ingress: path to node works again"
	msgUp         = "node: node is up"
	msgLeaving    = "node: node is leaving"
	msgHasLeft    = "node: node has left"
	msgConfigured = "node: configuration received"
)

// around is how long before the request came, and after it ended, starts and stops of
// processes and failures of paths are part of its story.
const around = 10 * time.Second

// Step is one event of a story.
type Step struct {
	At     time.Time `json:"at"`
	Source string    `json:"source"`
	Text   string    `json:"text"`
}

// Story is what happened to a request.
type Story struct {
	Request string    `json:"request"`
	Came    time.Time `json:"came"`
	Steps   []Step    `json:"steps"` // in the order of time
	// Cause says in a sentence why the request ended as it did.
	Cause string `json:"cause"`
}

// Tell tells the story of the request called id.
func Tell(lines []Line, id string) (*Story, error) {
	t := &teller{id: id, lines: slices.Clone(lines)}
	slices.SortStableFunc(t.lines, func(a, b Line) int { return a.At.Compare(b.At) })
	if !t.findEnd() {
		return nil, fmt.Errorf("%w: %s", ErrUnknownRequest, id)
	}
	t.attempts = parseAttempts(t.end.Attempts)
	t.findNodes()
	for i := range t.lines {
		t.take(&t.lines[i])
	}
	t.addBeliefs()
	slices.SortStableFunc(t.chosen, func(a, b *Line) int { return a.At.Compare(b.At) })
	s := &Story{Request: id, Came: t.came, Cause: t.cause()}
	for _, l := range t.chosen {
		s.Steps = append(s.Steps, Step{l.At, l.Source, text(l)})
	}
	return s, nil
}

// tried is one attempt as the ingress lists it.
type tried struct{ upstream, node string }

// parseAttempts reads "upstream@node outcome/reason after N ms; ...".
func parseAttempts(list string) []tried {
	var out []tried
	for part := range strings.SplitSeq(list, "; ") {
		where, _, _ := strings.Cut(part, " ")
		upstream, node, isPlace := strings.Cut(where, "@")
		if isPlace {
			out = append(out, tried{upstream, node})
		}
	}
	return out
}

// teller collects the lines of a story.
type teller struct {
	id       string
	lines    []Line // in the order of time
	end      *Line
	came     time.Time
	attempts []tried
	// nodes holds the node of each source that has logged its start.
	nodes  map[string]string
	chosen []*Line
	// The last line of each upstream and of the ingress's configuration before the end.
	work, presence map[string]*Line
	configured     *Line
}

func (t *teller) findEnd() bool {
	for i := range t.lines {
		l := &t.lines[i]
		if l.Request == t.id && (l.Message == msgEnded || l.Message == msgRefused) {
			t.end = l
		}
	}
	if t.end == nil {
		return false
	}
	t.came = t.end.At.Add(-time.Duration(t.end.TookMs) * time.Millisecond)
	return true
}

func (t *teller) findNodes() {
	t.nodes = map[string]string{}
	for i := range t.lines {
		if l := &t.lines[i]; l.Message == msgUp {
			t.nodes[l.Source] = l.Node
		}
	}
	t.work, t.presence = map[string]*Line{}, map[string]*Line{}
}

// take adds l to the story if it is an event of it, or notes what it says of an
// upstream or of the ingress's configuration.
func (t *teller) take(l *Line) {
	near := l.At.After(t.came.Add(-around)) && l.At.Before(t.end.At.Add(around))
	before := !l.At.After(t.end.At)
	switch l.Message {
	case msgWork:
		if before {
			t.work[l.Upstream] = l
		}
	case msgJoined, msgLeft:
		if before {
			t.presence[l.Upstream] = l
		}
	case msgConfigured:
		if before && l.Source == t.end.Source {
			t.configured = l
		}
	case msgPathFailed, msgPathWorks:
		if near && l.Source == t.end.Source && t.asked(l.Node) {
			t.chosen = append(t.chosen, l)
		}
	case msgUp, msgLeaving, msgHasLeft:
		if l.Message == msgUp && before && l.Source == t.end.Source {
			t.configured = nil // What an earlier process had is gone.
		}
		if near && (l.Source == t.end.Source || t.asked(t.nodes[l.Source])) {
			t.chosen = append(t.chosen, l)
		}
	default:
		if l.Request == t.id {
			t.chosen = append(t.chosen, l)
		}
	}
}

func (t *teller) asked(node string) bool {
	return node != "" && slices.ContainsFunc(t.attempts, func(a tried) bool { return a.node == node })
}

// addBeliefs adds what was last known before the end of each upstream that was asked,
// and the configuration that the ingress had.
func (t *teller) addBeliefs() {
	if t.configured != nil {
		t.chosen = append(t.chosen, t.configured)
	}
	seen := map[string]bool{}
	for _, a := range t.attempts {
		if seen[a.upstream] {
			continue
		}
		seen[a.upstream] = true
		for _, l := range []*Line{t.presence[a.upstream], t.work[a.upstream]} {
			if l != nil {
				t.chosen = append(t.chosen, l)
			}
		}
	}
}

// text describes a line for a reader.
func text(l *Line) string {
	switch l.Message {
	case msgEnded:
		return fmt.Sprintf("request ended: status %d, %s after %d ms, %d ms left, configuration %s; attempts: %s",
			l.Status, result(l), l.TookMs, l.LeftMs, l.Config, l.Attempts)
	case msgRefused:
		return fmt.Sprintf("request refused: %s: %s", l.Reason, l.Detail)
	case msgAttempt:
		return fmt.Sprintf("attempt at %s ended: %s, queued %d ms, served %d ms of %d ms given, %d of %d slots in use, %d queued, insist %t",
			l.Upstream, result(l), l.QueuedMs, l.ServedMs, l.GivenMs, l.InUse, l.Slots, l.Queued, l.Insist)
	case msgWork:
		if l.Failing {
			return l.Upstream + " has begun to fail its work"
		}
		return l.Upstream + " does its work again"
	}
	_, rest, _ := strings.Cut(l.Message, ": ")
	for _, name := range []string{l.Upstream, l.Node, l.Detail} {
		if name != "" {
			rest += " " + name
		}
	}
	return rest
}

func result(l *Line) string {
	if l.Reason == "" {
		return l.Outcome
	}
	return l.Outcome + " (" + l.Reason + ")"
}
