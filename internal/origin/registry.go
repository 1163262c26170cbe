package origin

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// answerWait bounds the wait for the answers of other instances. Questions are repeated every askInterval.
	answerWait  = 250 * time.Millisecond
	askInterval = 60 * time.Millisecond
	// settleWait is how long the answers that are still missing are waited for once enough instances vouch
	// for a version. It leaves time for two more questions.
	settleWait = 140 * time.Millisecond
	// MaxViewAge is the age of the view of the replicas above which an instance vouches for no version.
	MaxViewAge = 3 * time.Second
	// listenedFor is how long an instance must have received records without a pause to have those of streams
	// whose versions views of MaxViewAge may lack.
	listenedFor = MaxViewAge + time.Second
	// renewalWait bounds the wait for a view that is newer than the question, in place of answerWait while the reads for
	// it are answered.
	renewalWait = time.Second
)

// View is the view of the replicas from which the versions are.
type View interface {
	// Age returns the time since the store last confirmed the view, as far as this instance knows.
	Age(now time.Time) time.Duration
	// Complete returns the interval of which the versions lack no change, by reads of the store that this instance made.
	// It ends when the last of them began.
	Complete() (since, until time.Time)
	// Renew has the view read again. The channel is closed after a read that began after the call, successful or not.
	Renew() <-chan struct{}
	// UnansweredFor returns for how long such reads have had no answer; 0 if the last one had.
	UnansweredFor(now time.Time) time.Duration
}

// Peers reaches the instances that hold the records of streams, each by its datagram address.
type Peers interface {
	// Holders returns the instances that hold the record of a stream.
	Holders(key Key) Holders
	// Tell sends records to an instance, Ask a question. Both may be lost.
	Tell(instance netip.AddrPort, records []Record)
	Ask(instance netip.AddrPort, question Question)
}

// Holders are the instances that hold the record of a stream.
type Holders struct {
	Others []Holder
	// Self is set if this instance is a holder, too. Domain is its failure domain.
	Self   bool
	Domain string
}

// Holder is an instance that holds records. Instances of one failure domain may be cut off together.
type Holder struct {
	Address netip.AddrPort
	Domain  string
}

// Question asks at which version a stream began.
type Question struct {
	Key     Key
	Service string
	Life    time.Duration
	// ViewSpan is for how long the one that asks has seen the replicas without a gap; 0 if that is the stream's life,
	// or unknown.
	ViewSpan time.Duration
}

// Registry records at which version streams began, and finds it out. It is safe for concurrent use.
type Registry struct {
	versions *Versions
	peers    Peers
	view     View

	mu    sync.Mutex
	table *table
	// startedAt is since when this instance has received records without a pause.
	startedAt time.Time
	waiting   map[Key][]*search

	told, received, asked, answered, evicted metrics.Counter
	found                                    [Sole + 1]metrics.Counter
}

// search waits for answers. That of this instance has the zero address.
type search struct {
	question Question
	// began is when the call came that resumes the stream, or later.
	began   time.Time
	holders Holders
	answers map[netip.AddrPort]Answer
	// changed has an element after each answer.
	changed chan struct{}
}

// NewRegistry returns a registry without records.
func NewRegistry(versions *Versions, peers Peers, view View, registry metrics.Registry) *Registry {
	r := &Registry{
		versions: versions, peers: peers, view: view, table: newTable(), startedAt: time.Now(), waiting: map[Key][]*search{},
		told:     metrics.GetOrRegisterCounter("streams.origin.told", registry),
		received: metrics.GetOrRegisterCounter("streams.origin.received", registry),
		asked:    metrics.GetOrRegisterCounter("streams.origin.asked", registry),
		answered: metrics.GetOrRegisterCounter("streams.origin.answered", registry),
		evicted:  metrics.GetOrRegisterCounter("streams.origin.evicted", registry),
	}
	for s := range r.found {
		r.found[s] = metrics.GetOrRegisterCounter("streams.origin.found."+Source(s).String(), registry)
	}
	_ = registry.Register("streams.origin.records", metrics.NewFunctionalGauge(func() int64 { return int64(r.Len()) }))
	return r
}

// Unproven returns the number of streams that were refused since the view of this instance was not renewed in time.
func (r *Registry) Unproven() int64 { return r.found[Unproven].Count() }

// Len returns the number of records.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.table.records)
}

// ResetAfterPause is called after a pause of this process, in which it may have missed records.
func (r *Registry) ResetAfterPause() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startedAt = time.Now()
}

// vouches returns the version that alone has served for the time before now, if this instance is certain.
func (r *Registry) vouches(service string, life time.Duration, now time.Time) (version string, ok bool) {
	if span, _ := r.viewed(now); r.view.Age(now) > MaxViewAge || span < life {
		return "", false
	}
	return r.versions.Vouches(service, life, now)
}

// viewed returns for how long this instance has seen the replicas without a gap, and until when.
func (r *Registry) viewed(now time.Time) (span time.Duration, until time.Time) {
	since, until := r.view.Complete()
	if known := r.versions.KnownSince(); known.After(since) {
		since = known
	}
	if since.IsZero() {
		return 0, time.Time{}
	}
	return now.Sub(since), until
}

// covers reports whether this instance has seen all of a stream's life up to the time from which on the one that asks
// has. If its view is too old for that, it is renewed for a further question.
func (r *Registry) covers(q Question, life time.Duration, now time.Time) bool {
	span, until := r.viewed(now)
	if q.ViewSpan <= 0 || span < life+renewalWait { // the call came up to renewalWait ago
		return false
	}
	if now.Sub(until) > q.ViewSpan {
		r.view.Renew()
		return false
	}
	return true
}

// Began records at which version a stream began, or goes on. The record is sent before Began returns.
func (r *Registry) Began(s Stream, version string) {
	now, life := time.Now(), boundLife(s.Life)
	record := Record{Key: s.Key(), Version: version, Life: life}
	r.mu.Lock()
	added, evicted := r.table.add(record, now)
	added.service, added.told = s.Service, false
	r.mu.Unlock()
	if evicted {
		r.evicted.Inc(1)
	}
	// A second version that is listed after this look finds the record in TellAll.
	if _, sole := r.vouches(s.Service, life, now); sole {
		return
	}
	r.mu.Lock()
	added.told = true
	r.mu.Unlock()
	r.tell([]Record{record})
}

// TellAll tells the records of the service's streams that were not told, as a second version serves now.
func (r *Registry) TellAll(service string) {
	now := time.Now()
	var records []Record
	r.mu.Lock()
	for element := r.table.order.Front(); element != nil; element = element.Next() {
		if at := recordOf(element); at.service == service && !at.told && now.Before(at.expires) {
			at.told = true
			records = append(records, Record{Key: at.key, Version: at.version, Life: at.expires.Sub(now)})
		}
	}
	r.mu.Unlock()
	r.tell(records)
}

// tell sends each record to its holders, and the records of one holder together.
func (r *Registry) tell(records []Record) {
	byHolder := map[netip.AddrPort][]Record{}
	for _, record := range records {
		for _, holder := range r.peers.Holders(record.Key).Others {
			byHolder[holder.Address] = append(byHolder[holder.Address], record)
		}
	}
	for holder, list := range byHolder {
		r.told.Inc(int64(len(list)))
		r.peers.Tell(holder, list)
	}
}

// Receive adds records that another instance told.
func (r *Registry) Receive(records []Record) {
	now := time.Now()
	r.received.Inc(int64(len(records)))
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		if _, evicted := r.table.add(record, now); evicted {
			r.evicted.Inc(1)
		}
	}
}

// Answer answers another instance's question.
func (r *Registry) Answer(q Question) Answer {
	r.answered.Inc(1)
	return r.answer(q)
}

func (r *Registry) answer(q Question) Answer {
	now, life := time.Now(), boundLife(q.Life)
	// The interval is read before the versions, which may be newer.
	covers := r.covers(q, life, now)
	version, only := r.versions.Only(q.Service, life, now)
	_, vouches := r.vouches(q.Service, life, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.table.lookup(q.Key, now); known != nil {
		return Answer{Key: q.Key, Known: !known.conflict, Conflict: known.conflict, Version: known.version}
	}
	if !only {
		return Answer{Key: q.Key}
	}
	return Answer{Key: q.Key, Version: version, Only: true, Vouches: vouches, Listened: now.Sub(r.startedAt) >= listenedFor, Covers: covers}
}

// ReceiveAnswer hands an answer to the searches that wait for it. Further answers of one instance replace
// its earlier ones.
func (r *Registry) ReceiveAnswer(from netip.AddrPort, a Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.waiting[a.Key] {
		s.answers[from] = a
		select {
		case s.changed <- struct{}{}:
		default:
		}
	}
}

// Resolve finds out at which version a stream began.
func (r *Registry) Resolve(ctx context.Context, s Stream) Resolution {
	asked, result := time.Now(), r.resolve(ctx, s)
	serves := func() bool { return r.versions.Serves(s.Service, result.Version) }
	if result.Found() && !serves() && !r.awaitView(ctx, asked) && !serves() {
		// The version may have joined lately: that it is gone is not known.
		result = Resolution{Source: Unproven, Answers: result.Answers}
	}
	r.found[result.Source].Inc(1)
	return result
}

func (r *Registry) resolve(ctx context.Context, s Stream) Resolution {
	life, key := boundLife(s.Life), s.Key()
	if s.Call == "" {
		return r.resolveUnnamed(ctx, s.Service, life)
	}
	r.mu.Lock()
	known := r.table.lookup(key, time.Now())
	if known != nil {
		defer r.mu.Unlock()
		if known.conflict {
			return Resolution{Source: Contradicted}
		}
		return Resolution{Source: Own, Version: known.version}
	}
	r.mu.Unlock()
	return r.search(ctx, s.Service, key, life)
}

// resolveUnnamed resolves a stream of which the caller does not name the first call. No other instance can tell of it, and
// one that has started would refuse all of them for a stream's life, so that a gap of the view does not count.
func (r *Registry) resolveUnnamed(ctx context.Context, service string, life time.Duration) Resolution {
	asked, q := time.Now(), Question{Service: service, Life: life}
	if own := r.ownAnswer(q, asked); !own.Only {
		return Resolution{Source: Unknown}
	}
	if !r.awaitView(ctx, asked) {
		return Resolution{Source: Unproven}
	}
	if own := r.ownAnswer(q, asked); own.Only {
		return Resolution{Source: Sole, Version: own.Version}
	}
	return Resolution{Source: Unknown}
}

// awaitView waits for a view that is newer than a time, and reports whether it came.
func (r *Registry) awaitView(ctx context.Context, asked time.Time) bool {
	if _, until := r.view.Complete(); until.After(asked) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, renewalWait)
	defer cancel()
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	for renewal := r.view.Renew(); ; {
		if _, until := r.view.Complete(); until.After(asked) {
			return true
		}
		select {
		case <-renewal:
			renewal = nil
		case <-ticker.C:
			if time.Since(asked) >= answerWait && r.view.UnansweredFor(time.Now()) >= answerWait {
				return false
			}
			if again := r.view.Renew(); renewal == nil {
				renewal = again
			}
		case <-ctx.Done():
			return false
		}
	}
}

// ownAnswer is what this instance knows of the versions, for a call that came at a time.
func (r *Registry) ownAnswer(q Question, asked time.Time) Answer {
	now, life := time.Now(), boundLife(q.Life)
	// The interval is read before the versions, which may be newer.
	span, until := r.viewed(now)
	own := r.answer(q)
	own.Covers, own.Current = span-now.Sub(asked) >= life, until.After(asked)
	return own
}

// search asks the holders of the record.
func (r *Registry) search(ctx context.Context, service string, key Key, life time.Duration) Resolution {
	s := &search{
		question: Question{Key: key, Service: service, Life: life}, began: time.Now(),
		holders: r.peers.Holders(key), answers: map[netip.AddrPort]Answer{}, changed: make(chan struct{}, 1),
	}
	if s.holders.Self {
		s.answers[netip.AddrPort{}] = r.answer(s.question)
	}
	defer r.await(key, s)()
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	timeout, renewed := time.NewTimer(answerWait), time.NewTimer(renewalWait)
	defer timeout.Stop()
	defer renewed.Stop()
	settled := time.NewTimer(settleWait)
	defer settled.Stop()
	r.ask(s)
	var renewal <-chan struct{}
	awaited, renews := false, true
	for {
		result, complete := r.decide(s)
		awaited = awaited || result.Source == Unproven
		if awaited && result.Source == Unknown {
			result.Source = Unanswered // a version came meanwhile: its records are told now
		}
		if complete || result.Source == Sole && time.Since(s.began) >= settleWait {
			return result
		}
		if result.Source == Unproven && renews {
			renewal, renews = r.renew(s), false
		}
		select {
		case <-s.changed:
		case <-settled.C:
		case <-renewal:
			renewal = nil
		case <-ticker.C:
			r.ask(s)
			renews = renewal == nil
		case <-timeout.C:
			if result.Source != Unproven || r.view.UnansweredFor(time.Now()) >= answerWait {
				return result
			}
		case <-renewed.C:
			return result
		case <-ctx.Done():
			return result
		}
	}
}

// decide returns the resolution by the answers so far, and whether further ones can't change it.
func (r *Registry) decide(s *search) (result Resolution, complete bool) {
	own := r.ownAnswer(s.question, s.began)
	r.mu.Lock()
	defer r.mu.Unlock()
	result = decide(s.holders, s.answers, own)
	switch result.Source {
	case Told, Contradicted:
		return result, true
	case Unproven:
		return result, false
	default:
		return result, len(s.answers) >= s.holders.count() || time.Since(s.began) >= answerWait
	}
}

// await registers a search for answers until the returned function is called.
func (r *Registry) await(key Key, s *search) (stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[key] = append(r.waiting[key], s)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for i, other := range r.waiting[key] {
			if other == s {
				r.waiting[key] = append(r.waiting[key][:i:i], r.waiting[key][i+1:]...)
				break
			}
		}
		if len(r.waiting[key]) == 0 {
			delete(r.waiting, key)
		}
	}
}

// renew has the own view renewed if that is too old, and returns a channel that is closed after this.
func (r *Registry) renew(s *search) (renewal <-chan struct{}) {
	if r.ownAnswer(s.question, s.began).Current {
		return nil
	}
	return r.view.Renew()
}

// ask sends the question to the holders that have not answered, or that may have seen since what this instance has not.
func (r *Registry) ask(s *search) {
	own := r.ownAnswer(s.question, s.began)
	q := s.question
	if !own.Covers {
		q.ViewSpan, _ = r.viewed(time.Now())
	}
	for _, holder := range s.holders.Others {
		r.mu.Lock()
		a, answered := s.answers[holder.Address]
		r.mu.Unlock()
		if !answered || !own.Covers && a.Vouches && !a.Covers {
			r.asked.Inc(1)
			r.peers.Ask(holder.Address, q)
		}
	}
}
