package capacity

import (
	"math"
	"time"
)

const (
	// minCalling is the share of a kind's runs that have to make calls to a service for requests to be
	// refused for want of room there. Which requests make calls is not known beforehand. A refusal loses
	// those that make none, while the others' part of the service's capacity goes to other requests. At
	// a lower share, callers lose more with refusals than they gain from learning of a failure at once.
	minCalling = 0.85
	// failingShare is the share of such a kind's runs that may fail because their calls find no room. It
	// keeps the service busy while load and capacity vary.
	failingShare = 0.25
	// minAdmitted is the share of the requests of a kind that is always admitted. They show whether there
	// is room again.
	minAdmitted = 0.2
	// adjustInterval is how often the admitted share is adjusted.
	adjustInterval = 200 * time.Millisecond
	// refuseRate and recoverRate are the changes of the logarithm of the admitted share per second, for
	// each unit by which the failing share exceeds failingShare or is below it. A run takes about a
	// second until it shows the effect of a change.
	refuseRate  = 1.0
	recoverRate = 10.0
	// reportWindow is the time constant of the moving average of the failing share. A new report has at
	// least minReportGain and at most maxReportGain of its weight, since reports are averages themselves.
	reportWindow  = 500 * time.Millisecond
	minReportGain = 0.05
	maxReportGain = 0.4
	// maxReportAge is how long the failing share is used without a new report. Nothing is refused after
	// that: the nodes that report may be cut off.
	maxReportAge = 2 * time.Second
	// retryAfter is the mean time after which callers of refused requests may return if nearly all are admitted.
	// It is longer the fewer are admitted, up to maxRetryAfter. Each time is drawn from 0.5 to 1.5 times the mean.
	retryAfter    = time.Second
	maxRetryAfter = 4 * time.Second
)

// Admission decides which new requests are refused because the calls that they make would probably find
// no room. The zero value admits all.
type Admission struct{ kinds map[string]*admittedKind }

// admittedKind is the state of one kind. The first report that is not empty creates it.
type admittedKind struct {
	// failing is the share of runs that fail, by the service at which calls find no room. It has only
	// services to which at least minCalling of the runs make calls.
	failing    map[string]float64
	reportedAt time.Time
	// admitted is the share of requests that is admitted, as of adjustedAt.
	admitted   float64
	adjustedAt time.Time
}

// Report records what the node of an upstream has reported with a run of a kind.
func (a *Admission) Report(now time.Time, kind string, reports []NoRoom) {
	k := a.kinds[kind]
	if k == nil {
		if len(reports) == 0 || len(a.kinds) >= maxKinds {
			return
		}
		if a.kinds == nil {
			a.kinds = map[string]*admittedKind{}
		}
		k = &admittedKind{failing: map[string]float64{}, admitted: 1, adjustedAt: now}
		a.kinds[kind] = k
	}
	k.adjust(now)
	gain := 1 - math.Exp(-now.Sub(k.reportedAt).Seconds()/reportWindow.Seconds())
	gain = min(max(gain, minReportGain), maxReportGain)
	k.reportedAt = now
	for service := range k.failing {
		k.failing[service] *= 1 - gain
	}
	for _, r := range reports {
		if r.Calling >= minCalling {
			k.failing[r.Service] += gain * min(max(r.Failing, 0), 1)
		}
	}
	if len(reports) == 0 && k.isIdle() {
		delete(a.kinds, kind)
	}
}

// isIdle reports whether the kind has all requests admitted and calls that find room.
func (k *admittedKind) isIdle() bool {
	_, share := k.worst()
	return k.admitted == 1 && share < minNoRoomShare
}

// worst returns the service at which most runs fail, and their share.
func (k *admittedKind) worst() (service string, share float64) {
	for s, f := range k.failing {
		if f > share || f == share && s < service {
			service, share = s, f
		}
	}
	return service, share
}

// adjust brings the admitted share up to date.
func (k *admittedKind) adjust(now time.Time) {
	elapsed := now.Sub(k.adjustedAt)
	if elapsed < adjustInterval {
		return
	}
	k.adjustedAt = now
	_, share := k.worst()
	if now.Sub(k.reportedAt) > maxReportAge {
		share = 0
	}
	excess := share - failingShare
	rate := recoverRate
	if excess > 0 {
		rate = refuseRate
	}
	change := math.Exp(-rate * excess * min(elapsed, maxReportAge).Seconds())
	k.admitted = min(max(k.admitted*change, minAdmitted), 1)
}

// Decision says whether a request is admitted, and if not, why and when its caller may return.
type Decision struct {
	Admitted bool
	// Service is the one at which calls find no room.
	Service    string
	RetryAfter time.Duration
}

// Decide decides on a new request of a kind. draw and spread are random numbers, uniform in [0, 1).
func (a *Admission) Decide(now time.Time, kind string, draw, spread float64) Decision {
	k := a.kinds[kind]
	if k == nil {
		return Decision{Admitted: true}
	}
	k.adjust(now)
	if draw < k.admitted {
		return Decision{Admitted: true}
	}
	return k.refusal(spread)
}

// refusal returns the decision on a request that is not admitted.
func (k *admittedKind) refusal(spread float64) Decision {
	service, _ := k.worst()
	wait := min(float64(retryAfter)/k.admitted, float64(maxRetryAfter))
	return Decision{Service: service, RetryAfter: time.Duration(wait * (0.5 + spread))}
}

// Peek returns the share of new requests of a kind that Decide would admit, and its decision on the others with
// the mean time to retry. It changes nothing.
func (a *Admission) Peek(now time.Time, kind string) (admitted float64, others Decision) {
	k := a.kinds[kind]
	if k == nil {
		return 1, Decision{}
	}
	adjusted := *k
	adjusted.adjust(now)
	return adjusted.admitted, adjusted.refusal(0.5)
}

// AdmittedShares returns the kinds of which requests are refused, with the share that is admitted.
func (a *Admission) AdmittedShares(now time.Time) map[string]float64 {
	out := map[string]float64{}
	for name, k := range a.kinds {
		if k.adjust(now); k.admitted < 1 {
			out[name] = k.admitted
		}
	}
	return out
}
