package control

import (
	"crypto/sha256"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithub/godwithub/resource"
)

// Op is the operation of a command.
type Op uint8

// Operations of commands.
const (
	OpWrite        Op = 1 // puts and deletes of resources, applied all or none
	OpPutMember    Op = 2 // adds or updates a member of the control group
	OpRemoveMember Op = 3 // removes a member of the control group
	OpRaiseEpoch   Op = 4 // raises the epoch of the configuration
	OpRestore      Op = 5 // replaces the configuration by that of a snapshot, under a higher epoch
	OpReplace      Op = 6 // puts a Document in force over the version it is based on
)

// Limits of commands.
const (
	// MaxWrites bounds the writes of one command, so that one batch blocks the log for a few
	// hundred milliseconds at most.
	MaxWrites = 10_000
	// maxDocumentWrites bounds the writes of a Document, which takes effect as a whole. The first one at the
	// target scale has 53,000 customers.
	maxDocumentWrites = 100_000
	// MaxChangeIDBytes bounds the length of a change id.
	MaxChangeIDBytes = 128
)

// Write is one put or delete.
type Write struct {
	Key resource.Key `cbor:"1,keyasint"`
	// Revision is the expected current revision of the object to replace or delete; 0 creates it.
	Revision uint64 `cbor:"2,keyasint"`
	Delete   bool   `cbor:"3,keyasint,omitempty"`
	// Body is the CBOR encoding of the object; empty for a delete.
	Body cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	// KeepKeys puts a customer with the keys that it has now.
	KeepKeys bool `cbor:"5,keyasint,omitempty"`
}

// Member is a member of the control group with its addresses.
type Member struct {
	ID       string `cbor:"1,keyasint" json:"id"`
	LinkAddr string `cbor:"2,keyasint" json:"linkAddr"` // IP:port for streams between members
	APIAddr  string `cbor:"3,keyasint" json:"apiAddr"`  // host:port of the resource API
	Voter    bool   `cbor:"4,keyasint" json:"voter"`
}

// Command is one entry of the replicated log.
type Command struct {
	Op Op `cbor:"1,keyasint"`
	// ChangeID makes the command idempotent: a resend returns the first result. The result of a
	// command without a change id is not remembered.
	ChangeID string `cbor:"2,keyasint,omitempty"`
	// At is the proposer's time in Unix seconds. Replicas use it instead of their own clocks, so
	// that all of them expire the same change ids.
	At     int64   `cbor:"3,keyasint"`
	Writes []Write `cbor:"4,keyasint,omitempty"`
	Member Member  `cbor:"5,keyasint,omitempty"`
	Epoch  uint64  `cbor:"6,keyasint,omitempty"`
	// Snapshot is the snapshot to restore, for OpRestore.
	Snapshot []byte `cbor:"7,keyasint,omitempty"`
	// Replace holds the versions to check, for OpReplace.
	Replace *ReplaceVersions `cbor:"8,keyasint,omitempty"`
}

// Code is the outcome of a command.
type Code string

// Codes of results.
const (
	CodeOK             Code = "ok"
	CodeConflict       Code = "conflict"         // a named revision is not the current one
	CodeInvalid        Code = "invalid"          // faults in fields or references
	CodeMalformed      Code = "malformed"        // the command cannot be decoded
	CodeChangeIDReused Code = "change-id-reused" // the change id belongs to another change
	CodeStale          Code = "stale"            // the writes were computed against an earlier configuration
)

// Conflict is one write whose named revision is not the current one.
type Conflict struct {
	Key      resource.Key `cbor:"1,keyasint"`
	Revision uint64       `cbor:"2,keyasint"` // revision that the write named
	// Current is the object as it is now, or nil if there is none.
	Current *resource.Envelope `cbor:"3,keyasint,omitempty"`
}

// SystemFields holds the fields that the system set on one written object. The object's revision is
// that of the result's version.
type SystemFields struct {
	Generation uint64 `cbor:"1,keyasint"`
	Group      string `cbor:"2,keyasint,omitempty"` // group of a service
}

// Result is the result of a command. A command that is not CodeOK changed nothing.
type Result struct {
	Code Code `cbor:"1,keyasint"`
	// Version is the version of the configuration after the command.
	Version resource.Version `cbor:"2,keyasint"`
	// SystemFields has one entry per write, in the order of the command.
	SystemFields []SystemFields        `cbor:"3,keyasint,omitempty"`
	Conflicts    []Conflict            `cbor:"4,keyasint,omitempty"`
	Faults       []resource.FieldError `cbor:"5,keyasint,omitempty"`
	// Message is the reason for a refusal that has neither conflicts nor faults.
	Message string `cbor:"6,keyasint,omitempty"`
}

// maxElements bounds the decoded arrays and maps of commands and snapshots. A snapshot at the target
// scale holds about 56,000 objects.
const maxElements = 1 << 22

var encMode, decMode = mustCBORModes()

func mustCBORModes() (cbor.EncMode, cbor.DecMode) {
	// Sort map keys so that all replicas encode equal states to equal bytes.
	enc, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic}.EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

// Encode returns the CBOR encoding of c.
func (c *Command) Encode() ([]byte, error) {
	b, err := encMode.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("control: encode command: %w", err)
	}
	return b, nil
}

// DecodeResult decodes the return value of Machine.Apply.
func DecodeResult(b []byte) (*Result, error) {
	r := &Result{}
	if err := decMode.Unmarshal(b, r); err != nil {
		return nil, fmt.Errorf("control: decode result: %w", err)
	}
	return r, nil
}

// PutWrite returns the write that puts o over revision o.Metadata().Revision.
func PutWrite(o resource.Object) (Write, error) {
	body, err := encMode.Marshal(o)
	if err != nil {
		return Write{}, fmt.Errorf("control: encode %s: %w", resource.KeyOf(o), err)
	}
	return Write{Key: resource.KeyOf(o), Revision: o.Metadata().Revision, Body: body}, nil
}

// digest returns a hash of what c changes. It leaves out At, which differs between resends.
func (c *Command) digest() ([sha256.Size]byte, error) {
	if c.Op == OpReplace {
		return replaceDigest(c.ChangeID), nil
	}
	content := *c
	content.At = 0
	b, err := encMode.Marshal(&content)
	if err != nil {
		return [sha256.Size]byte{}, fmt.Errorf("control: encode command: %w", err)
	}
	return sha256.Sum256(b), nil
}

func envelope(o resource.Object) (*resource.Envelope, error) {
	body, err := encMode.Marshal(o)
	if err != nil {
		return nil, fmt.Errorf("control: encode %s: %w", resource.KeyOf(o), err)
	}
	return &resource.Envelope{Type: o.Type(), Body: body}, nil
}
