package ingress

// Headers of callers' requests in the system's own protocol.
const (
	HeaderKey       = "Idempotency-Key"
	HeaderTimeoutMs = "Godwithub-Timeout-Ms" // shortens the kind's deadline, in milliseconds
	HeaderCaller    = "Godwithub-Caller"
)

// Headers of answers to callers.
const (
	HeaderRequestID = "Godwithub-Request-Id"
	HeaderOutcome   = "Godwithub-Outcome"
	HeaderReason    = "Godwithub-Reason"
)

// Protocol names the headers of callers' requests. Headers without a name are
// not taken.
type Protocol struct {
	// RequestID carries the caller's own id of the request, which has to be
	// there and unique. Empty: the ingress makes one.
	RequestID string
	// TimeoutMs shortens the deadline of the request's kind, in milliseconds.
	TimeoutMs string
	// Key carries the idempotency key and Caller the caller's name.
	Key, Caller string
}

// OwnProtocol is the protocol of docs/callers.md.
func OwnProtocol() Protocol {
	return Protocol{TimeoutMs: HeaderTimeoutMs, Key: HeaderKey, Caller: HeaderCaller}
}
