package upstream

import (
	"sync/atomic"
	"time"
)

const (
	// erringWeight is the weight of one answer in the share of failing ones: an
	// upstream that has begun to fail is avoided after one or two calls.
	erringWeight = 0.25
	// erringHalf is the half-life of the share without answers, so that an
	// upstream that failed is tried again.
	erringHalf = 8 * time.Second
	// erringTold is the share from which others are told, and with which an
	// upstream counts that another instance tells of.
	erringTold = 0.4
	erringUnit = 1000
)

// erring is the share of calls that an upstream answers with a failure of its own.
//
// The failure it prevents: an engine fails at once all that it is sent, its health
// answers stay good, and it is idle and holds the prompts it was sent, so that it
// draws ever more calls. Programs fail whose turns come back to it three times.
type erring struct {
	share, at atomic.Int64
	// toldUntil is until when another instance's word counts.
	toldUntil atomic.Int64
}

// note takes in one answer; the upstream's lock is held.
func (e *erring) note(now int64, failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	old := e.own(now)
	if old == 0 && !failed {
		return
	}
	e.share.Store(int64(erringUnit * (old + erringWeight*(value-old))))
	e.at.Store(now)
}

// own is the share by this instance's calls.
func (e *erring) own(now int64) float64 {
	share := float64(e.share.Load()) / erringUnit
	if share == 0 {
		return 0
	}
	age := max(0, float64(now-e.at.Load())/float64(erringHalf))
	return share / (1 + age)
}

func (e *erring) now(now int64) float64 {
	own := e.own(now)
	if now < e.toldUntil.Load() {
		return max(own, erringTold)
	}
	return own
}

// Erring reports whether this instance's own calls there fail so often that
// others should be told.
func (u *Upstream) HasHighErrorRate(now time.Time) bool {
	return u.erring.own(now.UnixNano()) >= erringTold
}

// PeerSaysErring takes in another instance's word.
func (u *Upstream) PeerReportedErrors(until time.Time) { u.erring.toldUntil.Store(until.UnixNano()) }
