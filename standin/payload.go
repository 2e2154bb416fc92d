package standin

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Header fields of requests and answers.
const (
	// HeaderRequestID is the id that the proxy gives a request. Answers echo it.
	HeaderRequestID = "Godwithub-Request-Id"
	// HeaderDeadlineMs is the time left to the deadline, in milliseconds.
	HeaderDeadlineMs = "Godwithub-Deadline-Ms"
	// HeaderNotRun is on a refusal that precedes any work; its value is the reason.
	HeaderNotRun = "Godwithub-Not-Run"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderWorkID is the caller's own id of the work. Answers echo it.
	HeaderWorkID = "X-Work-Id"
	// HeaderBodyBytes is the size of the answer's whole body, in bytes.
	HeaderBodyBytes = "X-Body-Bytes"
	// HeaderBodyChecksum is the Checksum of the answer's whole body.
	HeaderBodyChecksum = "X-Body-Checksum"
	// HeaderRequestChecksum is the Checksum of the request's body as it arrived.
	HeaderRequestChecksum = "X-Request-Checksum"
	// HeaderUpstream names the stand-in that answered.
	HeaderUpstream = "X-Upstream-Id"
)

// Reasons in HeaderNotRun.
const (
	NotRunShed     = "shed"
	NotRunDraining = "draining"
	NotRunDeadline = "deadline"
)

// Body returns the body of n bytes that belongs to a work id. Bodies of
// different work ids differ from the first bytes on.
func Body(workID string, n int) []byte {
	b := make([]byte, 0, n+8)
	state := xxhash.Sum64String(workID)
	for len(b) < n {
		b = binary.LittleEndian.AppendUint64(b, state)
		// The multiplier and increment are Knuth's for a 64-bit linear
		// congruential generator.
		state = state*6364136223846793005 + 1442695040888963407
	}
	return b[:n]
}

// Checksum returns the checksum of a body as it is written in headers: 16
// hexadecimal digits.
func Checksum(b []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(b)) }
