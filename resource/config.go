package resource

import (
	"cmp"
	"slices"
	"strings"
)

// Config is an immutable index of a Set, for lookups on the request path.
type Config struct {
	Version  Version
	Services map[string]*Service
	Kinds    map[string]*RequestKind
	Ranks    map[string]*Rank
	Callers  map[string]*Caller
	Groups   map[string]*Group
	// Customers holds the customers; see KeysRequired.
	Customers map[string]*Customer
	// Limits is nil if the configuration has none.
	Limits *Limits

	// routes holds the routes of each host, longest path prefix first.
	routes map[string][]*Route
	// kinds holds the request kinds of each service, most specific path first.
	kinds map[string][]*RequestKind
	// customersByKey holds the customers by the digests of their keys.
	customersByKey map[KeyDigest]*Customer
}

// Compile returns the Config of s.
func Compile(s *Set) *Config {
	customers, keys := s.countCustomers()
	c := &Config{
		Version:  s.version,
		Services: map[string]*Service{},
		Kinds:    map[string]*RequestKind{},
		Ranks:    map[string]*Rank{},
		Callers:  map[string]*Caller{},
		Groups:   map[string]*Group{},

		// With 53,000 customers, maps that grow while they are filled allocate 8 MB more.
		Customers:      make(map[string]*Customer, customers),
		customersByKey: make(map[KeyDigest]*Customer, keys),

		routes: map[string][]*Route{},
		kinds:  map[string][]*RequestKind{},
	}
	for _, o := range s.objects {
		c.add(o)
	}
	for _, routes := range c.routes {
		slices.SortFunc(routes, compareRoutes)
	}
	for _, kinds := range c.kinds {
		slices.SortFunc(kinds, compareKinds)
	}
	return c
}

func (c *Config) add(o Object) {
	name := o.Metadata().Name
	switch o := o.(type) {
	case *Service:
		c.Services[name] = o
	case *RequestKind:
		c.Kinds[name] = o
		c.kinds[o.Service] = append(c.kinds[o.Service], o)
	case *Rank:
		c.Ranks[name] = o
	case *Caller:
		c.Callers[name] = o
	case *Group:
		c.Groups[name] = o
	case *Limits:
		c.Limits = o
	case *Customer:
		c.Customers[name] = o
		for _, d := range o.KeyDigests {
			c.customersByKey[d] = o
		}
	case *Route:
		host := strings.ToLower(o.Host)
		c.routes[host] = append(c.routes[host], o)
		if o.Policy != nil {
			kind := o.policyKind()
			c.Kinds[kind.Name] = kind
		}
	}
}

func compareRoutes(a, b *Route) int {
	if n := cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)); n != 0 {
		return n
	}
	return cmp.Compare(a.Name, b.Name)
}

func compareKinds(a, b *RequestKind) int {
	aPrefix, bPrefix := strings.HasSuffix(a.Path, "*"), strings.HasSuffix(b.Path, "*")
	if aPrefix != bPrefix {
		if bPrefix {
			return -1
		}
		return 1
	}
	if n := cmp.Compare(len(b.Path), len(a.Path)); n != 0 {
		return n
	}
	if a.Method != b.Method && (a.Method == "*" || b.Method == "*") {
		if b.Method == "*" {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Name, b.Name)
}

// Route returns the route for host and path, or nil. host may carry a port.
func (c *Config) Route(host, path string) *Route {
	host = strings.ToLower(stripPort(host))
	for _, h := range [...]string{host, "*"} {
		for _, r := range c.routes[h] {
			if hasPathPrefix(path, r.PathPrefix) {
				return r
			}
		}
	}
	return nil
}

// CustomerByKey returns the customer that holds key, or nil. The time that it takes does not depend on how
// much of a key is right, since only digests are compared.
func (c *Config) CustomerByKey(key string) *Customer { return c.customersByKey[DigestKey(key)] }

// KeysRequired reports whether requests on routes that are not public need the key of a customer: if there are
// customers, or if the configuration says so although there is none.
func (c *Config) KeysRequired() bool {
	return len(c.Customers) > 0 || c.Limits != nil && c.Limits.KeysRequired != nil && *c.Limits.KeysRequired
}

// HasRoutes reports whether the configuration has any route.
func (c *Config) HasRoutes() bool { return len(c.routes) > 0 }

// Routes returns the number of routes.
func (c *Config) Routes() int {
	n := 0
	for _, routes := range c.routes {
		n += len(routes)
	}
	return n
}

// PolicyKind returns the request kind that is defined by a route's policy, or nil.
func (c *Config) PolicyKind(r *Route) *RequestKind { return c.Kinds[policyKindPrefix+r.Name] }

// Kind returns the request kind of service for method and path, or nil.
func (c *Config) Kind(service, method, path string) *RequestKind {
	for _, k := range c.kinds[service] {
		if k.matches(method, path) {
			return k
		}
	}
	return nil
}

// KindsOf returns the request kinds of service, the most specific first.
func (c *Config) KindsOf(service string) []*RequestKind { return c.kinds[service] }

func (k *RequestKind) matches(method, path string) bool {
	if k.Method != "*" && k.Method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(k.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return path == k.Path
}

// hasPathPrefix reports whether path equals prefix or is below it. It compares whole
// segments, so that "/shop" does not match "/shopping".
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

func stripPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
