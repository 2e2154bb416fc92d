package explain

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// ErrUnknownRequest reports that no line logs the end or refusal of the request.
var ErrUnknownRequest = errors.New("explain: no log line tells how the request ended")

// Messages of the log lines that a story is built from.
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
	msgCurrent    = "distribute: configuration is known to be current"
	msgNotCurrent = "distribute: configuration is not known to be current"
)

// eventMargin is added to the time of a request, before its receipt and after its end. The story
// includes the starts and stops of processes and the failures of paths in the extended time.
const eventMargin = 10 * time.Second

// Step is one event of a story.
type Step struct {
	At     time.Time `json:"at"`
	Source string    `json:"source"`
	Text   string    `json:"text"`
}

// Story is the reconstructed history of a request.
type Story struct {
	Request    string    `json:"request"`
	ReceivedAt time.Time `json:"came"`
	Steps      []Step    `json:"steps"` // in chronological order
	// Cause is a sentence that explains why the request ended as it did.
	Cause string `json:"cause"`
}

// BuildStory builds the story of the request with the given id.
func BuildStory(lines []Line, id string) (*Story, error) {
	builder := &storyBuilder{id: id, lines: slices.Clone(lines)}
	slices.SortStableFunc(builder.lines, func(a, b Line) int { return a.At.Compare(b.At) })
	if !builder.findEnd() {
		return nil, fmt.Errorf("%w: %s", ErrUnknownRequest, id)
	}
	builder.attempts = parseAttempts(builder.end.Attempts)
	builder.findNodes()
	for i := range builder.lines {
		builder.addLine(&builder.lines[i])
	}
	builder.addLastKnownStates()
	slices.SortStableFunc(builder.selected, func(a, b *Line) int { return a.At.Compare(b.At) })
	s := &Story{Request: id, ReceivedAt: builder.receivedAt, Cause: builder.cause()}
	for _, l := range builder.selected {
		s.Steps = append(s.Steps, Step{l.At, l.Source, describe(l)})
	}
	return s, nil
}

// listedAttempt is one attempt in the list that the ingress logs.
type listedAttempt struct{ upstream, node string }

// parseAttempts parses "upstream@node outcome/reason after N ms; ...".
func parseAttempts(list string) []listedAttempt {
	var out []listedAttempt
	for part := range strings.SplitSeq(list, "; ") {
		place, _, _ := strings.Cut(part, " ")
		upstream, node, hasNode := strings.Cut(place, "@")
		if hasNode {
			out = append(out, listedAttempt{upstream, node})
		}
	}
	return out
}

// storyBuilder selects the lines of a story.
type storyBuilder struct {
	id         string
	lines      []Line // in chronological order
	end        *Line
	receivedAt time.Time
	attempts   []listedAttempt
	// nodeOfSource maps each source that has logged its start to its node id.
	nodeOfSource map[string]string
	selected     []*Line
	// The last lines before the end of the request: those on the work and on the presence of each
	// upstream, and those on the configuration of the node that received the request and whether it was known
	// to be current.
	lastWork, lastPresence map[string]*Line
	lastConfig, lastProof  *Line
}

func (b *storyBuilder) findEnd() bool {
	for i := range b.lines {
		l := &b.lines[i]
		if l.Request == b.id && (l.Message == msgEnded || l.Message == msgRefused) {
			b.end = l
		}
	}
	if b.end == nil {
		return false
	}
	b.receivedAt = b.end.At.Add(-time.Duration(b.end.TookMs) * time.Millisecond)
	return true
}

func (b *storyBuilder) findNodes() {
	b.nodeOfSource = map[string]string{}
	for i := range b.lines {
		if l := &b.lines[i]; l.Message == msgUp {
			b.nodeOfSource[l.Source] = l.Node
		}
	}
	b.lastWork, b.lastPresence = map[string]*Line{}, map[string]*Line{}
}

// addLine selects l if it is an event of the story, or remembers it if it describes the state of an
// upstream or the configuration of the node that received the request.
func (b *storyBuilder) addLine(l *Line) {
	nearRequest := l.At.After(b.receivedAt.Add(-eventMargin)) && l.At.Before(b.end.At.Add(eventMargin))
	beforeEnd := !l.At.After(b.end.At)
	switch l.Message {
	case msgWork:
		if beforeEnd {
			b.lastWork[l.Upstream] = l
		}
	case msgJoined, msgLeft:
		if beforeEnd {
			b.lastPresence[l.Upstream] = l
		}
	case msgConfigured:
		if beforeEnd && l.Source == b.end.Source {
			b.lastConfig = l
		}
	case msgCurrent, msgNotCurrent:
		if beforeEnd && l.Source == b.end.Source {
			b.lastProof = l
		}
	case msgPathFailed, msgPathWorks:
		if nearRequest && l.Source == b.end.Source && b.attemptedNode(l.Node) {
			b.selected = append(b.selected, l)
		}
	case msgUp, msgLeaving, msgHasLeft:
		if l.Message == msgUp && beforeEnd && l.Source == b.end.Source {
			b.lastConfig, b.lastProof = nil, nil // a new incarnation starts without a configuration
		}
		if nearRequest && (l.Source == b.end.Source || b.attemptedNode(b.nodeOfSource[l.Source])) {
			b.selected = append(b.selected, l)
		}
	default:
		if l.Request == b.id {
			b.selected = append(b.selected, l)
		}
	}
}

func (b *storyBuilder) attemptedNode(node string) bool {
	return node != "" && slices.ContainsFunc(b.attempts, func(a listedAttempt) bool { return a.node == node })
}

// addLastKnownStates selects the lines on the last state of each attempted upstream before the end of
// the request, and on the configuration of the node that received it.
func (b *storyBuilder) addLastKnownStates() {
	if b.lastConfig != nil {
		b.selected = append(b.selected, b.lastConfig)
	}
	if b.lastProof != nil && (b.end.Reason == "unknown-key" || b.end.Reason == "not-fresh") {
		b.selected = append(b.selected, b.lastProof)
	}
	seen := map[string]bool{}
	for _, a := range b.attempts {
		if seen[a.upstream] {
			continue
		}
		seen[a.upstream] = true
		for _, l := range []*Line{b.lastPresence[a.upstream], b.lastWork[a.upstream]} {
			if l != nil {
				b.selected = append(b.selected, l)
			}
		}
	}
}

// describe returns a human-readable description of a line.
func describe(l *Line) string {
	switch l.Message {
	case msgEnded:
		return fmt.Sprintf("request ended: status %d, %s after %d ms, %d ms left, service %s, rank level %d%s, configuration %s; attempts: %s",
			l.Status, outcomeText(l), l.TookMs, l.LeftMs, l.Service, l.Rank, customerText(l), l.Config, cmp.Or(l.Attempts, "none"))
	case msgRefused:
		return fmt.Sprintf("request refused: %s: %s%s", l.Reason, l.Detail, customerText(l))
	case msgAttempt:
		return fmt.Sprintf("attempt at %s ended: %s, queued %d ms, served %d ms of %d ms given, %d of %d slots in use, %d queued, insist %t",
			l.Upstream, outcomeText(l), l.QueuedMs, l.ServedMs, l.GivenMs, l.InUse, l.Slots, l.Queued, l.Insist)
	case msgWork:
		if l.Failing {
			return l.Upstream + " has begun to fail its work"
		}
		return l.Upstream + " does its work again"
	}
	_, description, _ := strings.Cut(l.Message, ": ")
	for _, name := range []string{l.Upstream, l.Node, l.Version, l.Detail} {
		if name != "" {
			description += " " + name
		}
	}
	return description
}

// customerText returns the customer of a request for the end of a list, or "".
func customerText(l *Line) string {
	if l.Customer == "" {
		return ""
	}
	return ", customer " + l.Customer
}

func outcomeText(l *Line) string {
	switch {
	case l.Reason == "":
		return l.Outcome
	case l.Outcome == "": // as in lines on refused requests
		return l.Reason
	}
	return l.Outcome + " (" + l.Reason + ")"
}
