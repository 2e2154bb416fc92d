package dispatch

import (
	"net/http"
)

// Headers between the dispatcher and upstreams that speak the system's own
// protocol.
const (
	HeaderRequestID  = "Godwithub-Request-Id"
	HeaderDeadlineMs = "Godwithub-Deadline-Ms" // milliseconds left to the deadline
	// HeaderNotRun in an upstream's answer says that it refused the request
	// before running it, and why.
	HeaderNotRun = "Godwithub-Not-Run"
)

// Protocol is how upstreams are spoken to: names of headers, and what an
// answer says. Empty names of headers are not used.
type Protocol struct {
	// RequestID carries the id of the request. Upstreams send it back.
	RequestID string
	// EchoRequired says that an answer without the request's id belongs to no
	// request, since all upstreams send it back.
	EchoRequired bool
	// DeadlineMs carries the milliseconds left to the deadline.
	DeadlineMs string
	// Expected names the upstream that is meant. Another one at its address
	// refuses the request without running it.
	Expected string
	// Origin carries the service of the VM where the request came in.
	Origin string
	// Refusal tells what an answer says of the run.
	Refusal func(*http.Response) Refusal
}

// Refusal is what an answer of an upstream says of the run of its request.
type Refusal uint8

// Refusals.
const (
	// Ran: the answer is that of a run.
	Ran Refusal = iota
	// RefusedFull: the request has not run, since the upstream takes no more.
	RefusedFull
	// RefusedOther: the request has not run, since another upstream than the
	// expected one has the address.
	RefusedOther
)

// OwnProtocol is the protocol of upstreams that know the system.
func OwnProtocol() Protocol {
	return Protocol{
		RequestID:  HeaderRequestID,
		DeadlineMs: HeaderDeadlineMs,
		Refusal: func(r *http.Response) Refusal {
			if r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(HeaderNotRun) != "" {
				return RefusedFull
			}
			return Ran
		},
	}
}

// owns reports whether an answer belongs to the request with the given id.
func (p *Protocol) owns(h http.Header, id string) bool {
	echoed := h.Get(p.RequestID)
	return echoed == id || echoed == "" && !p.EchoRequired
}

// set sets a header that the system alone decides on; an empty value takes the
// sender's away.
func set(h http.Header, name, value string) {
	switch {
	case name == "":
	case value == "":
		h.Del(name)
	default:
		h.Set(name, value)
	}
}
