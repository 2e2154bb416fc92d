package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwithub/godwithub/resource"
)

// Windows are the time windows of a report, the shortest first. A fast burn is visible in the short
// ones and a slow burn in the long ones.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Report compares the outcomes of requests with the objectives, by service and rank.
type Report struct {
	At time.Time `json:"at"`
	// Since is when the reporting control VM started to count. Windows that begin earlier are covered
	// only in part.
	Since time.Time `json:"since"`
	Nodes int       `json:"nodes"` // nodes that reported in the last hour
	Rows  []Row     `json:"rows"`
}

// Row is the part of a report on one service and rank.
type Row struct {
	Service string `json:"service"`
	Rank    string `json:"rank"`
	Level   int    `json:"level"`
	// Objective is the share of requests that should be answered in time: the mean of the objectives
	// of the kinds, weighted by their requests.
	Objective float64 `json:"objective"`
	// BudgetUsed is the part of the error budget of the longest window that is used up. Above 1 the
	// objective is missed.
	BudgetUsed float64  `json:"budgetUsed"`
	Windows    []Window `json:"windows"`
}

// Window holds the counts of one time window and their burn rate.
type Window struct {
	Minutes int `json:"minutes"`
	Counts
	// Burn is the burn rate: the share of requests that missed the objective, divided by the share
	// that the objective allows to miss it. At 1 the error budget is used up exactly.
	Burn float64 `json:"burn"`
}

// Report returns the report at now, with the kinds and ranks of configuration c. Counts of kinds that
// c does not contain are omitted.
func (s *Store) Report(now time.Time, c *resource.Config) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{At: now, Since: s.startedAt, Nodes: len(s.nodes)}
	rows := map[rowKey]*Row{}
	for i, w := range Windows {
		for k, counts := range s.sum(now, w) {
			kind := c.Kinds[k.Kind]
			if kind == nil {
				continue
			}
			row := rowOf(rows, k, kind, c)
			row.add(i, counts, kind.AvailabilityObjective)
		}
	}
	for _, row := range rows {
		row.computeBurn()
		r.Rows = append(r.Rows, *row)
	}
	slices.SortFunc(r.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Level, b.Level), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank))
	})
	return r
}

type rowKey struct{ service, rank string }

func rowOf(rows map[rowKey]*Row, k Key, kind *resource.RequestKind, c *resource.Config) *Row {
	id := rowKey{k.Service, kind.Rank}
	row := rows[id]
	if row == nil {
		row = &Row{Service: k.Service, Rank: kind.Rank, Windows: make([]Window, len(Windows))}
		if rank := c.Ranks[kind.Rank]; rank != nil {
			row.Level = rank.Level
		}
		for i, w := range Windows {
			row.Windows[i].Minutes = int(w / time.Minute)
		}
		rows[id] = row
	}
	return row
}

// add adds the counts of one kind to window i. Until computeBurn is called, Burn holds the number of
// misses that the objectives allow.
func (r *Row) add(i int, c Counts, objective float64) {
	w := &r.Windows[i]
	w.Counts = w.plus(c)
	w.Burn += float64(c.Requests) * (1 - objective)
}

func (r *Row) computeBurn() {
	for i := range r.Windows {
		w := &r.Windows[i]
		allowed := w.Burn
		w.Burn = 0
		if allowed > 0 {
			w.Burn = float64(w.Requests-w.InTime) / allowed
		}
		if i == len(r.Windows)-1 && w.Requests > 0 {
			r.Objective = 1 - allowed/float64(w.Requests)
			r.BudgetUsed = w.Burn
		}
	}
}
