package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two check-ins of a worker.
const heartbeat = 1500 * time.Millisecond

// worker is a stand-in for the application worker beside a node.
type worker struct {
	rec     *record
	node    *machine
	id      string
	service string
	born    int64
	slots   chan struct{}
	waiting atomic.Int64
	server  *http.Server
	ln      net.Listener
	stamp   atomic.Int64
	// fault answers a request of a faulty worker. It reports false if the request is to be served well.
	fault func(http.ResponseWriter, *http.Request) bool

	mu       sync.Mutex
	state    string
	sequence uint64
	silent   bool // no more check-ins
	runs     map[string]*execution
}

// execution is one execution of a request.
type execution struct {
	began, ended time.Time
	status       int
	faulty       bool
}

const (
	workerSlots = 5
	workerQueue = 48
)

// startWorker starts a worker beside a node.
func startWorker(rec *record, node *machine) (*worker, error) {
	ln, err := net.Listen("tcp", node.addr(portApp))
	if err != nil {
		return nil, err
	}
	w := &worker{
		rec: rec, node: node, id: "i-" + node.name, service: node.service, born: time.Now().UnixMilli(),
		slots: make(chan struct{}, workerSlots), ln: ln, state: "ready", runs: map[string]*execution{},
	}
	w.server = &http.Server{Handler: w, IdleTimeout: 10 * time.Second}
	go w.server.Serve(ln)
	return w, nil
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	if r.URL.Path == "/healthz" {
		h.Set("X-Instance-Id", w.id)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", id)
	h.Set("Keep-Alive", "timeout=10")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !w.takeSlot(r) {
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.slots }()
	x := w.begin(id, r)
	if w.fault != nil && w.fault(rw, r) {
		w.end(id, x, 500, true)
		return
	}
	limit := time.Duration(1<<62 - 1)
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	status := 200
	select {
	case <-time.After(min(workOf(r.URL.Path), limit)):
		if workOf(r.URL.Path) >= limit {
			status = http.StatusGatewayTimeout
		}
	case <-r.Context().Done():
		status = 0
	}
	w.end(id, x, status, false)
	if status == 0 {
		return
	}
	h.Set("X-Server-Stamp", fmt.Sprintf("%s.%d.%d", w.id, w.stamp.Add(1), status))
	rw.WriteHeader(status)
	if status == 200 {
		rw.Write(answerBody(w.id, id, len(body)))
	}
}

// answerBody returns the body with which a worker answers a request.
func answerBody(worker, id string, received int) []byte {
	head := fmt.Sprintf("%s %s %d ", worker, id, received)
	return append([]byte(head), bytes.Repeat([]byte("x"), 3000)...)
}

// takeSlot waits for a slot. It reports false if the worker is full or the caller has left.
func (w *worker) takeSlot(r *http.Request) bool {
	if w.waiting.Add(1) > workerQueue+workerSlots {
		w.waiting.Add(-1)
		return false
	}
	defer w.waiting.Add(-1)
	select {
	case w.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func workOf(path string) time.Duration {
	for _, r := range routes {
		if len(path) >= len(r.prefix) && path[:len(r.prefix)] == r.prefix {
			return r.work
		}
	}
	return 0
}

func (w *worker) begin(id string, r *http.Request) *execution {
	w.rec.add(w.id, "runs %s %s %s, expected %s, %s ms", id, r.Method, r.URL.Path, r.Header.Get("X-Expect-Instance"), r.Header.Get("X-Deadline-Ms"))
	x := &execution{began: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id] = x
	return x
}

func (w *worker) end(id string, x *execution, status int, faulty bool) {
	w.rec.add(w.id, "ends %s with %d", id, status)
	w.mu.Lock()
	defer w.mu.Unlock()
	x.ended, x.status, x.faulty = time.Now(), status, faulty
}

// runOf returns the run of a request, or nil.
func (w *worker) runOf(id string) *execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	if x := w.runs[id]; x != nil {
		c := *x
		return &c
	}
	return nil
}

// checkIn is the body of a check-in.
func (w *worker) checkIn() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	b, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.node.addr(portApp), "zone": zones[w.node.zone].name, "version": "v1", "slots": workerSlots,
		"state": w.state, "cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
	})
	if err != nil {
		panic(err)
	}
	return b
}

// call sends a check-in or a departure to the node of the worker. It returns whether it was acknowledged.
func (w *worker) call(name string, body []byte) bool {
	ok := w.post(name, body)
	w.rec.add(w.id, "%s acknowledged %v %s", name, ok, body)
	return ok
}

func (w *worker) post(name string, body []byte) bool {
	client := http.Client{Timeout: time.Second}
	req, err := http.NewRequest("POST", "http://"+w.node.addr(portControl)+"/rpc?call="+name+"&of="+w.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2
}

// keepCheckingIn sends a check-in every heartbeat until the worker is silenced.
func (w *worker) keepCheckingIn() {
	for {
		w.mu.Lock()
		silent := w.silent
		w.mu.Unlock()
		if silent {
			return
		}
		w.call("instances.heartbeat", w.checkIn())
		time.Sleep(heartbeat)
	}
}

// silence ends the check-ins.
func (w *worker) silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = true
}

// exit ends the process of the worker: its connections are closed and its address is free.
func (w *worker) exit() {
	w.rec.add(w.id, "exits")
	w.server.Close()
}
