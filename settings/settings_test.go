package settings

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

type sample struct {
	Addr    string        `flag:"sample-addr" usage:"IP:port" validate:"required,hostname_port"`
	Timeout time.Duration `flag:"sample-timeout" usage:"wait" range:"1s to 1m" validate:"min=1s,max=1m"`
	Count   int           `flag:"sample-count" usage:"how many" validate:"min=1,max=9"`
	Peers   []string      `flag:"sample-peers" usage:"others" list:"comma" validate:"dive,hostname_port"`
}

var program = Program{Name: "sample", Description: "test", Version: "0"}

// Guards against an environment variable that overrides a flag, and a default that is
// lost when neither is set.
func TestFlagWinsOverEnvironmentOverDefault(t *testing.T) {
	t.Setenv("GODWITHUB_SAMPLE_ADDR", "127.0.0.1:1")
	t.Setenv("GODWITHUB_SAMPLE_TIMEOUT", "5s")
	t.Setenv("GODWITHUB_SAMPLE_PEERS", "127.0.0.1:2,127.0.0.1:3")
	s := sample{Timeout: time.Second, Count: 3}
	assert.NilError(t, Parse(program, &s, []string{"-sample-timeout", "7s"}))
	assert.DeepEqual(t, s, sample{"127.0.0.1:1", 7 * time.Second, 3, []string{"127.0.0.1:2", "127.0.0.1:3"}})
}

// Guards against reporting only the first invalid setting, which would make operators restart
// a daemon once for each.
func TestEveryFaultIsListed(t *testing.T) {
	s := sample{Timeout: time.Hour, Count: 0, Peers: []string{"x"}}
	err := Parse(program, &s, nil)
	for _, flag := range []string{"-sample-addr", "-sample-timeout", "-sample-count", "-sample-peers[0]"} {
		assert.Check(t, is.ErrorContains(err, flag))
	}
}

// Guards against flags that do not accept several values separated by commas, as environment
// variables do.
func TestFlagTakesSeveralValues(t *testing.T) {
	s := sample{Addr: "127.0.0.1:1", Timeout: time.Second, Count: 3}
	assert.NilError(t, Parse(program, &s, []string{"-sample-peers", "127.0.0.1:2, 127.0.0.1:3", "-sample-peers", "127.0.0.1:4"}))
	assert.DeepEqual(t, s.Peers, []string{"127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"})
}

// Guards against a flag that appends to the list of the environment or the default.
func TestListFlagReplacesTheEnvironment(t *testing.T) {
	t.Setenv("GODWITHUB_SAMPLE_PEERS", "127.0.0.1:2,127.0.0.1:3")
	s := sample{Addr: "127.0.0.1:1", Timeout: time.Second, Count: 3, Peers: []string{"127.0.0.1:9"}}
	assert.NilError(t, Parse(program, &s, []string{"-sample-peers", "127.0.0.1:4"}))
	assert.DeepEqual(t, s.Peers, []string{"127.0.0.1:4"})
}

// Guards against a malformed environment variable that is read as the zero value.
func TestMalformedEnvironmentIsAFault(t *testing.T) {
	t.Setenv("GODWITHUB_SAMPLE_COUNT", "many")
	s := sample{Addr: "127.0.0.1:1", Timeout: time.Second, Count: 3}
	assert.ErrorContains(t, Parse(program, &s, nil), "many")
}
