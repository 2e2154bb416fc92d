package controld

import (
	"encoding/json"
	"expvar"
	"net/http"
)

// debugHandler serves metrics and health on loopback:
//
//	GET /debug/vars   metrics (expvar)
//	GET /healthz      200 while the control group has a leader, else 503
func (d *Daemon) debugHandler() http.Handler {
	vars := map[string]expvar.Var{
		"control": d.parts.Machine.Metrics(),
		"api":     d.apiMetrics(),
		"quotas":  expvar.Func(d.quotas.metrics),
		// Counters of all consensus replicas in the process.
		"consensus": expvar.Get("consensus"),
		"memstats":  expvar.Get("memstats"),
	}
	if g, ok := d.replication.(*Group); ok {
		vars["group"] = expvar.Func(func() any { return g.metrics() })
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		out := map[string]json.RawMessage{}
		for name, v := range vars {
			out[name] = json.RawMessage(v.String())
		}
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		enc.Encode(out)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if _, _, ok := d.replication.Leader(); !ok {
			http.Error(w, "the control group has no leader", http.StatusServiceUnavailable)
			return
		}
		w.Write([]byte("ok\n"))
	})
	return mux
}

// groupMetrics is the state of a member of the control group, as it knows it.
type groupMetrics struct {
	Replica string `json:"replica"`
	// Voter says whether this replica votes, by the latest membership that it knows.
	Voter   bool   `json:"voter"`
	Leader  string `json:"leader"` // node id; empty: not known
	Term    uint64 `json:"term"`
	Voters  int    `json:"voters"`
	Members int    `json:"members"`
	Last    uint64 `json:"last"` // index of the last log entry
	Commit  uint64 `json:"commit"`
	// Released is the last committed index that may be applied and acknowledged, as the leader last told it.
	Released uint64 `json:"released"`
}

func (g *Group) metrics() groupMetrics {
	r := g.replica.Load()
	if r == nil {
		return groupMetrics{Replica: g.replicaID().String()}
	}
	s := r.Status()
	leader, _, _ := g.Leader()
	return groupMetrics{
		Replica: s.ID.String(), Voter: s.Membership.IsVoter(s.ID), Leader: leader, Term: s.Term,
		Voters: s.Membership.VoterCount(), Members: len(s.Membership), Last: s.Last, Commit: s.Commit, Released: s.Released,
	}
}

// apiMetrics returns the counters of the resource API, or an empty map if another API is served in
// its place.
func (d *Daemon) apiMetrics() expvar.Var {
	if d.server == nil {
		return new(expvar.Map)
	}
	return d.server.Metrics()
}
