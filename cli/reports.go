package cli

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/godwithub/godwithub/burn"
	"github.com/godwithub/godwithub/fleet"
)

// reportOptions are the flags and arguments of reports.
type reportOptions struct {
	plot      string // file to write a plot to; none if empty
	requestID string
	debugAddr string
	logs      string // file or folder with logs; "-" is standard input
	route     routeOptions
}

func (a *app) addReports() {
	a.addCommand(a.parser, "fleet", "Prints the nodes and their upstreams, and which upstreams are suspect or ejected.", a.fleet)
	reports := a.addGroup("report", "Prints reports.")
	b := a.addCommand(reports, "burn", "Prints how fast the services use up their error budgets.", a.reportBurn)
	b.String(&a.reports.plot, "", "plot", "file for a plot of the burn (.png, .svg or .pdf)")
	a.addCommand(reports, "quotas", "Prints quota, use and refusals of the customers that were active lately.", a.reportQuotas)
	e := a.addCommand(a.parser, "explain", "Prints the path and the attempts of one request with the reasons for them, from its ingress node or from logs.", a.explain)
	e.AddPositionalValue(&a.reports.requestID, "REQUEST", 1, true, "id from the Godwithub-Request-Id header")
	e.String(&a.reports.debugAddr, "", "debug-addr", "debug address of the ingress node; call it on that node's VM")
	e.String(&a.reports.logs, "", "logs", "file or folder with the JSON logs of all processes, or - for standard input")
	a.addExplainRoute()
}

func (a *app) fleet(ctx context.Context) error {
	c, err := a.connect()
	if err != nil {
		return err
	}
	f, err := c.Fleet(ctx)
	if err != nil {
		return err
	}
	if a.json() {
		return a.printJSON(f)
	}
	t := newTable(a.Out, "NODE", "STATE", "REGION", "FAILURE DOMAIN", "CONFIG", "UPSTREAM", "SERVICE", "SLOTS", "UPSTREAM STATE")
	for _, n := range f.Nodes {
		nodeCells := []string{string(n.ID), n.State.String(), n.Region, n.FailureDomain, n.ConfigVersion.String()}
		if len(n.Upstreams) == 0 {
			t.row(append(nodeCells, "-", "-", "-", "-")...)
		}
		for _, u := range n.Upstreams {
			t.row(append(nodeCells[:len(nodeCells):len(nodeCells)], string(u.ID), u.Service, strconv.Itoa(u.Slots), upstreamState(u))...)
		}
	}
	return t.flush()
}

func upstreamState(u fleet.Upstream) string {
	s := u.State.String()
	switch {
	case u.Ejected:
		return s + ", ejected"
	case u.Trial:
		return s + ", on trial"
	case u.Suspect:
		return s + ", suspect"
	}
	return s
}

func (a *app) reportBurn(ctx context.Context) error {
	c, err := a.connect()
	if err != nil {
		return err
	}
	r, err := c.BurnReport(ctx)
	if err != nil {
		return err
	}
	if a.reports.plot != "" {
		if err := plotBurn(r, a.reports.plot); err != nil {
			return err
		}
	}
	if a.json() {
		return a.printJSON(r)
	}
	a.printf("%d nodes, counts since %s\n\n", r.Nodes, r.Since.Format(time.RFC3339))
	t := newTable(a.Out, "SERVICE", "RANK", "OBJECTIVE", "BUDGET USED", "WINDOW", "ASKED", "IN TIME", "REFUSED", "ERRORS", "NOT RUN", "UNKNOWN", "BURN")
	for _, row := range r.Rows {
		for _, w := range row.Windows {
			t.row(row.Service, row.Rank, fmt.Sprintf("%.4f", row.Objective), fmt.Sprintf("%.0f%%", 100*row.BudgetUsed),
				(time.Duration(w.Minutes) * time.Minute).String(), formatCount(w.Requests), formatCount(w.InTime), formatCount(w.Refused),
				formatCount(w.Errors), formatCount(w.NotRun), formatCount(w.Unknown), fmt.Sprintf("%.2f", w.Burn))
		}
	}
	return t.flush()
}

func (a *app) reportQuotas(ctx context.Context) error {
	c, err := a.connect()
	if err != nil {
		return err
	}
	r, err := c.QuotaReport(ctx)
	if err != nil {
		return err
	}
	if a.json() {
		return a.printJSON(r)
	}
	t := newTable(a.Out, "CUSTOMER", "ENFORCED/S", "BURST", "TOKENS", "USED/S", "REFUSED/S", "GRANTED", "REFUSED", "RETURNED")
	for _, u := range r.Customers {
		t.row(u.Customer, formatRate(u.Rate), formatRate(u.Burst), formatRate(u.Tokens), formatRate(u.UsedPerSecond), formatRate(u.RefusedPerSecond),
			formatCount(u.Granted), formatCount(u.Refused), formatCount(u.Returned))
	}
	return t.flush()
}

func formatRate(f float64) string { return strconv.FormatFloat(f, 'f', 1, 64) }

func formatCount(n uint64) string { return strconv.FormatUint(n, 10) }

// Dimensions of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 8 // points
)

// plotBurn draws a bar chart of the burn of each service and rank in each window.
func plotBurn(r *burn.Report, file string) error {
	p := plot.New()
	p.Title.Text = "Service-level burn (1 uses up exactly the error budget)"
	p.Y.Label.Text = "burn"
	names := make([]string, len(r.Rows))
	for i, row := range r.Rows {
		names[i] = row.Service + " / " + row.Rank
	}
	for i, window := range burn.Windows {
		values := make(plotter.Values, len(r.Rows))
		for j, row := range r.Rows {
			values[j] = row.Windows[i].Burn
		}
		if len(values) == 0 {
			break
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		bars.Offset = vg.Points(float64(barWidth * i))
		bars.Color = plotutil.Color(i)
		p.Add(bars)
		p.Legend.Add(window.String(), bars)
	}
	p.Legend.Top = true
	p.NominalX(names...)
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
