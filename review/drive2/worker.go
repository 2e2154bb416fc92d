package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const heartbeatInterval = 1500 * time.Millisecond

// worker is a stand-in of an application worker beside a node. It answers each request at once.
type worker struct {
	vm     *vm
	id     string
	born   int64
	server *http.Server
	stop   chan struct{}

	mu       sync.Mutex
	runs     map[string]int // by id of the request
	sequence int            // of the last check-in
	silent   bool           // no further check-ins are sent
}

// startWorker starts a worker at the app address of a VM.
func startWorker(v *vm, id string) (*worker, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(v.ip, appPort))
	if err != nil {
		return nil, err
	}
	w := &worker{vm: v, id: id, born: time.Now().UnixMilli(), stop: make(chan struct{}), runs: map[string]int{}}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go w.server.Serve(ln)
	go w.announce()
	return w, nil
}

func (w *worker) close() {
	close(w.stop)
	w.server.Close()
}

// ran returns how often the request with an id has run.
func (w *worker) ran(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", id)
	if r.URL.Path == "/healthz" {
		rw.Header().Set("X-Instance-Id", w.id)
		return
	}
	expected := r.Header.Get("X-Expect-Instance")
	switch {
	case expected != "" && expected != w.id:
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		rw.Header().Set("X-Not-Executed", "no id")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	w.vm.fleet.record.add("%s runs request %s for %s of tenant %q", w.id, id, r.RequestURI, r.Header.Get("X-Tenant"))
	rw.Header().Set("X-Server-Stamp", w.id+"."+id)
	fmt.Fprintln(rw, "done")
}

// announce sends a check-in to the node at each interval, until the worker is silent or closed.
func (w *worker) announce() {
	for {
		w.mu.Lock()
		body := w.checkIn()
		silent := w.silent
		w.mu.Unlock()
		if silent {
			return
		}
		w.post("instances.heartbeat", body)
		select {
		case <-w.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// checkIn returns the body of the next check-in. w.mu is held.
func (w *worker) checkIn() []byte {
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": w.vm.service, "address": net.JoinHostPort(w.vm.ip, appPort), "zone": w.vm.place.zone, "version": "v1",
		"slots": 5, "state": "ready", "cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
	})
	return body
}

// silence ends the check-ins, and returns one more that was not sent yet.
func (w *worker) silence() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = true
	return w.checkIn()
}

// depart tells the node that the worker is gone, and returns the status of the answer. The worker serves on.
func (w *worker) depart() int {
	body, _ := json.Marshal(map[string]any{"born": w.born})
	return w.post("instances.deregister", body)
}

// post makes a call at the node beside the worker, and returns the status of the answer or 0.
func (w *worker) post(call string, body []byte) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+w.vm.controlAddr()+"/rpc?call="+call+"&of="+w.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
