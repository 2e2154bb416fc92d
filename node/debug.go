package node

import (
	"encoding/json"
	"expvar"
	"net/http"
	"time"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/ingress"
	"github.com/godwithub/godwithub/version"
)

// debugHandler serves metrics, health and traces of requests on the debug address:
//
//	GET /debug/vars             metrics (expvar)
//	GET /healthz                200 while the node takes requests, else 503
//	GET /v1/view                the node's view of the fleet
//	GET /v1/explain/{request}   the attempts and outcome of a recent request
//	GET /v1/route               where a request would go now; see serveRoute
func (n *Node) debugHandler() http.Handler {
	vars := map[string]expvar.Var{
		"ingress":  n.ingress.Metrics(),
		"dispatch": n.dispatcher.Metrics(),
		"evidence": expvar.Func(func() any { return map[string]int64{"dropped": n.droppedObservations.Value()} }),
		"memstats": expvar.Get("memstats"),
	}
	for name, f := range n.stats {
		vars[name] = expvar.Func(f)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) { writeVars(w, vars) })
	mux.HandleFunc("GET /healthz", n.serveHealth)
	mux.HandleFunc("GET /v1/view", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.status()) })
	mux.HandleFunc("GET /v1/explain/{request}", n.serveExplain)
	mux.HandleFunc("GET /v1/route", n.serveRoute)
	return mux
}

// Status is a node's view of the fleet, for operators.
type Status struct {
	Version   string           `json:"version"`
	Node      string           `json:"node"`
	Leaving   bool             `json:"leaving"`
	Config    string           `json:"config"` // "epoch.revision", or empty
	Nodes     int              `json:"nodes"`  // usable nodes other than this one
	Upstreams map[string][]any `json:"upstreams"`
	// Suspects are the upstreams that are avoided, and Ejected those out of service.
	Suspects []fleet.UpstreamID `json:"suspects"`
	Ejected  []fleet.UpstreamID `json:"ejected"`
}

func (n *Node) status() Status {
	v := n.board.View()
	s := Status{Version: version.Version, Node: n.settings.NodeID, Leaving: v.Leaving, Nodes: len(v.Nodes), Upstreams: map[string][]any{},
		Suspects: []fleet.UpstreamID{}, Ejected: []fleet.UpstreamID{}}
	if v.Config != nil {
		s.Config = v.Config.Version.String()
	}
	for service, list := range v.Upstreams {
		for _, u := range list {
			s.Upstreams[service] = append(s.Upstreams[service], u)
			switch {
			case u.Ejected:
				s.Ejected = append(s.Ejected, u.ID)
			case u.Suspect:
				s.Suspects = append(s.Suspects, u.ID)
			}
		}
	}
	return s
}

func (n *Node) serveHealth(w http.ResponseWriter, _ *http.Request) {
	v := n.board.View()
	switch {
	case v.Leaving:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case v.Config == nil:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		w.Write([]byte("ok\n"))
	}
}

func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	t, ok := n.ingress.Explain(r.PathValue("request"))
	if !ok {
		http.Error(w, "no recent request of that id came to this node", http.StatusNotFound)
		return
	}
	writeJSON(w, t)
}

// serveRoute explains where the request with the method, host, path and customer in the query would go. It
// does not send it.
func (n *Node) serveRoute(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	writeJSON(w, n.ingress.ExplainRoute(ingress.RouteQuery{
		Method:   q.Get("method"),
		Host:     q.Get("host"),
		Path:     q.Get("path"),
		Customer: q.Get("customer"),
	}, time.Now()))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.Encode(v)
}

func writeVars(w http.ResponseWriter, vars map[string]expvar.Var) {
	out := map[string]json.RawMessage{}
	for name, v := range vars {
		out[name] = json.RawMessage(v.String())
	}
	writeJSON(w, out)
}
