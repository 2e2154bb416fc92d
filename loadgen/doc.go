// Package loadgen generates open-loop load and checks every answer.
//
// Requests have planned send times, at constant or Poisson-distributed intervals, that do not
// depend on answers. Latency is measured from the planned time, so that a stall of the system under
// test is charged to every request that it delays. A request that would exceed the limit of
// in-flight requests is not sent but counted as an overflow.
//
// Answers must come from stand-in upstreams (package standin), whose bodies derive from the work id
// that the request carries. This reveals answers that belong to another request, are cut short or
// were altered.
package loadgen
