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
	// HeaderDeadlineMs is the time remaining until the deadline, in milliseconds.
	HeaderDeadlineMs = "Godwithub-Deadline-Ms"
	// HeaderNotRun marks an answer to a request that was refused before it ran; its value is the
	// reason.
	HeaderNotRun = "Godwithub-Not-Run"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderCustomer is the name of the customer that the proxy has recognized by its key.
	HeaderCustomer = "Godwithub-Customer"
	// HeaderWorkID is the id that the caller gives a request, the same for all its attempts. Answers
	// echo it.
	HeaderWorkID = "X-Work-Id"
	// HeaderBodyBytes is the size of the answer's complete body, in bytes.
	HeaderBodyBytes = "X-Body-Bytes"
	// HeaderBodyChecksum is the Checksum of the answer's complete body.
	HeaderBodyChecksum = "X-Body-Checksum"
	// HeaderRequestChecksum is the Checksum of the request's body as it arrived.
	HeaderRequestChecksum = "X-Request-Checksum"
	// HeaderUpstream names the stand-in that answered.
	HeaderUpstream = "X-Upstream-Id"
)

// Values of HeaderNotRun.
const (
	NotRunShed     = "shed"
	NotRunDraining = "draining"
	NotRunDeadline = "deadline"
)

// Body returns the body of n bytes that belongs to a work id. Bodies of different work ids differ
// from the first bytes on.
func Body(workID string, n int) []byte {
	b := make([]byte, 0, n+8)
	state := xxhash.Sum64String(workID)
	for len(b) < n {
		b = binary.LittleEndian.AppendUint64(b, state)
		// A 64-bit linear congruential generator with Knuth's multiplier and increment.
		state = state*6364136223846793005 + 1442695040888963407
	}
	return b[:n]
}

// Checksum returns the checksum of a body as it appears in headers: 16 hexadecimal digits.
func Checksum(b []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(b)) }
