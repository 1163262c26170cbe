package upstream

import (
	"sync/atomic"
	"time"
)

const (
	// errorRateWeight is the weight of one response in the moving average: an upstream that has
	// begun to fail is avoided after one or two calls.
	errorRateWeight = 0.25
	// errorRateHalfLife is the half-life of the error rate without new responses, so that an
	// upstream that failed is tried again.
	errorRateHalfLife = 8 * time.Second
	// highErrorRate is the rate from which other instances are informed. It is also the least rate
	// assumed for an upstream that another instance has reported.
	highErrorRate = 0.4
	// errorRateUnit is the stored value of an error rate of 1.
	errorRateUnit = 1000
)

// errorRate is the moving average of the share of calls that an upstream fails with an error of its
// own.
//
// It prevents this failure: an engine fails every call at once while its health checks pass. It is
// then idle and appears to have the prompts it was sent in its cache, so placement sends it more and
// more calls. A program whose turn is sent there three times fails.
type errorRate struct {
	// share is in units of 1/errorRateUnit, as of updatedAt (Unix nanoseconds).
	share, updatedAt atomic.Int64
	// reportedUntil is when another instance's report expires, in Unix nanoseconds.
	reportedUntil atomic.Int64
}

// record adds one response to the average. The caller holds the upstream's lock.
func (e *errorRate) record(now int64, failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	old := e.own(now)
	if old == 0 && !failed {
		return
	}
	e.share.Store(int64(errorRateUnit * (old + errorRateWeight*(value-old))))
	e.updatedAt.Store(now)
}

// own returns the error rate of this instance's calls, decayed to now (Unix nanoseconds).
func (e *errorRate) own(now int64) float64 {
	share := float64(e.share.Load()) / errorRateUnit
	if share == 0 {
		return 0
	}
	age := max(0, float64(now-e.updatedAt.Load())/float64(errorRateHalfLife))
	return share / (1 + age)
}

// current returns the error rate at now, in Unix nanoseconds, including other instances' reports.
func (e *errorRate) current(now int64) float64 {
	own := e.own(now)
	if now < e.reportedUntil.Load() {
		return max(own, highErrorRate)
	}
	return own
}

// HasHighErrorRate reports whether this instance's own calls to the upstream fail so often that
// other instances should be informed.
func (u *Upstream) HasHighErrorRate(now time.Time) bool {
	return u.errorRate.own(now.UnixNano()) >= highErrorRate
}

// PeerReportedErrors records another instance's report of a high error rate, valid until then.
func (u *Upstream) PeerReportedErrors(until time.Time) {
	u.errorRate.reportedUntil.Store(until.UnixNano())
}
