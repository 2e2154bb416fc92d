package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/godwithub/godwithub/explain"
	"github.com/godwithub/godwithub/outcome"
)

// maxExplanationBytes bounds the explanation of one request.
const maxExplanationBytes = 4 << 20

func (a *app) explain(ctx context.Context) error {
	if a.reports.logs != "" {
		return a.explainFromLogs()
	}
	body, err := a.askNode(ctx, "/v1/explain/"+a.reports.requestID)
	if err != nil {
		return err
	}
	if a.json() {
		return a.printJSON(json.RawMessage(body))
	}
	var t requestTrace
	if err := json.Unmarshal(body, &t); err != nil {
		return fmt.Errorf("answer of the node: %w", err)
	}
	return a.printTrace(&t)
}

// requestTrace is what a node returns about one request; see ingress.Trace.
type requestTrace struct {
	RequestID string         `json:"requestId"`
	Began     time.Time      `json:"began"`
	Service   string         `json:"service"`
	Kind      string         `json:"kind"`
	Caller    string         `json:"caller"`
	Customer  string         `json:"customer"`
	Ended     outcome.Ended  `json:"ended"`
	Status    int            `json:"status"` // 0: the request was refused before any attempt
	Latency   time.Duration  `json:"latencyNs"`
	Message   string         `json:"message"`
	Attempts  []attemptTrace `json:"attempts"`
}

type attemptTrace struct {
	Upstream string        `json:"upstream"`
	Node     string        `json:"node"`
	Took     time.Duration `json:"tookNs"`
	Outcome  string        `json:"outcome"`
	Reason   string        `json:"reason"`
}

func (a *app) printTrace(r *requestTrace) error {
	t := newTable(a.Out, "REQUEST", "RECEIVED", "SERVICE", "KIND", "CALLER", "CUSTOMER", "OUTCOME", "REASON", "STATUS", "TOOK", "MESSAGE")
	status, took := "-", "-"
	if r.Status != 0 {
		status, took = strconv.Itoa(r.Status), r.Latency.Round(time.Microsecond).String()
	}
	t.row(r.RequestID, r.Began.Format(time.RFC3339Nano), orDash(r.Service), orDash(r.Kind), orDash(r.Caller), orDash(r.Customer),
		r.Ended.Outcome.String(), orDash(string(r.Ended.Reason)), status, took, orDash(r.Message))
	if err := t.flush(); err != nil || len(r.Attempts) == 0 {
		return err
	}
	a.printf("\n")
	t = newTable(a.Out, "ATTEMPT", "UPSTREAM", "NODE", "OUTCOME", "REASON", "TOOK")
	for i, attempt := range r.Attempts {
		t.row(strconv.Itoa(i+1), attempt.Upstream, attempt.Node, attempt.Outcome, orDash(attempt.Reason), attempt.Took.Round(time.Microsecond).String())
	}
	return t.flush()
}

// askNode returns what the debug address of a node answers for a path and query.
func (a *app) askNode(ctx context.Context, target string) ([]byte, error) {
	if a.reports.debugAddr == "" {
		a.reports.debugAddr = os.Getenv("GODWITHUB_DEBUG_ADDR")
	}
	if a.reports.debugAddr == "" {
		return nil, usagef("--debug-addr is required, or --logs for explain")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.reports.debugAddr+target, nil)
	if err != nil {
		return nil, usagef("%v", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxExplanationBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("no explanation from the ingress node: %s", body)
	}
	return body, nil
}

// explainFromLogs prints the steps of a request in all processes, in the order of
// time, and the cause of its outcome.
func (a *app) explainFromLogs() error {
	lines, err := explain.ReadPath(a.reports.logs, a.In)
	if err != nil {
		return err
	}
	explanation, err := explain.BuildStory(lines, a.reports.requestID)
	if err != nil {
		return err
	}
	if a.json() {
		return a.printJSON(explanation)
	}
	t := newTable(a.Out, "AFTER", "PROCESS", "WHAT")
	for _, s := range explanation.Steps {
		t.row(s.At.Sub(explanation.ReceivedAt).Round(time.Millisecond).String(), s.Source, s.Text)
	}
	if err := t.flush(); err != nil {
		return err
	}
	a.printf("\narrived at %s; cause: %s\n", explanation.ReceivedAt.Format(time.RFC3339Nano), explanation.Cause)
	return nil
}
