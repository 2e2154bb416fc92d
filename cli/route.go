package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/godwithub/godwithub/explain"
)

// routeOptions are the flags and arguments of explain-route.
type routeOptions struct {
	target   string // HOST/PATH
	method   string
	customer string
	json     bool
}

func (a *app) addExplainRoute() {
	o := &a.reports.route
	o.method = "GET"
	c := a.addCommand(a.parser, "explain-route", "Prints where a node would send a request now, and why. The request is not sent.", a.explainRoute)
	c.AddPositionalValue(&o.target, "HOST/PATH", 1, true, "host and path of the request")
	c.String(&o.method, "", "method", "method of the request")
	c.String(&o.customer, "", "customer", "name of the customer; never its key")
	c.String(&a.reports.debugAddr, "", "debug-addr", "debug address of the node; call it on that node's VM")
	c.Bool(&o.json, "", "json", "same as --output json")
}

func (a *app) explainRoute(ctx context.Context) error {
	o := &a.reports.route
	target, err := parseTarget(o.target)
	if err != nil {
		return err
	}
	q := url.Values{"method": {o.method}, "host": {target.Host}, "path": {target.Path}, "customer": {o.customer}}
	body, err := a.askNode(ctx, "/v1/route?"+q.Encode())
	if err != nil {
		return err
	}
	var r explain.Route
	if err := json.Unmarshal(body, &r); err != nil {
		return fmt.Errorf("answer of the node: %w", err)
	}
	if a.json() || o.json {
		return a.printJSON(r)
	}
	return a.printRoute(&r)
}

// parseTarget parses HOST/PATH, with or without a scheme. The query is not part of the result, since routes and
// kinds do not match it.
func parseTarget(text string) (*url.URL, error) {
	if !strings.Contains(text, "://") {
		text = "http://" + text
	}
	u, err := url.Parse(text)
	if err != nil {
		return nil, usagef("%v", err)
	}
	if u.Host == "" {
		return nil, usagef("%q is not HOST/PATH: it has no host", text)
	}
	u.Path = cmp.Or(u.Path, "/")
	return u, nil
}

func (a *app) printRoute(r *explain.Route) error {
	t := newTable(a.Out, "NODE", "REGION", "FAILURE DOMAIN", "CONFIG", "KNOWN TO BE CURRENT", "ROUTE", "NEEDS KEY", "CUSTOMER", "QUOTA")
	customer, quota := "-", "-"
	if r.Customer != nil {
		customer, quota = r.Customer.Name, "none"
		if r.Customer.HasQuota {
			quota = fmt.Sprintf("%g/s, burst %g", r.Customer.RatePerSecond, r.Customer.Burst)
		}
	}
	t.row(r.Node, orDash(r.Region), orDash(r.FailureDomain), orDash(r.Config), yesNo(r.ConfigCurrent), orDash(r.Route), yesNo(r.NeedsKey), customer, quota)
	if err := t.flush(); err != nil {
		return err
	}
	a.printCustomerNote(r)
	if err := a.printRefusals(r.Refusals); err != nil {
		return err
	}
	for i := range r.Parts {
		if err := a.printPart(&r.Parts[i]); err != nil {
			return err
		}
	}
	return nil
}

// printCustomerNote explains the effect of the --customer flag, or of its absence, where the tables do not show it.
func (a *app) printCustomerNote(r *explain.Route) {
	named := a.reports.route.customer != ""
	switch {
	case r.Route == "":
	case r.NeedsKey && !named:
		a.printf("\nNo customer is named, so the answer is for a request without a key. Name its customer with --customer.\n")
	case !r.NeedsKey && named:
		a.printf("\nThe route needs no key, so customer, quota and level of --customer do not apply.\n")
	}
}

func (a *app) printPart(p *explain.RoutePart) error {
	a.printf("\n")
	t := newTable(a.Out, "SERVICE", "WEIGHT", "KIND", "IDEMPOTENT", "DEADLINE", "OBJECTIVE", "LEVEL", "LEVEL FROM")
	idempotent, level := "-", "-"
	if p.Kind != "" {
		idempotent, level = yesNo(p.Idempotent), strconv.Itoa(p.Level)
	}
	t.row(p.Service, strconv.Itoa(p.Weight), orDash(p.Kind), idempotent, formatMs(p.DeadlineMs), formatMs(p.LatencyObjectiveMs),
		level, orDash(p.LevelFrom))
	if err := t.flush(); err != nil {
		return err
	}
	if err := a.printRefusals(p.Refusals); err != nil {
		return err
	}
	if len(p.Candidates) == 0 {
		if p.Kind != "" {
			a.printf("\nThe node knows no upstream of this service.\n")
		}
		return nil
	}
	a.printf("\n")
	t = newTable(a.Out, "TIER", "UPSTREAM", "NODE", "REGION", "FAILURE DOMAIN", "SLOTS", "IN USE", "QUEUED", "REPORT AGE", "FAILING", "STATE", "REFUSED", "WHY")
	for i := range p.Candidates {
		c := &p.Candidates[i]
		queued, age := "-", "-"
		if c.ReportUsed {
			queued = strconv.Itoa(c.Queued)
		}
		if c.ReportAgeMs != nil {
			age = (time.Duration(*c.ReportAgeMs) * time.Millisecond).String()
		}
		t.row(c.Tier, c.Upstream, c.Node, orDash(c.Region), orDash(c.FailureDomain), strconv.Itoa(c.Slots), strconv.Itoa(c.InUse), queued, age,
			formatShare(c.Failing), candidateState(c), formatShare(c.RefusedShare), orDash(c.Why))
	}
	return t.flush()
}

func (a *app) printRefusals(list []explain.Refusal) error {
	if len(list) == 0 {
		return nil
	}
	a.printf("\n")
	t := newTable(a.Out, "REFUSED", "STATUS", "REASON", "RETRY AFTER", "MESSAGE")
	for _, r := range list {
		t.row(formatShare(r.Share), strconv.Itoa(r.Status), r.Reason, formatMs(r.RetryAfterMs), r.Message)
	}
	return t.flush()
}

func candidateState(c *explain.Candidate) string {
	var states []string
	for _, s := range []struct {
		name string
		set  bool
	}{
		{"suspect", c.Suspect}, {"ejected", c.Ejected}, {"on trial", c.Trial}, {"draining", c.Draining},
		{"warming", c.Warming}, {"path failed", c.PathFailed}, {"rate-limited", c.RateLimited},
	} {
		if s.set {
			states = append(states, s.name)
		}
	}
	return orDash(strings.Join(states, ", "))
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// formatMs formats a time in milliseconds, of which 0 stands for none.
func formatMs(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

func formatShare(f float64) string { return fmt.Sprintf("%.3g%%", 100*f) }
