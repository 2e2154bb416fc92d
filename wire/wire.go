// Package wire defines the messages that godwithub's processes exchange over links: their frame
// types and CBOR payloads.
package wire

import (
	"errors"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithub/godwithub/admission"
	"github.com/godwithub/godwithub/capacity"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/outcome"
)

// Frame types. The type of a stream's first frame determines the kind of exchange.
const (
	// Attempts, ingress to dispatcher.
	FrameAttempt   link.FrameType = 1 // AttemptHead
	FrameData      link.FrameType = 2 // bytes of a body, in either direction
	FrameEnd       link.FrameType = 3 // end of the request body; empty
	FrameAck       link.FrameType = 4 // Ack; repeated without content while the attempt is in progress
	FrameAnswer    link.FrameType = 5 // AnswerHead
	FrameAnswerEnd link.FrameType = 6 // AnswerEnd
	FrameRelay     link.FrameType = 7 // RelayHead; the attempt to relay follows
	FramePing      link.FrameType = 8 // test of a path; empty, answered with FrameDone
	// FrameContinue asks for the body of a streamed attempt, which has got a slot of its upstream. It
	// is empty.
	FrameContinue link.FrameType = 9
	// FrameNotRelayed says, in place of an Ack, that a relay has passed nothing of an attempt on; empty.
	FrameNotRelayed link.FrameType = 10

	// Configuration.
	FrameConfigWatch link.FrameType = 16 // request of package distribute; answered with a series of FrameConfigDelta
	FrameConfigDelta link.FrameType = 17 // resource.Delta in one or more parts
	FrameConfigPull  link.FrameType = 18 // request of package distribute; answered with one delta

	// Membership.
	FrameMembers link.FrameType = 24 // full membership

	// Consensus.
	FrameConsensus  link.FrameType = 32 // consensus messages of one group
	FrameMemberInfo link.FrameType = 33 // asks a control replica for its identity; empty, answered once
	// FrameControlVersion asks the leader of the control group for its confirmed version. It is empty
	// and answered with a resource.Version.
	FrameControlVersion link.FrameType = 34
	// FrameControlJoin asks the leader of the control group to add a member. It carries a
	// control.Member and is answered with a frame of the same type.
	FrameControlJoin link.FrameType = 35
	// FrameControlLeave asks the leader of the control group to take the vote of a replica that is about to
	// stop. It carries a consensus.ReplicaID and is answered with a frame of the same type.
	FrameControlLeave link.FrameType = 36

	// Idempotency groups.
	FrameGroupCall   link.FrameType = 40 // command for a group
	FrameGroupResult link.FrameType = 41 // result of a command
	// FrameGroupStatus asks a node for its replica of a group. It carries a GroupStatusRequest and is answered with
	// a GroupStatus.
	FrameGroupStatus link.FrameType = 42
)

// Header is one HTTP header field. Messages carry a list of them, which keeps the order and
// repeated fields.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// AckInterval is how often a dispatcher repeats its acknowledgement while an attempt is in
// progress.
const AckInterval = 600 * time.Millisecond

// SilenceTimeout is how long a dispatcher may send nothing for an attempt before its ingress gives the
// stream up.
const SilenceTimeout = 5 * AckInterval / 2

// AttemptHead starts an attempt.
type AttemptHead struct {
	AttemptID string `cbor:"1,keyasint"` // unique to this attempt
	RequestID string `cbor:"2,keyasint"` // shared by all attempts at a request
	Service   string `cbor:"3,keyasint"`
	Kind      string `cbor:"4,keyasint"`
	Upstream  string `cbor:"5,keyasint"` // upstream chosen by the ingress
	Caller    string `cbor:"6,keyasint"`
	Key       string `cbor:"7,keyasint,omitempty"` // Idempotency-Key, if any
	// RemainingMs is the time left until the deadline, in milliseconds. It is sent as a duration
	// because the clocks of VMs differ.
	RemainingMs int64    `cbor:"8,keyasint"`
	Method      string   `cbor:"9,keyasint"`
	Target      string   `cbor:"10,keyasint"` // path and query
	Host        string   `cbor:"11,keyasint"`
	Headers     []Header `cbor:"12,keyasint"`
	// BodyBytes is the length of the body, or -1 if it is not known, which only a streamed attempt has.
	BodyBytes int64 `cbor:"13,keyasint"`
	// Retry is set if an earlier attempt has used an upstream's capacity or was refused for lack of
	// it. Retries do not displace first attempts.
	Retry bool `cbor:"14,keyasint,omitempty"`
	// Fingerprint is a hash of the request's kind, URI and body, by which requests that crash
	// upstreams are recognised.
	Fingerprint uint64 `cbor:"15,keyasint,omitempty"`
	// Idempotent is set if running the request twice does no harm.
	Idempotent bool `cbor:"16,keyasint,omitempty"`
	// Incarnation is that of the dispatcher that has acknowledged the attempt, or 0 if none has. A
	// later incarnation does not know what the earlier one did with the attempt. It therefore does
	// not run the attempt, and does not report it as "not run" either.
	Incarnation uint64 `cbor:"17,keyasint,omitempty"`
	// Origin is the service of the VM where the request came in. It is empty if upstreams are not
	// told.
	Origin string `cbor:"18,keyasint,omitempty"`
	// Insist asks an upstream to accept the attempt even if it is busy or failing at present, since
	// others have declined it.
	Insist bool `cbor:"19,keyasint,omitempty"`
	// MayHaveRun is set if an upstream may have run the request already.
	MayHaveRun bool `cbor:"20,keyasint,omitempty"`
	// LastRun is set if no other run is allowed after this one, even if it fails: the request is not
	// idempotent, has reached its maximum number of runs, or the retry budget is used up.
	LastRun bool `cbor:"21,keyasint,omitempty"`
	// Streamed is set if the body is too large to be held. It is sent after FrameContinue, and passed
	// on to the upstream as it arrives.
	Streamed bool `cbor:"22,keyasint,omitempty"`
	// Notice is what the upstream has said of itself in the last answer that passed the ingress, if
	// that still holds. A dispatcher that has restarted learns it from here.
	Notice *UpstreamNotice `cbor:"23,keyasint,omitempty"`
	// Repeat says that an earlier attempt at the request may have arrived at an upstream, so that this
	// one counts towards the retry budget of the service. RepeatedCalls is the number of requests of
	// the service that count as well, since repeated runs made them.
	Repeat        bool `cbor:"24,keyasint,omitempty"`
	RepeatedCalls int  `cbor:"25,keyasint,omitempty"`
	// Customer is the name of the customer whose key the request had; empty: none.
	Customer string `cbor:"26,keyasint,omitempty"`
	// Parent is the run that made the request; nil if the request is not recognized as a call.
	Parent *Parent `cbor:"27,keyasint,omitempty"`
	// RetryGranted says that the dispatcher of an earlier attempt has counted this repeat in its retry budget; see
	// AnswerEnd.RetryGranted.
	RetryGranted bool `cbor:"28,keyasint,omitempty"`
	// Repeatable says that the request may run once more if this run is lost.
	Repeatable bool `cbor:"31,keyasint,omitempty"`
	// HandedBack says that a node has ended an earlier run of the request, since it had to stop. The work of that run is
	// lost unless this attempt is answered.
	HandedBack bool `cbor:"30,keyasint,omitempty"`
	// SameNode says that the request came in at the node of the dispatcher.
	SameNode bool `cbor:"29,keyasint,omitempty"`
}

// Parent is a run that makes calls, as of when a call of it is sent.
type Parent struct {
	// Level is the rank level of the run. CustomerLevel is set if that is the level of a customer,
	// which takes precedence over the level of the call's kind.
	Level         int  `cbor:"1,keyasint,omitempty"`
	CustomerLevel bool `cbor:"2,keyasint,omitempty"`
	// RemainingMs is the time left until the deadline of the run, in milliseconds. A call that would
	// end later is not run.
	RemainingMs int64 `cbor:"3,keyasint,omitempty"`
	// CompletedCalls is the number of calls that the run has completed.
	CompletedCalls int `cbor:"4,keyasint,omitempty"`
	// SpentMs is the slot time of the run so far, in milliseconds, which is lost if the call fails.
	SpentMs int64 `cbor:"5,keyasint,omitempty"`
	// Repeat says that an earlier attempt at the request of the run may have arrived at an upstream, so that its
	// calls count towards the retry budgets of their services.
	Repeat bool `cbor:"6,keyasint,omitempty"`
}

// Spent returns the slot time of the run so far.
func (p *Parent) Spent() time.Duration { return time.Duration(p.SpentMs) * time.Millisecond }

// Remaining returns the time left until the deadline of the run, as of when the message was sent.
func (p *Parent) Remaining() time.Duration { return time.Duration(p.RemainingMs) * time.Millisecond }

// UpstreamNotice is what an upstream says of itself in its answers.
type UpstreamNotice struct {
	// StartMs is the start of the upstream's process in Unix milliseconds; 0 if it reports none. A
	// notice says nothing about another process of the upstream.
	StartMs int64 `cbor:"1,keyasint,omitempty"`
	// RateLimit is how many requests per second the upstream accepts from the whole fleet. 0: no
	// limit.
	RateLimit float64 `cbor:"2,keyasint,omitempty"`
	// Leaving says that the upstream leaves and takes no new requests.
	Leaving bool `cbor:"3,keyasint,omitempty"`
}

// Ack acknowledges an attempt.
type Ack struct {
	// Incarnation is that of the dispatcher, which differs between its starts on a VM.
	Incarnation uint64 `cbor:"1,keyasint"`
	// Declined is set if the attempt is not accepted. AnswerEnd follows at once, and the ingress
	// need not send the rest of the request.
	Declined bool `cbor:"2,keyasint,omitempty"`
}

// Remaining returns the time left until the deadline, as of when the message was sent.
func (h *AttemptHead) Remaining() time.Duration {
	return time.Duration(h.RemainingMs) * time.Millisecond
}

// URL returns the URL of the request at the upstream's address. A request with it is sent with the target as it is, unless
// that begins with two slashes, which would name a host.
func (h *AttemptHead) URL(addr string) *url.URL {
	if strings.HasPrefix(h.Target, "/") && !strings.HasPrefix(h.Target, "//") {
		return &url.URL{Scheme: "http", Host: addr, Opaque: h.Target}
	}
	path, query, _ := strings.Cut(h.Target, "?")
	u := &url.URL{Scheme: "http", Host: addr, RawQuery: query}
	if unescaped, err := url.PathUnescape(path); err == nil {
		u.Path, u.RawPath = unescaped, path
	} else {
		u.Path = path
	}
	return u
}

// AnswerHead starts an answer.
type AnswerHead struct {
	RequestID string   `cbor:"1,keyasint"` // must equal that of the attempt
	Status    int      `cbor:"2,keyasint"`
	Headers   []Header `cbor:"3,keyasint"`
	// BodyBytes is the length of the body that the upstream announced, or -1 if it announced none.
	BodyBytes int64 `cbor:"4,keyasint"`
}

// MinStatus and MaxStatus bound the status of an answer. Others are outside HTTP, and interim answers are not
// passed on.
const MinStatus, MaxStatus = 200, 599

// ErrMalformedAnswer means that an answer is outside HTTP.
var ErrMalformedAnswer = errors.New("wire: malformed answer")

// ValidStatus reports whether an answer may have a status.
func ValidStatus(status int) bool { return status >= MinStatus && status <= MaxStatus }

// Check returns an error that wraps ErrMalformedAnswer if no caller may get an answer with this head.
func (h *AnswerHead) Check() error {
	if !ValidStatus(h.Status) || h.BodyBytes < -1 {
		return fmt.Errorf("%w: status %d, length %d", ErrMalformedAnswer, h.Status, h.BodyBytes)
	}
	return nil
}

// AnswerEnd ends an attempt, whether or not an answer was sent before it.
type AnswerEnd struct {
	RequestID string          `cbor:"1,keyasint"`
	Outcome   outcome.Outcome `cbor:"2,keyasint"`
	Reason    outcome.Reason  `cbor:"3,keyasint"`
	BodyBytes int64           `cbor:"4,keyasint"` // body bytes sent in data frames
	Load      Load            `cbor:"5,keyasint"`
	// Message holds details for operators. It is not shown to callers.
	Message string `cbor:"6,keyasint,omitempty"`
	// ServedMs is how long the upstream ran the attempt, in milliseconds.
	ServedMs int64 `cbor:"7,keyasint,omitempty"`
	// NoRoom names the services at which calls of recent runs of the kind on the upstream's VM have found
	// no room. It is set with attempts that have run.
	NoRoom []capacity.NoRoom `cbor:"20,keyasint,omitempty"`
	// RetryGranted says that the dispatcher has taken a retry from the budget of its upstream for the next attempt at
	// the request. The dispatcher that gets this attempt does not charge it to its own budget.
	RetryGranted bool `cbor:"21,keyasint,omitempty"`
}

// Served returns how long the upstream ran the attempt.
func (e *AnswerEnd) Served() time.Duration { return time.Duration(e.ServedMs) * time.Millisecond }

// Load is the state of an upstream, which its dispatcher reports with each answer.
type Load struct {
	SlotsInUse int `cbor:"1,keyasint"`
	Slots      int `cbor:"2,keyasint"`
	Queued     int `cbor:"3,keyasint"`
	// ShedLevel, ShedShare and Refused are the admission threshold of the upstream's queue. See
	// admission.Threshold.
	ShedLevel int                      `cbor:"4,keyasint"`
	ShedShare float64                  `cbor:"5,keyasint"`
	Refused   []admission.RefusedShare `cbor:"7,keyasint,omitempty"`
	// Ahead holds for each rank level how long a new request of that level would wait, as a number
	// of requests; see admission.Queue.TicketsAhead. The length of the queue alone does not tell,
	// since urgent requests overtake others. Ahead is empty if the queue is.
	Ahead []LevelQueue `cbor:"8,keyasint,omitempty"`
	// Suspect is set if the dispatcher considers the upstream unhealthy.
	Suspect bool `cbor:"6,keyasint,omitempty"`
	// FailingPercent is the present probability that the upstream fails a request, in percent. See
	// health.Gray.
	FailingPercent int `cbor:"9,keyasint,omitempty"`
	// Notice is what the upstream says of itself; nil if nothing.
	Notice *UpstreamNotice `cbor:"10,keyasint,omitempty"`
	// Capacity is how many requests an upstream with a rate limit runs at once; 0 without a limit.
	Capacity float64 `cbor:"11,keyasint,omitempty"`
	// RateWaitMs is the time in milliseconds until the rate limit allows a request besides those in
	// the queue.
	RateWaitMs int64 `cbor:"12,keyasint,omitempty"`
}

// LevelQueue is the wait of a new request of a rank level, as the number of requests of that level
// that the upstream would serve in that time.
type LevelQueue struct {
	Level int `cbor:"1,keyasint"`
	Ahead int `cbor:"2,keyasint"`
}

// Threshold returns the admission threshold that l carries.
func (l *Load) Threshold() admission.Threshold {
	return admission.Threshold{Level: l.ShedLevel, RefusedShare: l.ShedShare, Refused: l.Refused}
}

// RelayHead asks a node to relay the attempt that follows to another node. Relays are not chained.
type RelayHead struct {
	Addr string `cbor:"1,keyasint"` // link address of the dispatcher
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// maxElements bounds the arrays and maps in a message, since a small message could announce a huge
// array.
const maxElements = 1 << 20

func mustEncMode() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeUnixDynamic}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: 16,
		// Values of headers may have any bytes above 0x7f (obs-text in RFC 9110).
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the CBOR encoding of a message.
func Encode(message any) ([]byte, error) {
	b, err := encMode.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("wire: encode %T: %w", message, err)
	}
	return b, nil
}

// Decode decodes a payload into message, which is a pointer.
func Decode(payload []byte, message any) error {
	if err := decMode.Unmarshal(payload, message); err != nil {
		return fmt.Errorf("wire: decode %T: %w", message, err)
	}
	return nil
}

// Write sends message as one frame.
func Write(s link.Stream, t link.FrameType, message any) error {
	b, err := Encode(message)
	if err != nil {
		return err
	}
	return s.WriteFrame(t, b)
}

// UnexpectedFrameError reports a frame type that the protocol does not allow at that point.
type UnexpectedFrameError struct{ Got, Want link.FrameType }

// Error implements error.
func (e *UnexpectedFrameError) Error() string {
	return fmt.Sprintf("wire: frame type %d where %d was expected", e.Got, e.Want)
}

// Read reads one frame, which must be of type t, and decodes it into message. message may be nil
// for an empty frame.
func Read(s link.Stream, t link.FrameType, message any) error {
	f, err := s.ReadFrame()
	if err != nil {
		return err
	}
	if f.Type != t {
		return &UnexpectedFrameError{f.Type, t}
	}
	if message == nil {
		return nil
	}
	return Decode(f.Payload, message)
}

// WriteChunks sends b in as many frames of type t as it needs.
func WriteChunks(s link.Stream, t link.FrameType, b []byte) error {
	for len(b) > 0 {
		n := min(len(b), link.MaxPayload)
		if err := s.WriteFrame(t, b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
