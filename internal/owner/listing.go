package owner

import (
	"cmp"
	"slices"
	"time"

	"foxhall/internal/program"
)

// ProgramInfo is an operator's view of a program.
type ProgramInfo struct {
	ID         program.ID `json:"id"`
	Customer   string     `json:"customer"`
	Plan       string     `json:"plan"`
	Parent     program.ID `json:"parent,omitempty"`
	Root       program.ID `json:"root"`
	Depth      int        `json:"depth"`
	Steps      int        `json:"steps"`
	Tokens     int        `json:"history_tokens"`
	Unresolved int        `json:"unresolved_steps"`
	Stalled    bool       `json:"stalled"`
	Uncertain  bool       `json:"history_uncertain"`
	Broken     bool       `json:"history_broken"`
	Running    bool       `json:"running"`
	OpenedAt   time.Time  `json:"opened_at"`
	UsedAt     time.Time  `json:"used_at"`
}

// Programs lists the programs owned here, or only the stalled ones. The program that has been idle
// for longest comes first.
func (s *Service) Programs(stalledOnly bool) []ProgramInfo {
	programs := []ProgramInfo{}
	now := time.Now()
	for r := range s.programs() {
		info := r.info(now, s.o.StalledAfter)
		if info.Stalled || !stalledOnly {
			programs = append(programs, info)
		}
	}
	slices.SortFunc(programs, func(a, b ProgramInfo) int {
		return cmp.Or(a.UsedAt.Compare(b.UsedAt), cmp.Compare(a.ID, b.ID))
	})
	return programs
}

// programs iterates over the residents that are programs.
func (s *Service) programs() func(yield func(*resident) bool) {
	return func(yield func(*resident) bool) {
		for i := range s.shards {
			for _, r := range s.shards[i].all() {
				if !r.isAccount() && !yield(r) {
					return
				}
			}
		}
	}
}

func (r *resident) isAccount() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Account
}

func (r *resident) info(now time.Time, stalledAfter time.Duration) ProgramInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	running := r.claimed || r.waiters > 0
	return ProgramInfo{
		ID:         r.id,
		Customer:   r.state.Customer,
		Plan:       r.state.Plan,
		Parent:     r.state.Parent,
		Root:       r.state.Root,
		Depth:      r.state.Depth,
		Steps:      len(r.state.Steps),
		Tokens:     r.state.HistoryTokens,
		Unresolved: r.state.Unresolved(),
		Stalled:    !running && r.state.HasOpenWork() && now.Sub(r.usedAt) >= stalledAfter,
		Uncertain:  r.state.Uncertain,
		Broken:     r.state.Broken,
		Running:    running,
		OpenedAt:   r.state.OpenedAt,
		UsedAt:     r.usedAt,
	}
}

// UnknownStep is a step whose outcome is unknown.
type UnknownStep struct {
	Program  program.ID `json:"program"`
	Number   int        `json:"number"`
	Customer string     `json:"customer"`
	Service  string     `json:"service"`
	Method   string     `json:"method"`
	Path     string     `json:"path"`
	// Key is the caller's idempotency key, UpstreamKey the one sent to the service.
	Key         string    `json:"key,omitempty"`
	UpstreamKey string    `json:"upstream_key"`
	At          time.Time `json:"at"`
}

// UnknownSteps lists the steps whose outcome is unknown, oldest first.
func (s *Service) UnknownSteps() []UnknownStep {
	steps := []UnknownStep{}
	for r := range s.programs() {
		steps = append(steps, r.unknownSteps()...)
	}
	slices.SortFunc(steps, func(a, b UnknownStep) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.UpstreamKey, b.UpstreamKey))
	})
	return steps
}

func (r *resident) unknownSteps() []UnknownStep {
	r.mu.Lock()
	defer r.mu.Unlock()
	var steps []UnknownStep
	for i := range r.state.Steps {
		recorded := &r.state.Steps[i]
		if recorded.Verdict != program.Unknown {
			continue
		}
		steps = append(steps, UnknownStep{
			Program:     r.id,
			Number:      recorded.Identity.Number,
			Customer:    r.state.Customer,
			Service:     recorded.Tool.Service,
			Method:      recorded.Tool.Method,
			Path:        recorded.Tool.Path,
			Key:         recorded.Identity.Key,
			UpstreamKey: upstreamKey(r.id, recorded.Identity.Number),
			At:          recorded.At,
		})
	}
	return steps
}

// CustomerEarnings is the sum of the earnings from one customer's steps.
type CustomerEarnings struct {
	Customer string `json:"customer"`
	Steps    int64  `json:"steps"`
	// Price and Cut are in micros of the operators' currency.
	Price int64 `json:"price_micros"`
	Cut   int64 `json:"cut_micros"`
}

// Earnings returns, by customer, the earnings of the programs owned here in the hours that begin at
// or after since. Sums older than two days are kept by day, those older than 64 days by spans of 32
// days.
func (s *Service) Earnings(since time.Time) []CustomerEarnings {
	sums := map[string]*CustomerEarnings{}
	for i := range s.shards {
		s.addEarnings(&s.shards[i], since, sums)
	}
	earnings := make([]CustomerEarnings, 0, len(sums))
	for _, sum := range sums {
		earnings = append(earnings, *sum)
	}
	slices.SortFunc(earnings, func(a, b CustomerEarnings) int { return cmp.Compare(a.Customer, b.Customer) })
	return earnings
}

// addEarnings adds the earnings of one shard to sums. No program of the shard can be ended
// meanwhile, so none is counted both by itself and in the account that its earnings are merged into.
func (s *Service) addEarnings(sh *shard, since time.Time, sums map[string]*CustomerEarnings) {
	sh.endMu.Lock()
	defer sh.endMu.Unlock()
	for _, r := range sh.all() {
		r.mu.Lock()
		buckets := r.state.Earnings(since)
		r.mu.Unlock()
		for _, b := range buckets {
			sum := sums[b.Customer]
			if sum == nil {
				sum = &CustomerEarnings{Customer: b.Customer}
				sums[b.Customer] = sum
			}
			sum.Steps += b.Steps
			sum.Price += b.Price
			sum.Cut += b.Cut
		}
	}
}
