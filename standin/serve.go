package standin

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxRequestBody is the largest request body that is accepted, in bytes.
const maxRequestBody = 64 << 20

// requestRun is one request, from its arrival to its answer.
type servedRequest struct {
	requestIDs
	runID           uint64
	key, customer   string
	method, path    string
	body            []byte
	started         time.Time
	deadline        time.Time // zero: no deadline
	pathSettings    pathSettings
	requestChecksum string
}

func (u *Standin) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		u.probe(w, r)
		return
	}
	req := &servedRequest{
		requestIDs:   requestIDs{r.Header.Get(HeaderRequestID), r.Header.Get(HeaderWorkID)},
		key:          r.Header.Get(HeaderKey),
		customer:     r.Header.Get(HeaderCustomer),
		method:       r.Method,
		path:         r.URL.Path,
		pathSettings: u.settingsOf(r.URL.Path),
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		// The request did not arrive completely, so it does not run.
		http.Error(w, "request body: "+err.Error(), http.StatusBadRequest)
		return
	}
	req.body = body
	req.requestChecksum = Checksum(body)
	if reason := u.admit(req, r); reason != "" {
		u.refuse(w, req, reason)
		return
	}
	u.run(w, r, req)
}

// admit takes a slot for the request, or returns the reason why it does not run.
func (u *Standin) admit(req *servedRequest, r *http.Request) (reason string) {
	if text := r.Header.Get(HeaderDeadlineMs); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return NotRunDeadline
		}
		req.deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if u.Draining() {
		u.counters.refusedDraining.Add(1)
		return NotRunDraining
	}
	select {
	case u.slots <- struct{}{}:
		return ""
	default:
		u.counters.shed.Add(1)
		return NotRunShed
	}
}

func (u *Standin) refuse(w http.ResponseWriter, req *servedRequest, reason string) {
	u.runs.write(u.event(EventRefused, req, reason))
	w.Header().Set(HeaderNotRun, reason)
	w.Header().Set(HeaderRequestID, req.requestID)
	w.Header().Set(HeaderWorkID, req.workID)
	u.closeIfDraining(w)
	http.Error(w, "not run: "+reason, http.StatusServiceUnavailable)
}

func (u *Standin) event(t EventType, req *servedRequest, result string) Event {
	return Event{
		Event: t, At: time.Now(), Upstream: u.settings.ID, RunID: req.runID,
		RequestID: req.requestID, WorkID: req.workID, Key: req.key, Customer: req.customer,
		Method: req.method, Path: req.path, Result: result,
	}
}

func (u *Standin) run(w http.ResponseWriter, r *http.Request, req *servedRequest) {
	req.runID = u.runID.Add(1)
	req.started = time.Now()
	u.counters.started.Add(1)
	u.counters.running.Add(1)
	u.runs.write(u.event(EventStart, req, ""))
	faults, _ := u.currentFaults()
	if faults.CrashMarker != "" && bytes.Contains(req.body, []byte(faults.CrashMarker)) {
		u.end(req, "crash")
		u.log.Error("request contains the crash marker: process exits", "requestId", req.requestID, "workId", req.workID)
		u.exit(ExitCrash)
		return
	}
	status, result := u.execute(r.Context(), req, &faults)
	u.end(req, result)
	if result == "canceled" {
		panic(http.ErrAbortHandler)
	}
	if withProbability(faults.LateShare) {
		time.Sleep(time.Duration(faults.LateMs) * time.Millisecond)
	}
	u.answer(w, req, status, &faults)
}

// end records the end of a run and frees its slot. It is called before the answer is sent, so that
// the slot is free when a client that got the answer sends its next request.
func (u *Standin) end(req *servedRequest, result string) {
	<-u.slots
	e := u.event(EventEnd, req, result)
	e.Started = &req.started
	u.runs.write(e)
	u.counters.running.Add(-1)
	u.counters.ended.Add(1)
}

// execute waits for the service time, and returns the status to answer with and the result for the
// run log.
func (u *Standin) execute(ctx context.Context, req *servedRequest, faults *Faults) (status int, result string) {
	if !req.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.deadline)
		defer cancel()
	}
	u.waitWhileFrozen(ctx)
	timer := time.NewTimer(u.serviceTime(req, faults))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	switch {
	case ctx.Err() == context.DeadlineExceeded:
		return http.StatusGatewayTimeout, "deadline"
	case ctx.Err() != nil:
		return 0, "canceled"
	}
	if status := faults.errorStatus(req.path); status != 0 {
		return status, "error"
	}
	return http.StatusOK, "done"
}

// waitWhileFrozen returns once the stand-in is not frozen or ctx has ended.
func (u *Standin) waitWhileFrozen(ctx context.Context) {
	for {
		faults, changed := u.currentFaults()
		if !faults.Freeze {
			return
		}
		// A flapping freeze ends without a call of SetFaults.
		recheck := 100 * time.Millisecond
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(recheck):
		}
	}
}

func (u *Standin) serviceTime(req *servedRequest, faults *Faults) time.Duration {
	d := req.pathSettings.base
	if req.pathSettings.spread > 0 {
		d += time.Duration(rand.Int64N(int64(req.pathSettings.spread)))
	}
	factor := u.coldStartSlowness()
	if faults.Slowness > 0 {
		factor *= faults.Slowness
	}
	return time.Duration(float64(d) * factor)
}

func (u *Standin) settingsOf(path string) pathSettings {
	for _, p := range u.paths {
		if strings.HasPrefix(path, p.prefix) {
			return p
		}
	}
	return pathSettings{}
}

func (u *Standin) answer(w http.ResponseWriter, req *servedRequest, status int, faults *Faults) {
	id := req.requestIDs
	if previous := u.lastAnswered.Swap(&id); previous != nil && withProbability(faults.CrossShare) {
		id = *previous
	}
	body := Body(id.workID, req.pathSettings.bytes)
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderRequestID, id.requestID)
	h.Set(HeaderWorkID, id.workID)
	h.Set(HeaderBodyBytes, strconv.Itoa(len(body)))
	h.Set(HeaderBodyChecksum, Checksum(body))
	h.Set(HeaderRequestChecksum, req.requestChecksum)
	h.Set(HeaderUpstream, u.settings.ID)
	u.closeIfDraining(w)
	if status >= http.StatusBadRequest && faults.Endless {
		h.Del("Content-Length")
		w.WriteHeader(status)
		writeEndless(w)
		return
	}
	w.WriteHeader(status)
	if withProbability(faults.ShortShare) {
		w.Write(body[:len(body)/2])
		// The abort closes the connection. Without it, the server would only notice that a part of the
		// body is missing if the body did not fit into its buffer.
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Write(body)
}

// writeEndless writes a body until the client closes the connection.
func writeEndless(w io.Writer) {
	for piece := make([]byte, 32<<10); ; {
		if _, err := w.Write(piece); err != nil {
			return
		}
	}
}

// closeIfDraining closes the connection after the answer, so that no client sends a request on an
// idle connection while the process exits.
func (u *Standin) closeIfDraining(w http.ResponseWriter) {
	if u.Draining() {
		w.Header().Set("Connection", "close")
	}
}

// probe serves /healthz. It waits for a slot and occupies it, as a request does.
func (u *Standin) probe(w http.ResponseWriter, r *http.Request) {
	u.counters.probes.Add(1)
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.slots }()
	time.Sleep(u.settings.ProbeCost)
	faults, _ := u.currentFaults()
	if u.Draining() || !faults.reportsHealthy() {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}
