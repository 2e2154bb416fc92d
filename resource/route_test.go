package resource

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests that go to a service with weight 0 of a split route,
// or to none.
func TestChooseByWeight(t *testing.T) {
	r := &Route{Split: []WeightedService{{"a", 90}, {"none", 0}, {"b", 10}}}
	assert.Equal(t, r.ChooseService(0), "a")
	assert.Equal(t, r.ChooseService(0.89), "a")
	assert.Equal(t, r.ChooseService(0.91), "b")
	assert.Equal(t, r.ChooseService(0.999999), "b")
	r.Split = append(r.Split, WeightedService{"none", 0})
	assert.Equal(t, r.ChooseService(0.9999999999999999), "b")
}

// Guards against routes that are accepted with invalid weights or timeouts.
func TestValidateRoute(t *testing.T) {
	policy := func(ms int64) *RoutePolicy { return &RoutePolicy{Rank: "p0", DeadlineMs: ms} }
	for name, c := range map[string]struct {
		route  Route
		faults int
	}{
		"service":         {Route{Service: "a", Policy: policy(1000)}, 0},
		"split":           {Route{Split: []WeightedService{{"a", 1}, {"b", 0}}, Policy: policy(600_000)}, 0},
		"neither":         {Route{Policy: policy(1000)}, 1},
		"both":            {Route{Service: "a", Split: []WeightedService{{"a", 1}}}, 1},
		"no weight":       {Route{Split: []WeightedService{{"a", 0}}}, 1},
		"negative weight": {Route{Split: []WeightedService{{"a", 2}, {"b", -1}}}, 1},
		"long timeout":    {Route{Service: "a", Policy: policy(600_001)}, 1},
		"no timeout":      {Route{Service: "a", Policy: policy(0)}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c.route.Meta, c.route.Host, c.route.PathPrefix = Meta{Name: "r"}, "a.example", "/a/"
			assert.Equal(t, len(Validate(&c.route)), c.faults, "%v", Validate(&c.route))
		})
	}
}
