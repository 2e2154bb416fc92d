package dispatch

import (
	"net/http"
)

// Headers of OwnProtocol, between the dispatcher and upstreams.
const (
	HeaderRequestID  = "Godwithub-Request-Id"
	HeaderDeadlineMs = "Godwithub-Deadline-Ms" // milliseconds left to the deadline
	// HeaderNotRun in an answer says that the upstream refused the request before running it, and
	// why.
	HeaderNotRun = "Godwithub-Not-Run"
	// HeaderRateLimit in an answer names the requests per second that the upstream accepts from the
	// whole fleet, as a decimal number. It holds until an answer without it.
	HeaderRateLimit = "Godwithub-Rate-Limit"
	// HeaderLeaving in an answer says with the value 1 that the upstream leaves and takes no new
	// requests.
	HeaderLeaving = "Godwithub-Leaving"
)

// Protocol defines the HTTP headers between the dispatcher and upstreams, and how answers are
// interpreted. A header whose name is empty is not sent.
type Protocol struct {
	// RequestID is the header with the ID of the request. Upstreams return it in the answer.
	RequestID string
	// EchoRequired says that all upstreams return the request ID, so that an answer without it is
	// rejected. Otherwise, connections to an upstream are kept only once it has returned an ID.
	EchoRequired bool
	// DeadlineMs is the header with the milliseconds left to the deadline.
	DeadlineMs string
	// ExpectedUpstream is the header with the ID of the intended upstream. Another upstream at the
	// same address refuses the request without running it.
	ExpectedUpstream string
	// Origin is the header with the service of the VM where the request entered the fleet.
	Origin string
	// Customer is the header with the name of the customer whose key the request had.
	Customer string
	// RateLimit is the header of answers with the requests per second that the upstream accepts.
	RateLimit string
	// Leaving is the header of answers of an upstream that leaves; its value is 1.
	Leaving string
	// Refusal returns whether the upstream refused the request, according to its answer.
	Refusal func(*http.Response) Refusal
}

// Refusal says whether an upstream ran a request or why it refused it.
type Refusal uint8

// Values of Refusal.
const (
	// Ran: the upstream ran the request.
	Ran Refusal = iota
	// RefusedFull: the request has not run because the upstream is at capacity.
	RefusedFull
	// RefusedWrongUpstream: the request has not run because another upstream than the expected one
	// has the address.
	RefusedWrongUpstream
)

// OwnProtocol returns the protocol of upstreams that were written for this system.
func OwnProtocol() Protocol {
	return Protocol{
		RequestID:  HeaderRequestID,
		DeadlineMs: HeaderDeadlineMs,
		RateLimit:  HeaderRateLimit,
		Leaving:    HeaderLeaving,
		Refusal: func(r *http.Response) Refusal {
			if r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(HeaderNotRun) != "" {
				return RefusedFull
			}
			return Ran
		},
	}
}

// setOrDelete sets a header whose value the caller must not control; an empty value removes the one
// that the caller sent.
func setOrDelete(h http.Header, name, value string) {
	switch {
	case name == "":
	case value == "":
		h.Del(name)
	default:
		h.Set(name, value)
	}
}
