// Package loadgen sends open-loop load and checks every answer.
//
// Requests have planned send times, at constant or Poisson-distributed
// intervals, that do not depend on answers. Latency counts from the planned
// time, so that a stall of the system under test is charged to every request
// that it delays. A request that would exceed the bound of requests in flight
// is not sent and is counted.
//
// Answers are expected from stand-in upstreams (package standin), whose bodies
// derive from the work id that the request carries. Crossed, short and altered
// answers are therefore found.
package loadgen
