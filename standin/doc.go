// Package standin implements a stand-in upstream for tests and measurements. It behaves like the
// upstreams on the design page: it has a few slots, a connection limit, a cost for each new
// connection and each probe, and a cold start, and it supports drain, cancellation and deadlines.
// Faults can be set while it runs.
//
// Requests are served at the service address. The admin address serves:
//
//	GET    /status   Status as JSON
//	GET    /faults   the active Faults
//	PUT    /faults   replaces the faults
//	DELETE /faults   removes all faults
//	PUT    /drain    refuses new work and announces draining
//	DELETE /drain    accepts work again
//
// The run log shows how often each request ran, and so whether it ran at most once: see Event.
package standin
