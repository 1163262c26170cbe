package upstream

import (
	"sync/atomic"
	"time"
)

const (
	// erringWeight is the weight of one answer in the share of failing ones: an
	// upstream that has begun to fail is avoided after one or two calls.
	errorRateWeight = 0.25
	// erringHalf is the half-life of the share without answers, so that an
	// upstream that failed is tried again.
	errorRateHalfLife = 8 * time.Second
	// erringTold is the share from which others are told, and with which an
	// upstream counts that another instance tells of.
	highErrorRate = 0.4
	errorRateUnit = 1000
)

// erring is the share of calls that an upstream answers with a failure of its own.
//
// The failure it prevents: an engine fails at once all that it is sent, its health
// answers stay good, and it is idle and holds the prompts it was sent, so that it
// draws ever more calls. Programs fail whose turns come back to it three times.
type errorRate struct {
	share, updatedAt atomic.Int64
	// toldUntil is until when another instance's word counts.
	reportedUntil atomic.Int64
}

// note takes in one answer; the upstream's lock is held.
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

// own is the share by this instance's calls.
func (e *errorRate) own(now int64) float64 {
	share := float64(e.share.Load()) / errorRateUnit
	if share == 0 {
		return 0
	}
	age := max(0, float64(now-e.updatedAt.Load())/float64(errorRateHalfLife))
	return share / (1 + age)
}

func (e *errorRate) current(now int64) float64 {
	own := e.own(now)
	if now < e.reportedUntil.Load() {
		return max(own, highErrorRate)
	}
	return own
}

// Erring reports whether this instance's own calls there fail so often that
// others should be told.
func (u *Upstream) HasHighErrorRate(now time.Time) bool {
	return u.errorRate.own(now.UnixNano()) >= highErrorRate
}

// PeerSaysErring takes in another instance's word.
func (u *Upstream) PeerReportedErrors(until time.Time) {
	u.errorRate.reportedUntil.Store(until.UnixNano())
}
