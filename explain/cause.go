package explain

import (
	"fmt"
	"time"
)

// causes describes the reasons that need no further lines.
var causes = map[string]string{
	"no-route":      "no route of the configuration in force fits the request's host and path",
	"no-kind":       "the service has no request kind for the method and path",
	"no-upstream":   "no usable upstream of the service was known",
	"bad-request":   "the request was malformed",
	"too-large":     "the body was over the limit",
	"rate-limited":  "the caller was over its rate",
	"shed":          "work of this rank was refused during an overload",
	"crashing":      "the request is known to crash upstreams",
	"short-answer":  "bytes of the upstream's answer were missing, or it belonged to another request",
	"late-answer":   "the upstream was at work, and its answer did not come before the deadline",
	"lost-upstream": "the connection to the upstream broke after the request was sent",
	"canceled":      "the caller left, or the node that took the request had to stop",
	"path-down":     "no node beside an upstream could be reached",
}

// cause says why the request ended as it did.
func (t *teller) cause() string {
	switch {
	case t.end.Outcome == "answered" && t.end.Status >= 500:
		return t.failedWork()
	case t.end.Outcome == "answered":
		return "the request was answered"
	case t.end.Reason == "deadline":
		return t.missedDeadline()
	case t.end.Reason == "lost-dispatcher":
		return t.lostDispatcher()
	case t.end.Reason == "no-configuration":
		return t.noConfiguration()
	}
	if c, ok := causes[t.end.Reason]; ok {
		return c
	}
	return "the request ended as " + result(t.end)
}

// failedWork explains a server error of the upstream.
func (t *teller) failedWork() string {
	last := t.last()
	l := t.work[last.upstream]
	switch {
	case l == nil || !l.Failing:
		return fmt.Sprintf("%s answered %d itself, and had not failed before", last.upstream, t.end.Status)
	case l.At.After(t.came):
		return fmt.Sprintf("%s answered %d itself; it began to fail its work with this request", last.upstream, t.end.Status)
	}
	return fmt.Sprintf("%s answered %d itself; it had failed its work for %v, and the others had declined: they were busy or failed as well",
		last.upstream, t.end.Status, round(t.end.At.Sub(l.At)))
}

// missedDeadline explains a request that was refused since it would have been late.
func (t *teller) missedDeadline() string {
	last := t.last()
	for _, l := range t.chosen {
		if l.Message == msgAttempt && l.Upstream == last.upstream && l.Reason == "deadline" {
			return fmt.Sprintf("the attempt at %s waited %d ms with %d of %d slots in use and %d others queued, and was refused as too late for its deadline",
				last.upstream, l.QueuedMs, l.InUse, l.Slots, l.Queued)
		}
	}
	return fmt.Sprintf("an upstream could not have answered before the deadline; %d were asked", len(t.attempts))
}

// lostDispatcher explains a request whose dispatcher fell silent.
func (t *teller) lostDispatcher() string {
	last := t.last()
	for _, l := range t.chosen {
		if t.nodes[l.Source] != last.node {
			continue
		}
		switch l.Message {
		case msgUp:
			if l.At.After(t.came) {
				return fmt.Sprintf("the process of node %s ended and started again at %s", last.node, l.At.Format(time.RFC3339Nano))
			}
		case msgHasLeft:
			return fmt.Sprintf("node %s had left at %s", last.node, l.At.Format(time.RFC3339Nano))
		}
	}
	return fmt.Sprintf("node %s fell silent, and no start or stop of its process is logged: it was frozen, or the path to it was cut", last.node)
}

// noConfiguration explains a request to a node that had no configuration yet.
func (t *teller) noConfiguration() string {
	for _, l := range t.chosen {
		if l.Message == msgUp && l.Source == t.end.Source {
			return fmt.Sprintf("the node had started %v before and had not heard from control or a peer", round(t.end.At.Sub(l.At)))
		}
	}
	return "the node had not heard from control or a peer since its start"
}

// last returns the last attempt, which is empty if there was none.
func (t *teller) last() tried {
	if len(t.attempts) == 0 {
		return tried{}
	}
	return t.attempts[len(t.attempts)-1]
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
