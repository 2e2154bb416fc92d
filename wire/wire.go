// Package wire defines the messages that the system's processes exchange over
// links: their frame types and their CBOR payloads.
package wire

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithub/godwithub/admission"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/outcome"
)

// Frame types. The first frame of a stream tells what the exchange is about.
const (
	// Attempts, ingress to dispatcher.
	FrameAttempt   link.FrameType = 1 // AttemptHead
	FrameData      link.FrameType = 2 // bytes of a body, in either direction
	FrameEnd       link.FrameType = 3 // end of the request body; empty
	FrameAck       link.FrameType = 4 // Ack: dispatcher has the attempt; repeated without content while it goes on
	FrameAnswer    link.FrameType = 5 // AnswerHead
	FrameAnswerEnd link.FrameType = 6 // AnswerEnd
	FrameRelay     link.FrameType = 7 // RelayHead; then an attempt to pass on
	FramePing      link.FrameType = 8 // test of a path, answered by FrameDone; empty

	// Configuration.
	FrameConfigWatch link.FrameType = 16 // ConfigWatch
	FrameConfigDelta link.FrameType = 17 // resource.Delta in one or more parts
	FrameConfigPull  link.FrameType = 18 // ConfigWatch, answered once

	// Membership.
	FrameMembers link.FrameType = 24 // full membership

	// Consensus.
	FrameConsensus  link.FrameType = 32 // consensus messages of one group
	FrameMemberInfo link.FrameType = 33 // identity of a control replica; empty, answered once
	// FrameControlVersion asks the leader of the control group for its confirmed
	// version; empty, answered with a resource.Version.
	FrameControlVersion link.FrameType = 34
	// FrameControlJoin asks the leader of the control group to take a member
	// in; a control.Member, answered in a frame of the same type.
	FrameControlJoin link.FrameType = 35

	// Idempotency groups.
	FrameGroupCall   link.FrameType = 40 // command for a group
	FrameGroupResult link.FrameType = 41 // its result
)

// Header is one HTTP header field. A list keeps order and repeated fields.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// AckInterval is the time between acknowledgements of an attempt that goes on.
const AckInterval = 600 * time.Millisecond

// AttemptHead opens an attempt.
type AttemptHead struct {
	AttemptID string `cbor:"1,keyasint"` // unique to this attempt
	RequestID string `cbor:"2,keyasint"` // shared by all attempts at a request
	Service   string `cbor:"3,keyasint"`
	Kind      string `cbor:"4,keyasint"`
	Upstream  string `cbor:"5,keyasint"` // upstream chosen by the ingress
	Caller    string `cbor:"6,keyasint"`
	Key       string `cbor:"7,keyasint,omitempty"` // Idempotency-Key, if any
	// RemainingMs is the time left to the deadline, in milliseconds. A duration
	// travels because the clocks of VMs differ.
	RemainingMs int64    `cbor:"8,keyasint"`
	Method      string   `cbor:"9,keyasint"`
	Target      string   `cbor:"10,keyasint"` // path and query
	Host        string   `cbor:"11,keyasint"`
	Headers     []Header `cbor:"12,keyasint"`
	BodyBytes   int64    `cbor:"13,keyasint"`
	// Retry says that an earlier attempt at the request was made. Retries do
	// not displace first attempts.
	Retry bool `cbor:"14,keyasint,omitempty"`
	// Fingerprint is a hash of kind and body, to recognise requests that crash
	// upstreams.
	Fingerprint uint64 `cbor:"15,keyasint,omitempty"`
	// Idempotent says that running the request twice does no harm.
	Idempotent bool `cbor:"16,keyasint,omitempty"`
	// Lifetime is that of the dispatcher which has acknowledged the attempt, or
	// 0 if none has. A dispatcher of another lifetime knows nothing of what its
	// predecessor did with the attempt, so it neither runs it nor calls it "not
	// run".
	Lifetime uint64 `cbor:"17,keyasint,omitempty"`
	// Origin is the service of the VM where the request came in, if the
	// upstreams are told.
	Origin string `cbor:"18,keyasint,omitempty"`
	// Insist asks an upstream that is busy, or fails its work at present, to
	// take the attempt all the same, since others have declined it.
	Insist bool `cbor:"19,keyasint,omitempty"`
	// Repeat says that an upstream may have run the request already.
	Repeat bool `cbor:"20,keyasint,omitempty"`
	// LastRun says that no other run follows if this one fails: the request is
	// not idempotent, has had its runs, or the retry budget is used up.
	LastRun bool `cbor:"21,keyasint,omitempty"`
}

// Ack acknowledges an attempt.
type Ack struct {
	// Lifetime identifies the process of the dispatcher among those that have
	// run on its VM.
	Lifetime uint64 `cbor:"1,keyasint"`
	// Declined says that the attempt is not taken. AnswerEnd follows at once,
	// and a body that has not been sent yet is not expected.
	Declined bool `cbor:"2,keyasint,omitempty"`
}

// Remaining returns the time left to the deadline.
func (h *AttemptHead) Remaining() time.Duration {
	return time.Duration(h.RemainingMs) * time.Millisecond
}

// URL returns the URL of the request at the upstream's address.
func (h *AttemptHead) URL(addr string) *url.URL {
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
	// BodyBytes is the length that the upstream announced, or -1.
	BodyBytes int64 `cbor:"4,keyasint"`
}

// AnswerEnd ends an attempt, with or without an answer before it.
type AnswerEnd struct {
	RequestID string          `cbor:"1,keyasint"`
	Outcome   outcome.Outcome `cbor:"2,keyasint"`
	Reason    outcome.Reason  `cbor:"3,keyasint"`
	BodyBytes int64           `cbor:"4,keyasint"` // body bytes sent in data frames
	Load      Load            `cbor:"5,keyasint"`
	// Message is a detail for operators, never shown to callers.
	Message string `cbor:"6,keyasint,omitempty"`
	// ServedMs is how long the upstream worked on the attempt, in milliseconds.
	ServedMs int64 `cbor:"7,keyasint,omitempty"`
}

// Served returns how long the upstream worked on the attempt.
func (e *AnswerEnd) Served() time.Duration { return time.Duration(e.ServedMs) * time.Millisecond }

// Load is what a dispatcher says of the upstream with each answer.
type Load struct {
	SlotsInUse int `cbor:"1,keyasint"`
	Slots      int `cbor:"2,keyasint"`
	Queued     int `cbor:"3,keyasint"`
	// ShedLevel, ShedShare and Refused are the admission threshold of the
	// upstream's queue, see admission.Threshold.
	ShedLevel int                      `cbor:"4,keyasint"`
	ShedShare float64                  `cbor:"5,keyasint"`
	Refused   []admission.RefusedShare `cbor:"7,keyasint,omitempty"`
	// Ahead holds, by level, how many requests wait ahead of one of that level.
	// The length of the queue says little about one rank: an urgent one passes
	// the others. Empty: nothing waits.
	Ahead []LevelQueue `cbor:"8,keyasint,omitempty"`
	// Suspect says that the dispatcher holds the upstream for unhealthy.
	Suspect bool `cbor:"6,keyasint,omitempty"`
	// FailingPercent is the probability that the upstream fails its work at
	// present, in percent; see health.Gray.
	FailingPercent int `cbor:"9,keyasint,omitempty"`
}

// LevelQueue is the queue ahead of one rank level.
type LevelQueue struct {
	Level int `cbor:"1,keyasint"`
	Ahead int `cbor:"2,keyasint"`
}

// Threshold returns the admission threshold in l.
func (l *Load) Threshold() admission.Threshold {
	return admission.Threshold{Level: l.ShedLevel, Share: l.ShedShare, Refused: l.Refused}
}

// RelayHead asks a node to pass the attempt that follows on to another node.
// A node does not relay to a further relay.
type RelayHead struct {
	Addr string `cbor:"1,keyasint"` // link address of the dispatcher
}

var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

// maxElements bounds arrays and maps in a message, against small messages that
// announce huge ones.
const maxElements = 1 << 20

func mustEncoding() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeUnixDynamic}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecoding() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the CBOR encoding of a message.
func Encode(message any) ([]byte, error) {
	b, err := encoding.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("wire: encode %T: %w", message, err)
	}
	return b, nil
}

// Decode decodes a payload into message, a pointer.
func Decode(payload []byte, message any) error {
	if err := decoding.Unmarshal(payload, message); err != nil {
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

// UnexpectedFrameError reports a frame that the protocol does not allow at
// that point.
type UnexpectedFrameError struct{ Got, Want link.FrameType }

// Error implements error.
func (e *UnexpectedFrameError) Error() string {
	return fmt.Sprintf("wire: frame type %d where %d was expected", e.Got, e.Want)
}

// Read reads one frame of type t and decodes it into message. message may be
// nil for an empty frame.
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

// WriteChunks sends b in frames of type t that each fit a frame.
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
