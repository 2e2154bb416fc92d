package loadgen

import (
	"fmt"
	"time"
)

// Settings of a load.
type Settings struct {
	Targets     []string      `flag:"target" usage:"IP:port to send to; repeatable, used in turn" validate:"min=1,dive,hostname_port"`
	Kinds       []string      `flag:"kind" usage:"name=N,method=M,host=H,path=P,share=S,rate=R,bytes=B,body=T,key=yes,caller=C,customerkey=K,timeout=MS,limit=L,read=BYTES_PER_S; repeatable" validate:"min=1"`
	Rate        string        `flag:"rate" usage:"requests per second of the kinds with a share, as RATE or RATE/RATE@FROM/..." validate:"required"`
	Constant    bool          `flag:"constant" usage:"constant instead of Poisson-distributed intervals"`
	Duration    time.Duration `flag:"duration" usage:"length of the load, without the warm-up" validate:"gt=0"`
	Count       int64         `flag:"count" usage:"requests to send at most, without the warm-up; 0 for no limit" validate:"min=0"`
	WarmUp      time.Duration `flag:"warm-up" usage:"load before measurement starts; its answers are checked but not measured" validate:"min=0"`
	MaxInFlight int           `flag:"max-in-flight" usage:"requests in flight at most; those beyond are counted and not sent" validate:"min=1,max=100000"`
	Timeout     time.Duration `flag:"timeout" usage:"longest wait for an answer" validate:"gt=0"`
	Resend      int           `flag:"resend" usage:"how often the caller resends a failed request that has an idempotency key" validate:"min=0"`
	ResendWait  time.Duration `flag:"resend-wait" usage:"wait before each resend" validate:"min=0"`
	Direct      bool          `flag:"direct" usage:"targets are stand-ins themselves, without outcome headers"`
	Seed        uint64        `flag:"seed" usage:"seed of intervals and of the choice of kinds; 0 for a random one"`
	Results     string        `flag:"results" usage:"file for a JSON line for each attempt; empty for none"`
	JSON        string        `flag:"json" usage:"file for the report as JSON; empty for none"`

	AllowBroken   int64   `flag:"allow-broken" usage:"transport errors and cut answers that are no failure; -1 for any number" validate:"min=-1"`
	AllowUnknown  int64   `flag:"allow-unknown" usage:"final unknown outcomes that are no failure; -1 for any number" validate:"min=-1"`
	AllowNotRun   int64   `flag:"allow-not-run" usage:"final not-run outcomes that are no failure; -1 for any number" validate:"min=-1"`
	AllowErrors   int64   `flag:"allow-errors" usage:"answers with a status of 500 or more that are no failure; -1 for any number" validate:"min=-1"`
	AllowOverflow int64   `flag:"allow-overflow" usage:"requests not sent because of max-in-flight that are no failure; -1 for any number" validate:"min=-1"`
	MinAnswered   float64 `flag:"min-answered" usage:"least share of the requests sent that must be answered" validate:"min=0,max=1"`
}

// DefaultSettings returns the settings of a short load that tolerates all three outcomes, but no
// answer that fails the checks.
func DefaultSettings() Settings {
	return Settings{
		Rate:         "100",
		Duration:     10 * time.Second,
		MaxInFlight:  1000,
		Timeout:      30 * time.Second,
		ResendWait:   100 * time.Millisecond,
		AllowUnknown: -1,
		AllowNotRun:  -1,
		AllowErrors:  -1,
	}
}

// parseKinds parses all kinds and rejects repeated names.
func (s *Settings) parseKinds() ([]Kind, error) {
	var out []Kind
	seen := map[string]bool{}
	for _, text := range s.Kinds {
		k, err := ParseKind(text)
		if err != nil {
			return nil, err
		}
		if seen[k.Name] {
			return nil, fmt.Errorf("loadgen: two kinds are named %q", k.Name)
		}
		seen[k.Name] = true
		out = append(out, k)
	}
	return out, nil
}
