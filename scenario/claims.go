package scenario

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/godwithub/godwithub/standin"
)

// waitClaims waits until an order with an idempotency key is answered at each
// node, so that the groups that hold claims are placed and at work.
func (w *world) waitClaims(boundText string) error {
	bound, err := time.ParseDuration(boundText)
	if err != nil {
		return misused("bound %q: %v", boundText, err)
	}
	for _, n := range w.fleet.nodes {
		if p, err := w.process(n.name); err != nil || !p.running() {
			continue
		}
		if err := waitUntil(bound, n.takesKeyedOrder); err != nil {
			return err
		}
	}
	return nil
}

func (n *fleetNode) takesKeyedOrder() error {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.addr(portCaller)+"/orders-ready", strings.NewReader("ready"))
	if err != nil {
		return misused("%v", err)
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
		return fmt.Errorf("order with a key at %s: %s, %s", n.name, got, resp.Header.Get("Godwithub-Reason"))
	}
	return nil
}
