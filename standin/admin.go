package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Status is what the admin endpoint reports of a stand-in.
type Status struct {
	ID              string        `json:"id"`
	Service         string        `json:"service"`
	Draining        bool          `json:"draining"`
	WarmMs          int64         `json:"warmMs"`
	Running         int64         `json:"running"`
	Started         int64         `json:"started"`
	Ended           int64         `json:"ended"`
	Shed            int64         `json:"shed"`
	RefusedDraining int64         `json:"refusedDraining"`
	Probes          int64         `json:"probes"`
	Connections     int64         `json:"connections"`
	PeakConnections int64         `json:"peakConnections"`
	Accepted        int64         `json:"accepted"`
	ConnRefused     int64         `json:"connRefused"`
	Faults          Faults        `json:"faults"`
	Uptime          time.Duration `json:"uptimeNs"`
}

// Status returns the current state and counters.
func (u *Standin) Status() Status {
	faults, _ := u.currentFaults()
	c := &u.counters
	return Status{
		ID: u.settings.ID, Service: u.settings.Service,
		Draining: u.Draining(), WarmMs: u.coldStartRemaining().Milliseconds(),
		Running: c.running.Load(), Started: c.started.Load(), Ended: c.ended.Load(),
		Shed: c.shed.Load(), RefusedDraining: c.refusedDraining.Load(), Probes: c.probes.Load(),
		Connections: u.listener.openConns.Load(), PeakConnections: u.listener.peakConns.Load(),
		Accepted: u.listener.accepted.Load(), ConnRefused: u.listener.refused.Load(),
		Faults: faults, Uptime: time.Since(u.started),
	}
}

// AdminHandler returns the handler of the admin endpoint.
func (u *Standin) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, u.Status()) })
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		faults, _ := u.currentFaults()
		writeJSON(w, faults)
	})
	mux.HandleFunc("PUT /faults", u.putFaults)
	mux.HandleFunc("DELETE /faults", func(w http.ResponseWriter, _ *http.Request) { u.SetFaults(Faults{}) })
	mux.HandleFunc("PUT /drain", func(http.ResponseWriter, *http.Request) { u.SetDraining(true) })
	mux.HandleFunc("DELETE /drain", func(http.ResponseWriter, *http.Request) { u.SetDraining(false) })
	return mux
}

func (u *Standin) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := f.Validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.SetFaults(f)
	u.log.Info("faults set", "faults", fmt.Sprintf("%+v", f))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func (u *Standin) startAdmin() error {
	if u.settings.AdminListen == "" {
		return nil
	}
	l, err := net.Listen("tcp", u.settings.AdminListen)
	if err != nil {
		return fmt.Errorf("standin: admin: %w", err)
	}
	u.admin = &http.Server{Handler: u.AdminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	go u.admin.Serve(l)
	return nil
}
