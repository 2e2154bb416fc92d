package explain

// Route says where a node would send a request now, and why. The request is not sent.
type Route struct {
	Node          string `json:"node"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	Config        string `json:"config"` // version, or empty before the first one
	// ConfigCurrent says that the configuration is known to be current, as requests with keys need it.
	ConfigCurrent bool   `json:"configCurrent"`
	Route         string `json:"route,omitempty"`
	NeedsKey      bool   `json:"needsKey"`
	// Customer is the one that was asked for. It is nil if there is none of that name or the route needs no key.
	Customer *Customer `json:"customer,omitempty"`
	// Refusals are those of requests that get no part of the route.
	Refusals []Refusal `json:"refusals,omitempty"`
	// Parts holds the services that the route spreads requests over.
	Parts []RoutePart `json:"parts"`
}

// Customer is a customer with its quota over all nodes.
type Customer struct {
	Name          string  `json:"name"`
	HasQuota      bool    `json:"hasQuota"`
	RatePerSecond float64 `json:"ratePerSecond,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
}

// RoutePart is a service of a route.
type RoutePart struct {
	Service            string `json:"service"`
	Weight             int    `json:"weight"` // relative to those of the other parts
	Kind               string `json:"kind,omitempty"`
	Idempotent         bool   `json:"idempotent"`
	DeadlineMs         int64  `json:"deadlineMs,omitempty"`
	LatencyObjectiveMs int64  `json:"latencyObjectiveMs,omitempty"`
	Level              int    `json:"level"`
	LevelFrom          string `json:"levelFrom,omitempty"` // "customer NAME", "rank NAME" or "default"
	// Refusals are in the order in which the ingress checks them.
	Refusals   []Refusal   `json:"refusals,omitempty"`
	Candidates []Candidate `json:"candidates"` // in the order of their tiers
}

// Refusal is a reason for which the ingress would refuse the request.
type Refusal struct {
	Reason  string `json:"reason"`
	Message string `json:"message"`
	Status  int    `json:"status"`
	// Share is the share of such requests that are refused, above 0 and up to 1.
	Share float64 `json:"share"`
	// RetryAfterMs is the mean of the times after which callers may return; 0: they are told none.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// Candidate is an upstream as the ingress knows it.
type Candidate struct {
	Upstream      string `json:"upstream"`
	Node          string `json:"node"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	Slots         int    `json:"slots"`
	// InUse and Queued are those that the ingress counts with. After a report that is too old, these are
	// its own attempts in flight and 0.
	InUse  int `json:"inUse"`
	Queued int `json:"queued"`
	// ReportAgeMs is the age of the last report; nil: there was none.
	ReportAgeMs *int64 `json:"reportAgeMs,omitempty"`
	ReportUsed  bool   `json:"reportUsed"` // not too old
	// Failing is the probability that the upstream fails a request.
	Failing     float64 `json:"failing"`
	Suspect     bool    `json:"suspect,omitempty"`
	Ejected     bool    `json:"ejected,omitempty"`
	Trial       bool    `json:"trial,omitempty"`
	Draining    bool    `json:"draining,omitempty"`
	Warming     bool    `json:"warming,omitempty"`
	PathFailed  bool    `json:"pathFailed,omitempty"`
	RateLimited bool    `json:"rateLimited,omitempty"`
	// RefusedShare is the share of requests of the level that the ingress does not send there, since the
	// queue would refuse them.
	RefusedShare float64 `json:"refusedShare,omitempty"`
	Tier         string  `json:"tier"` // of package balance
	// Why says why the candidate is not usable, or is used only once no other is left.
	Why string `json:"why,omitempty"`
}
