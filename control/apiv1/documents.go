// Package apiv1 defines the JSON documents of the resource API, for the server and for clients.
// docs/api.md describes the API.
package apiv1

import (
	"fmt"
	"strings"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/resource"
)

// HeaderChangeID is the header of requests and answers that carries the change id of a write.
const HeaderChangeID = "Godwithub-Change-Id"

// Limits of the API.
const (
	DefaultPageSize = 100
	MaxPageSize     = 1000
	// MaxBodyBytes bounds the body of a request other than a restore.
	MaxBodyBytes = 8 << 20
	// MaxSnapshotBytes bounds the body of a restore, which is replicated as one command of the
	// log.
	MaxSnapshotBytes = 64<<20 - 64<<10
)

// ErrorCode is the kind of an error, for programs.
type ErrorCode string

// Codes of errors, with the HTTP status of their answers.
const (
	CodeBadRequest     ErrorCode = "bad-request"      // 400
	CodeUnauthorized   ErrorCode = "unauthorized"     // 401
	CodeForbidden      ErrorCode = "forbidden"        // 403
	CodeNotFound       ErrorCode = "not-found"        // 404
	CodeConflict       ErrorCode = "conflict"         // 409
	CodeChangeIDReused ErrorCode = "change-id-reused" // 409
	CodeTooLarge       ErrorCode = "too-large"        // 413
	CodeInvalid        ErrorCode = "invalid"          // 422
	CodeInternal       ErrorCode = "internal"         // 500
	CodeNoLeader       ErrorCode = "no-leader"        // 503
	CodeUnavailable    ErrorCode = "unavailable"      // 503, the request was not carried out; nothing was changed
	CodeUnknownResult  ErrorCode = "unknown-result"   // 503, a write that may still be applied
)

// Error is the body of each answer with a status of 400 or above.
type Error struct {
	// Status is the HTTP status, which is not part of the body.
	Status    int                   `json:"-"`
	Code      ErrorCode             `json:"code"`
	Message   string                `json:"message"`
	Faults    []resource.FieldError `json:"faults,omitempty"`
	Conflicts []Conflict            `json:"conflicts,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", e.Code, e.Message)
	for _, f := range e.Faults {
		fmt.Fprintf(&b, "\n  %s", f.Error())
	}
	for _, c := range e.Conflicts {
		fmt.Fprintf(&b, "\n  %s", c)
	}
	return b.String()
}

// Conflict is a write whose named revision is not the current one.
type Conflict struct {
	Key      resource.Key `json:"key"`
	Revision uint64       `json:"revision"` // named by the write
	// Current is the current object, or null if there is none.
	Current *Resource `json:"current"`
}

// String returns a description of one line.
func (c Conflict) String() string {
	if c.Current == nil {
		return fmt.Sprintf("%s: does not exist, the write names revision %d", c.Key, c.Revision)
	}
	return fmt.Sprintf("%s: is at revision %d, the write names revision %d", c.Key, c.Current.Metadata().Revision, c.Revision)
}

// List is one page of the objects of a type, sorted by name.
type List struct {
	Version resource.Version `json:"version"`
	Items   []Resource       `json:"items"`
	// Continue is the token to request the next page with; empty on the last page.
	Continue string `json:"continue,omitempty"`
}

// WriteOp is the operation of a write.
type WriteOp string

// Operations of writes.
const (
	OpPut    WriteOp = "put"
	OpDelete WriteOp = "delete"
)

// Write is one write of a batch.
type Write struct {
	Op WriteOp `json:"op"`
	// Object is the object to put, with the revision that it replaces. Set for OpPut only.
	Object *Resource `json:"object,omitempty"`
	// Key and Revision identify the object to delete. Set for OpDelete only.
	Key      *resource.Key `json:"key,omitempty"`
	Revision uint64        `json:"revision,omitempty"`
}

// ApplyRequest is a batch of writes that are applied all or none.
type ApplyRequest struct {
	Writes []Write `json:"writes"`
}

// Applied is the answer to an accepted write or batch.
type Applied struct {
	Version resource.Version `json:"version"`
	// DryRun means that the writes were checked but not applied.
	DryRun  bool           `json:"dryRun,omitempty"`
	Objects []Resource     `json:"objects,omitempty"` // as written
	Deleted []resource.Key `json:"deleted,omitempty"`
}

// EventType is the type of an event.
type EventType string

// Types of events.
const (
	// EventReset tells the client to discard its state, because the full state follows.
	EventReset  EventType = "reset"
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
	// EventVersion follows all changes up to its version, from which a watch can be resumed.
	EventVersion   EventType = "version"
	EventReached   EventType = "reached"
	EventHeartbeat EventType = "heartbeat"
)

// Event is one event of a watch, sent as one line of JSON. The comment at each field lists the types
// of events that have it.
type Event struct {
	Type    EventType         `json:"type"`
	Object  *Resource         `json:"object,omitempty"`  // put
	Key     *resource.Key     `json:"key,omitempty"`     // delete
	Version *resource.Version `json:"version,omitempty"` // version, reset and heartbeat
	Nodes   *NodeVersions     `json:"nodes,omitempty"`   // reached
}

// NodeVersions summarizes which versions of the configuration are in force at the nodes.
type NodeVersions struct {
	// Known is false if this control process does not know the nodes; the other fields are then
	// empty.
	Known bool `json:"known"`
	// Total is the number of nodes in fleet membership, without dead ones.
	Total int `json:"total"`
	// Reached is the number of nodes at the current version or above.
	Reached   int            `json:"reached"`
	ByVersion []VersionCount `json:"byVersion,omitempty"` // newest version first
	Laggards  []NodeVersion  `json:"laggards,omitempty"`  // below the current version, oldest first, up to MaxLaggards
}

// MaxLaggards bounds the length of NodeVersions.Laggards.
const MaxLaggards = 100

// VersionCount is the number of nodes at a version.
type VersionCount struct {
	Version resource.Version `json:"version"`
	Nodes   int              `json:"nodes"`
}

// NodeVersion is a node with the version of the configuration in force there.
type NodeVersion struct {
	Node          string           `json:"node"`
	Region        string           `json:"region,omitempty"`
	FailureDomain string           `json:"failureDomain,omitempty"`
	State         string           `json:"state,omitempty"`
	Version       resource.Version `json:"version"`
}

// Count is the number of objects of a type.
type Count struct {
	Type  resource.Type `json:"type"`
	Count int           `json:"count"`
}

// Status describes the configuration and which nodes have it.
type Status struct {
	Version resource.Version `json:"version"`
	Leader  string           `json:"leader"`
	Objects []Count          `json:"objects"`
	Nodes   NodeVersions     `json:"nodes"`
}

// Member is a member of the control group.
type Member struct {
	ID       string `json:"id"`
	LinkAddr string `json:"linkAddr"`
	APIAddr  string `json:"apiAddr"`
	Voter    bool   `json:"voter"`
	Leader   bool   `json:"leader,omitempty"` // set in answers; ignored in requests
}

// Members lists the members of the control group.
type Members struct {
	Members []Member `json:"members"`
}

// RaiseEpoch is a request to raise the epoch of the configuration.
type RaiseEpoch struct {
	Epoch uint64 `json:"epoch"`
}

// ParseVersion parses a version of the form "epoch.revision".
func ParseVersion(s string) (resource.Version, error) {
	var v resource.Version
	if _, err := fmt.Sscanf(s, "%d.%d", &v.Epoch, &v.Revision); err != nil || v.String() != s {
		return resource.Version{}, fmt.Errorf("apiv1: %q is not a version of the form epoch.revision", s)
	}
	return v, nil
}

// Fleet is the answer to GET /v1/fleet.
type Fleet struct {
	// Nodes holds the nodes in fleet membership, without control VMs.
	Nodes []fleet.Node `json:"nodes"`
}
