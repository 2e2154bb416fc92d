package ingress

// Headers of callers' requests in godwithub's own protocol.
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

// Protocol names the headers of callers' requests. A header whose name is empty is not read.
type Protocol struct {
	// RequestID carries the caller's id of the request, which is required and must be unique. If
	// the name is empty, the ingress generates the id.
	RequestID string
	// TimeoutMs shortens the deadline of the request's kind, in milliseconds.
	TimeoutMs string
	// Credential carries the key of the customer. It is never passed on.
	Credential string
	// Key carries the idempotency key and Caller the caller's name.
	Key, Caller string
	// CallSeparator separates the parts of the id of a call, which a run of a request makes: the id of
	// that request, the separator, and a part of its own. If it is empty, calls are not recognized.
	CallSeparator string
	// FractionalRetryAfter says that callers read a Retry-After with fractions of a second. Otherwise it
	// is rounded up to whole seconds, as RFC 9110 has it.
	FractionalRetryAfter bool
}

// OwnProtocol returns the protocol that docs/callers.md describes.
func OwnProtocol() Protocol {
	return Protocol{TimeoutMs: HeaderTimeoutMs, Key: HeaderKey, Caller: HeaderCaller}
}
