// Package standin is a stand-in upstream for tests and measurements. It
// behaves like the upstreams of the design page: a few slots, a limit of
// connections, a cost for each new connection and each probe, a cold start,
// drain, cancellation and deadlines. Faults are set while it runs.
//
// Requests are served at the service address. The admin address takes:
//
//	GET    /status   Status as JSON
//	GET    /faults   the Faults in force
//	PUT    /faults   replaces the faults
//	DELETE /faults   removes all faults
//	PUT    /drain    refuses new work and announces draining
//	DELETE /drain    takes work again
//
// Its run log is the evidence for "at most once": see Event.
package standin
