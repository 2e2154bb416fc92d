package explain

import (
	"fmt"
	"strings"
	"time"
)

// causesByReason maps the reasons that are explained without looking at further log lines.
var causesByReason = map[string]string{
	"no-route":      "no route of the configuration in force fits the request's host and path",
	"no-kind":       "the service has no request kind for the method and path",
	"no-upstream":   "no usable upstream of the service was known",
	"bad-request":   "the request was malformed",
	"too-large":     "the body was over the limit",
	"no-room":       "nearly all requests of its kind make calls to another service, which found no room there",
	"not-fresh":     "the node could not tell whether its configuration is current, as requests with keys need it",
	"quota-unknown": "no control member could be asked for the quota of the customer, also not through another node",
	"busy":          "all slots of the upstreams that were asked were in use",
	"unhealthy":     "the upstreams that were asked failed their work",
	"draining":      "the upstreams that were asked were about to leave",
	"retry-budget":  "the retries of the service over the whole fleet were used up",

	"upstream-limit": "the upstreams that were asked accept no more requests at present",

	"crashing":      "the request is known to crash upstreams",
	"short-answer":  "bytes of the upstream's answer were missing, or it belonged to another request",
	"late-answer":   "the upstream was at work, and its answer did not come before the deadline",
	"lost-upstream": "the connection to the upstream broke after the request was sent",
	"canceled":      "the caller left, or the node that took the request had to stop",
	"path-down":     "no node beside an upstream could be reached",
}

// cause returns a sentence that explains why the request ended as it did.
func (b *storyBuilder) cause() string {
	switch {
	case b.end.Outcome == "answered" && b.end.Status >= 500:
		return b.explainServerError()
	case b.end.Outcome == "answered":
		return "the request was answered"
	case b.end.Reason == "deadline", b.end.Reason == "queue-long":
		return b.explainMissedDeadline()
	case b.end.Reason == "lost-dispatcher":
		return b.explainLostDispatcher()
	case b.end.Reason == "no-configuration":
		return b.explainNoConfiguration()
	case b.end.Reason == "unknown-key":
		return b.explainUnknownKey()
	case b.end.Reason == "rate-limited":
		return b.explainRateLimited()
	case b.end.Reason == "shed":
		return b.explainShed()
	}
	if c, ok := causesByReason[b.end.Reason]; ok {
		return c
	}
	return "the request ended as " + outcomeText(b.end)
}

// explainServerError explains an answer of an upstream with a status of 500 or above.
func (b *storyBuilder) explainServerError() string {
	last := b.lastAttempt()
	l := b.lastWork[last.upstream]
	switch {
	case l == nil || !l.Failing:
		return fmt.Sprintf("%s answered %d itself, and had not failed before", last.upstream, b.end.Status)
	case l.At.After(b.receivedAt):
		return fmt.Sprintf("%s answered %d itself; it began to fail its work with this request", last.upstream, b.end.Status)
	}
	return fmt.Sprintf("%s answered %d itself; it had failed its work for %v, and the others had declined: they were busy or failed as well",
		last.upstream, b.end.Status, roundToMs(b.end.At.Sub(l.At)))
}

// explainMissedDeadline explains a request that was refused because it would have missed its deadline.
func (b *storyBuilder) explainMissedDeadline() string {
	last := b.lastAttempt()
	for _, l := range b.selected {
		if l.Message == msgAttempt && l.Upstream == last.upstream && (l.Reason == "deadline" || l.Reason == "queue-long") {
			return fmt.Sprintf("the attempt at %s waited %d ms with %d of %d slots in use and %d others queued, and was refused as too late for its deadline",
				last.upstream, l.QueuedMs, l.InUse, l.Slots, l.Queued)
		}
	}
	return fmt.Sprintf("an upstream could not have answered before the deadline; %d were asked", len(b.attempts))
}

// explainLostDispatcher explains a request whose dispatcher stopped responding.
func (b *storyBuilder) explainLostDispatcher() string {
	last := b.lastAttempt()
	for _, l := range b.selected {
		if b.nodeOfSource[l.Source] != last.node {
			continue
		}
		switch l.Message {
		case msgUp:
			if l.At.After(b.receivedAt) {
				return fmt.Sprintf("the process of node %s ended and started again at %s", last.node, l.At.Format(time.RFC3339Nano))
			}
		case msgHasLeft:
			return fmt.Sprintf("node %s had left at %s", last.node, l.At.Format(time.RFC3339Nano))
		}
	}
	return fmt.Sprintf("node %s fell silent, and no start or stop of its process is logged: it was frozen, or the path to it was cut", last.node)
}

// explainNoConfiguration explains a request to a node that had not received a configuration yet.
func (b *storyBuilder) explainNoConfiguration() string {
	for _, l := range b.selected {
		if l.Message == msgUp && l.Source == b.end.Source {
			return fmt.Sprintf("the node had started %v before and had not heard from control or a peer", roundToMs(b.end.At.Sub(l.At)))
		}
	}
	return "the node had not heard from control or a peer since its start"
}

// explainUnknownKey explains a request without the key of a customer.
func (b *storyBuilder) explainUnknownKey() string {
	if b.lastConfig == nil {
		return b.end.Detail
	}
	return fmt.Sprintf("%s; the node had configuration %s since %s", b.end.Detail, b.lastConfig.Version, b.lastConfig.At.Format(time.RFC3339Nano))
}

// explainRateLimited explains a request of a customer over its quota or of a caller over its rate.
func (b *storyBuilder) explainRateLimited() string {
	if b.end.Customer != "" && strings.Contains(b.end.Detail, "quota") {
		return fmt.Sprintf("customer %s was over its quota, summed over all nodes", b.end.Customer)
	}
	return "the caller was over its rate at the node that received the request"
}

// explainShed explains a request that was refused during an overload, where it entered or by an upstream's queue.
func (b *storyBuilder) explainShed() string {
	place := "the queues of the upstreams that were asked"
	if len(b.attempts) == 0 {
		place = "the node that received it, since the queues of the upstreams would have refused it"
	}
	return fmt.Sprintf("service %s was overloaded, and work of rank level %d was refused by %s", b.end.Service, b.end.Rank, place)
}

// lastAttempt returns the last attempt, or the zero value if there was none.
func (b *storyBuilder) lastAttempt() listedAttempt {
	if len(b.attempts) == 0 {
		return listedAttempt{}
	}
	return b.attempts[len(b.attempts)-1]
}

func roundToMs(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
