// Package resource holds the typed resources that operators write, their
// validation, and the versioned configuration made of them. It does no I/O.
package resource

import (
	"fmt"
	"slices"
)

// Type is the name of a type of resource, as in paths of the resource API.
type Type string

// Types of resources.
const (
	TypeService Type = "services"
	TypeKind    Type = "kinds"
	TypeRank    Type = "ranks"
	TypeRoute   Type = "routes"
	TypeCaller  Type = "callers"
	TypeGroup   Type = "groups"
	TypeLimits  Type = "limits"

	TypeCustomer Type = "customers"
)

// Types lists all types in an order in which resources can be created without
// dangling references.
var Types = []Type{TypeGroup, TypeRank, TypeService, TypeKind, TypeRoute, TypeCaller, TypeLimits, TypeCustomer}

// Key identifies a resource.
type Key struct {
	Type Type   `cbor:"1,keyasint" json:"type"`
	Name string `cbor:"2,keyasint" json:"name"`
}

// String returns the key as "type/name".
func (k Key) String() string { return string(k.Type) + "/" + k.Name }

// Version orders configurations: first by epoch, which restoring the control group
// increases, then by revision, which each accepted change increases by one.
type Version struct {
	Epoch    uint64 `cbor:"1,keyasint" json:"epoch"`
	Revision uint64 `cbor:"2,keyasint" json:"revision"`
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	if v.Epoch != w.Epoch {
		return v.Epoch < w.Epoch
	}
	return v.Revision < w.Revision
}

// String returns the version as "epoch.revision".
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Revision) }

// Meta holds the fields that all resources share.
type Meta struct {
	// Name is 1 to 63 lower-case letters, digits and inner dashes.
	Name string `json:"name" validate:"required,resourcename"`
	// Generation counts the changes of this resource, from 1. Control sets it.
	Generation uint64 `json:"generation,omitempty"`
	// Revision is the revision of the configuration that last changed this
	// resource. A write names the revision it replaces, 0 to create.
	Revision uint64 `json:"revision,omitempty"`
}

// Metadata returns m itself, to be read or modified.
func (m *Meta) Metadata() *Meta { return m }

// Object is any resource. Objects in a Set or Config are never modified.
type Object interface {
	Type() Type
	Metadata() *Meta
	// Clone returns a copy that shares nothing with the object.
	Clone() Object
}

// KeyOf returns the key of o.
func KeyOf(o Object) Key { return Key{o.Type(), o.Metadata().Name} }

// Service is a group of interchangeable upstreams.
type Service struct {
	Meta
	// HomeRegion is the preferred region of its upstreams and idempotency group.
	// Empty: no preference.
	HomeRegion string `json:"homeRegion,omitempty" validate:"omitempty,resourcename"`
	// Floor is the minimum number of healthy upstreams that ejections must leave
	// in service.
	Floor int `json:"floor" validate:"min=1,max=10000"`
	// Group names the idempotency group that holds the service's claims and
	// ejection permits. The control group sets it when the service is created
	// and it never changes, since claims do not move between groups. Empty:
	// requests that need a claim are refused.
	Group string `json:"group,omitempty" validate:"omitempty,resourcename"`
	// HealthPath is the path of the upstreams' health endpoint. Empty: none is
	// known.
	HealthPath string `json:"healthPath,omitempty" validate:"omitempty,startswith=/"`
	// MaxConnections is how many connections each upstream accepts. 0: what it
	// announces.
	MaxConnections int `json:"maxConnections,omitempty" validate:"min=0,max=100000"`
	// Protocol and TLS are the upstreams' protocol as stated in the configuration. They are
	// only recorded: nodes always use HTTP/1.1 without TLS.
	Protocol string `json:"protocol,omitempty" validate:"max=32"`
	TLS      bool   `json:"tls,omitempty"`
}

// Type implements Object.
func (*Service) Type() Type { return TypeService }

// Clone implements Object.
func (s *Service) Clone() Object { c := *s; return &c }

// RequestKind is one kind of request that a service handles.
type RequestKind struct {
	Meta
	Service string `json:"service" validate:"required,resourcename"`
	// Method is an HTTP method, or "*" for any.
	Method string `json:"method" validate:"required,httpmethod"`
	// Path is an exact path, or a prefix if it ends in "*". An exact path wins
	// over a prefix and a longer prefix over a shorter one.
	Path string `json:"path" validate:"required,pathpattern"`
	// Idempotent says that the request may safely run more than once.
	Idempotent bool `json:"idempotent"`
	// Rank names the rank of the kind's requests.
	Rank string `json:"rank" validate:"required,resourcename"`
	// DeadlineMs is the longest time a request may take, in milliseconds.
	DeadlineMs int64 `json:"deadlineMs" validate:"min=1,max=600000"`
	// LatencyObjectiveMs is the latency, in milliseconds, that the share of requests in
	// AvailabilityObjective should not exceed.
	LatencyObjectiveMs int64 `json:"latencyObjectiveMs" validate:"min=1,max=600000"`
	// AvailabilityObjective is the share of requests to be answered within the
	// latency objective, for instance 0.999.
	AvailabilityObjective float64 `json:"availabilityObjective" validate:"gt=0,lt=1"`
	// AnswerBytes is the typical size of an answer, in bytes. It limits how many
	// requests may go to other regions. 0: not known.
	AnswerBytes int64 `json:"answerBytes,omitempty" validate:"min=0"`
	// MaxAttempts is the number of upstreams that may run one request. 0: the
	// default of package retry.
	MaxAttempts int `json:"maxAttempts,omitempty" validate:"min=0,max=16"`
}

// Type implements Object.
func (*RequestKind) Type() Type { return TypeKind }

// Clone implements Object.
func (k *RequestKind) Clone() Object { c := *k; return &c }

const (
	// maxDefaultShare lets the least urgent requests make progress without taking much capacity from the
	// others, and maxDefaultShares leaves the most urgent ones some capacity beyond all shares.
	maxDefaultShare  = 0.1
	maxDefaultShares = 0.9
)

// DefaultRankShare returns the share of each of a number of ranks from a configuration format that has no
// shares.
func DefaultRankShare(ranks int) float64 {
	return min(maxDefaultShare, maxDefaultShares/float64(max(ranks, 1)))
}

// Rank is a priority class of requests.
type Rank struct {
	Meta
	// Level orders ranks: 0 is the most urgent.
	Level int `json:"level" validate:"min=0,max=31"`
	// Share is the fraction of an upstream's capacity that the rank is guaranteed during an
	// overload by more urgent ranks, from 0 to 1. The shares of all ranks add up to at most 1.
	Share float64 `json:"share" validate:"min=0,max=1"`
}

// Type implements Object.
func (*Rank) Type() Type { return TypeRank }

// Clone implements Object.
func (r *Rank) Clone() Object { c := *r; return &c }

// Route maps a host and path prefix to a service, or to several by weight.
type Route struct {
	Meta
	// Label is the name of the route in the source of the configuration.
	Label string `json:"label,omitempty" validate:"max=253"`
	// Host is matched without port, in lower case; "*" matches any.
	Host string `json:"host" validate:"required,max=253"`
	// PathPrefix starts with "/". The longest prefix wins.
	PathPrefix string `json:"pathPrefix" validate:"required,startswith=/"`
	// Service is where requests go, unless Split is set.
	Service string `json:"service,omitempty" validate:"required_without=Split,excluded_with=Split,omitempty,resourcename"`
	// Split spreads requests over services by weight.
	Split []WeightedService `json:"split,omitempty" validate:"omitempty,max=64,positivesum,dive"`
	// Public says that requests need no key of a customer.
	Public bool `json:"public,omitempty"`
	// PublicWritten says that a document of the platform has the field although it is false.
	PublicWritten bool `cbor:"publicWritten,omitempty" json:"-"`
	// Policy defines one request kind for all requests of the route, regardless of method
	// and path. Nil: the request kinds of the service apply.
	Policy *RoutePolicy `json:"policy,omitempty"`
}

// WeightedService is one service of a split route.
type WeightedService struct {
	Service string `json:"service" validate:"required,resourcename"`
	// Weight is the service's share of requests, relative to the sum of all weights.
	Weight int `json:"weight" validate:"min=0,max=1000000"`
}

// RoutePolicy defines the request kind of a route; see RequestKind for the fields.
type RoutePolicy struct {
	Idempotent         bool   `json:"idempotent"`
	Rank               string `json:"rank" validate:"required,resourcename"`
	DeadlineMs         int64  `json:"deadlineMs" validate:"min=1,max=600000"`
	LatencyObjectiveMs int64  `json:"latencyObjectiveMs" validate:"min=0,max=600000"`
	MaxAttempts        int    `json:"maxAttempts,omitempty" validate:"min=0,max=16"`
	// LargeBodies says that requests carry large bodies, such as files. Idempotent must not be set:
	// such a body is not kept for another run.
	LargeBodies bool `json:"largeBodies,omitempty" validate:"excluded_if=Idempotent true"`
	// LargeAnswers says that answers are large, such as files. Callers may read them slowly.
	LargeAnswers bool `json:"largeAnswers,omitempty"`
}

// Type implements Object.
func (*Route) Type() Type { return TypeRoute }

// Clone implements Object.
func (r *Route) Clone() Object {
	c := *r
	c.Split = slices.Clone(r.Split)
	if r.Policy != nil {
		policy := *r.Policy
		c.Policy = &policy
	}
	return &c
}

// ChooseService returns the service for a request. point is a random number, uniform in [0, 1).
func (r *Route) ChooseService(point float64) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0
	for _, w := range r.Split {
		total += w.Weight
	}
	remaining := point * float64(total)
	last := ""
	for _, w := range r.Split {
		if w.Weight <= 0 {
			continue
		}
		last = w.Service
		if remaining -= float64(w.Weight); remaining < 0 {
			break
		}
	}
	return last
}

// policyKind returns the request kind that r.Policy, which must not be nil, defines.
func (r *Route) policyKind() *RequestKind {
	p := r.Policy
	return &RequestKind{
		Meta: Meta{Name: policyKindPrefix + r.Name}, Method: "*", Path: r.PathPrefix + "*",
		Idempotent: p.Idempotent, Rank: p.Rank, DeadlineMs: p.DeadlineMs,
		LatencyObjectiveMs: p.LatencyObjectiveMs, MaxAttempts: p.MaxAttempts,
	}
}

// policyKindPrefix is the prefix of the names of request kinds that route policies define.
// It cannot collide with other kinds because valid names have no slash.
const policyKindPrefix = "route/"

// Limits bounds the size of callers' requests, holds the timeouts for their headers and for idle connections, and
// says whether requests need a key. There is only one object of this type, named LimitsName.
type Limits struct {
	Meta
	MaxHeaderBytes  int64 `json:"maxHeaderBytes" validate:"min=0"`
	MaxBodyBytes    int64 `json:"maxBodyBytes" validate:"min=0"`
	HeaderTimeoutMs int64 `json:"headerTimeoutMs" validate:"min=0"`
	IdleTimeoutMs   int64 `json:"idleTimeoutMs" validate:"min=0"`
	// KeysRequired says whether requests need the key of a customer while there are no customers. Nil: control
	// refuses to delete the last one, and before the first one requests need no key.
	KeysRequired *bool `json:"keysRequired,omitempty"`
}

// LimitsName is the name of the Limits object.
const LimitsName = "callers"

// Type implements Object.
func (*Limits) Type() Type { return TypeLimits }

// Clone implements Object.
func (l *Limits) Clone() Object {
	c := *l
	if l.KeysRequired != nil {
		required := *l.KeysRequired
		c.KeysRequired = &required
	}
	return &c
}

// Caller is a known sender of requests, named in the Godwithub-Caller header.
type Caller struct {
	Meta
	// Weight is its share of a rank's capacity under contention, relative to other callers.
	Weight int `json:"weight" validate:"min=1,max=1000"`
	// RatePerSecond limits its requests at each node. 0: no limit.
	RatePerSecond float64 `json:"ratePerSecond,omitempty" validate:"min=0"`
	// Burst is how many requests it may send at once, within RatePerSecond on average.
	Burst int `json:"burst,omitempty" validate:"min=0"`
}

// Type implements Object.
func (*Caller) Type() Type { return TypeCaller }

// Clone implements Object.
func (c *Caller) Clone() Object { d := *c; return &d }

// Group is an idempotency group: a set of replicas on nodes, which hold claims and
// ejection permits in memory.
type Group struct {
	Meta
	// HomeRegion is the region of the majority of its replicas.
	HomeRegion string `json:"homeRegion" validate:"required,resourcename"`
	// Epoch increases when the group is replaced after the loss of a majority.
	Epoch uint64 `json:"epoch" validate:"min=1"`
	// Founders are the initial voters of the epoch. They do not change within an epoch, even
	// if founders are replaced, so that a node that starts late bootstraps the same group as
	// the others. Empty: the members in the first generation of the resource that are not
	// joining.
	Founders []uint64 `json:"founders,omitempty" validate:"max=5"`
	// Members are the replicas that bootstrap the group or join it. At most 5 vote.
	Members []GroupMember `json:"members" validate:"max=7,dive"`
	// Replaced are the members of this epoch that others have replaced since control last knew that Members are the
	// voters. They may still vote.
	Replaced []GroupMember `json:"replaced,omitempty" validate:"max=64,dive"`
}

// GroupMember is one replica of a group.
type GroupMember struct {
	// Replica is the replica's number. It is never reused in the group: a node that lost
	// the replica's state gets a new number.
	Replica uint64 `json:"replica" validate:"min=1"`
	Node    string `json:"node" validate:"required"`
	// Incarnation is the node's incarnation when the replica was assigned to it. A later
	// incarnation has lost the replica's state, which is only in memory.
	Incarnation uint64 `json:"incarnation"`
	// Joining marks a replica that does not vote until the group has promoted it.
	Joining bool `json:"joining,omitempty"`
}

// Type implements Object.
func (*Group) Type() Type { return TypeGroup }

// Clone implements Object.
func (g *Group) Clone() Object {
	c := *g
	c.Founders = slices.Clone(g.Founders)
	c.Members, c.Replaced = slices.Clone(g.Members), slices.Clone(g.Replaced)
	return &c
}

// New returns an empty object of type t, or nil if there is no such type.
func New(t Type) Object {
	switch t {
	case TypeService:
		return &Service{}
	case TypeKind:
		return &RequestKind{}
	case TypeRank:
		return &Rank{}
	case TypeRoute:
		return &Route{}
	case TypeCaller:
		return &Caller{}
	case TypeGroup:
		return &Group{}
	case TypeLimits:
		return &Limits{}
	case TypeCustomer:
		return &Customer{}
	}
	return nil
}
