package admission

import "time"

// pressure returns the estimated wait of e divided by the longest estimated wait
// with which it would be admitted.
func (q *Queue) pressure(now time.Time, e *entry) float64 {
	slack := e.latestStart.Sub(now)
	if slack < 0 {
		return refusedPressure
	}
	wait := q.wait(now, e.rank, e)
	if wait == 0 {
		return 0
	}
	longest := max(float64(maxWait(&e.ticket, slack)), 1)
	return float64(wait) / (estimatedWaitFraction * longest)
}

// wait estimates how long e would wait in the queue. Its rank is assumed to be
// served at the rate that the other ranks leave over, or at its guaranteed share if
// that is better.
func (q *Queue) wait(now time.Time, r *rank, e *entry) time.Duration {
	rateWait := q.limit.wait(now)
	others := len(q.entries)
	if e.queued {
		others--
	}
	if others == 0 && q.inService < q.options.Slots {
		return rateWait
	}
	available, moreUrgentWork := 1.0, time.Duration(0)
	for _, o := range q.ranks {
		switch used := o.usage.valueAt(now); {
		case o.level < r.level:
			available -= used
			moreUrgentWork += o.queued
		case o.level > r.level:
			available -= min(used, o.share)
		}
	}
	available = max(available, minServiceRate)
	own := float64(r.workAhead(now, e, available))
	wait := q.waitAt(now, e, own+float64(moreUrgentWork)*available, available)
	if r.share > 0 {
		// The guaranteed share does not wait for more urgent work, and its credit is served at once.
		covered := min(own, float64(r.credit))
		wait = min(wait, q.waitAt(now, e, own-(1-r.share)*covered, r.share))
	}
	residual := rateWait
	if q.inService >= q.options.Slots {
		residual = max(residual, r.estimate(0)/time.Duration(q.options.Slots))
	}
	return time.Duration(wait) + residual
}

// waitAt estimates the wait of e for some work ahead of it in its rank, which is served at a rate: new
// requests get the part of the rate that calls leave over, but at least newRequestShare of it, and
// calls the part that is left over by those whose parents have completed other calls.
func (q *Queue) waitAt(now time.Time, e *entry, work, rate float64) float64 {
	r := e.rank
	switch {
	case !e.ticket.isCall():
		left := rate - r.callUsage.valueAt(now)
		if left > newRequestShare*rate {
			work += float64(r.callsQueued) * left
		}
		rate = r.newRequestRate(now, rate)
	case e.ticket.CompletedCalls == 0:
		rate = max(rate-r.laterCallUsage.valueAt(now), newRequestShare*rate)
	}
	return work / (q.Capacity() * rate)
}
