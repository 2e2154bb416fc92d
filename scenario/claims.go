package scenario

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/godwithub/godwithub/standin"
)

// waitClaims waits until each running node answers an order with an idempotency
// key, which shows that the groups that hold claims are placed and working.
func (w *workspace) waitClaims(timeoutText string) error {
	timeout, err := time.ParseDuration(timeoutText)
	if err != nil {
		return scriptErrorf("invalid timeout %q: %v", timeoutText, err)
	}
	for _, n := range w.fleet.nodes {
		if p, err := w.process(n.name); err != nil || !p.running() {
			continue
		}
		if err := waitUntil(timeout, n.checkKeyedOrder); err != nil {
			return err
		}
	}
	return nil
}

func (n *fleetNode) checkKeyedOrder() error {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.addr(portCaller)+"/orders-ready", strings.NewReader("ready"))
	if err != nil {
		return scriptErrorf("%v", err)
	}
	id := uuid.Must(uuid.NewV7()).String()
	req.Header.Set("Idempotency-Key", id)
	req.Header.Set(standin.HeaderWorkID, id)
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if got := resp.Header.Get("Godwithub-Outcome"); got != "answered" {
		return fmt.Errorf("order with an idempotency key at node %s: outcome %s, reason %s", n.name, got, resp.Header.Get("Godwithub-Reason"))
	}
	return nil
}
