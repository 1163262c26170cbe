package standin

import (
	"cmp"
	"math"
	"time"

	"foxhall/internal/engine"
)

// noEvent is the time until the next event when there is none.
const noEvent = time.Duration(math.MaxInt64)

// wakeMargin is added to each wake-up, since rounding could put it just before its event.
const wakeMargin = time.Microsecond

func compareSequences(a, b *sequence) int {
	if a.priority != b.priority {
		return cmp.Compare(b.priority, a.priority)
	}
	return cmp.Compare(a.arrival, b.arrival)
}

// advance simulates the batch up to the current time, event by event.
func (e *Engine) advance() {
	now := time.Now()
	for e.advancedTo.Before(now) {
		step := min(e.untilNextEvent(), now.Sub(e.advancedTo))
		e.addProgress(step)
		e.advancedTo = e.advancedTo.Add(step)
		e.handleMilestones()
		e.admit()
	}
}

// schedule sets the timer to the engine's next event.
func (e *Engine) schedule() {
	if e.timer != nil {
		e.timer.Stop()
	}
	next := e.untilNextEvent()
	if next == noEvent {
		return
	}
	e.timer = time.AfterFunc(next, e.wake)
}

func (e *Engine) wake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	e.schedule()
}

func (e *Engine) speedFactor() float64 {
	if e.faults.Hang {
		return 0
	}
	if e.faults.Slow > 1 {
		return 1 / e.faults.Slow
	}
	return 1
}

// rates returns the call being prefilled, the prefill rate, and the decode rate of each decoding
// call, in tokens per second.
func (e *Engine) rates() (prefilling *sequence, prefill, decode float64) {
	batch := 0
	for _, s := range e.running {
		if s.prefillTokensLeft <= 0 {
			batch++
		} else if prefilling == nil || compareSequences(s, prefilling) < 0 {
			prefilling = s
		}
	}
	speed := e.speedFactor()
	decode = speed * e.config.DecodeSpeed / (1 + e.config.BatchSlowdown*float64(max(0, batch-1)))
	if prefilling != nil {
		decode *= decodeShareDuringPrefill
	}
	return prefilling, speed * e.config.PrefillSpeed, decode
}

func (e *Engine) untilNextEvent() time.Duration {
	prefilling, prefill, decode := e.rates()
	next := noEvent
	if prefilling != nil {
		next = durationFor(prefilling.prefillTokensLeft, prefill)
	}
	for _, s := range e.running {
		if s.prefillTokensLeft <= 0 {
			next = min(next, durationFor(s.nextMilestone()-s.decodedTokens, decode))
		}
	}
	return next
}

func durationFor(tokens, rate float64) time.Duration {
	if rate <= 0 {
		return noEvent
	}
	return time.Duration(tokens/rate*float64(time.Second)) + wakeMargin
}

func (e *Engine) addProgress(step time.Duration) {
	prefilling, prefill, decode := e.rates()
	seconds := step.Seconds()
	for _, s := range e.running {
		switch {
		case s == prefilling:
			s.prefillTokensLeft -= prefill * seconds
		case s.prefillTokensLeft <= 0:
			s.decodedTokens += decode * seconds
		}
	}
}

// handleMilestones processes the calls that have finished their prefill, reached a decoding
// milestone or completed.
func (e *Engine) handleMilestones() {
	for i := 0; i < len(e.running); {
		s := e.running[i]
		switch {
		case s.prefillTokensLeft <= 0 && !s.prefilled:
			e.endPrefill(s)
		case s.decodedTokens >= float64(s.outputTokens):
			e.complete(s)
			continue
		case s.prefilled && s.decodedTokens >= s.nextMilestone():
			e.signalProgress(s)
		}
		i++
	}
}

// signalProgress records the time of the first token and wakes the reader of a stream.
func (e *Engine) signalProgress(s *sequence) {
	if s.firstTokenAt.IsZero() {
		s.firstTokenAt = e.advancedTo
	}
	s.lastMilestone = int(s.decodedTokens)
	select {
	case s.progress <- struct{}{}:
	default:
	}
}

func (e *Engine) endPrefill(s *sequence) {
	s.prefilled = true
	s.prefillTokensLeft = 0
	e.storeBlocks(s, s.promptBlocks)
}

func (e *Engine) complete(s *sequence) {
	if s.firstTokenAt.IsZero() {
		s.firstTokenAt = e.advancedTo
	}
	e.storeBlocks(s, s.allBlocks())
	e.counts.Finished++
	e.counts.PromptTokens += int64(s.promptTokens)
	e.counts.CachedTokens += int64(s.cachedTokens)
	e.counts.GeneratedTokens += int64(s.outputTokens)
	e.endSequence(s, nil)
}

// storeBlocks caches the chain for the call's program and pins it in place of the call's previous
// pins.
func (e *Engine) storeBlocks(s *sequence, blocks []uint64) {
	e.cache.unpin(s.pinnedBlocks)
	pinned, added, evicted := e.cache.store(blocks, s.program)
	s.pinnedBlocks = pinned
	e.publish(engine.Evicted, evicted)
	e.publish(engine.Stored, added)
}

// admit moves waiting calls into free slots, in order of priority.
func (e *Engine) admit() {
	if e.faults.Hang {
		return
	}
	for len(e.running) < e.config.Slots && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		cachedBlocks := e.cache.match(s.promptBlocks)
		s.pinnedBlocks = s.promptBlocks[:cachedBlocks]
		e.cache.pin(s.pinnedBlocks)
		s.cachedTokens = cachedBlocks * engine.BlockTokens
		s.prefillTokensLeft = float64(max(1, s.promptTokens-s.cachedTokens))
		e.running = append(e.running, s)
	}
}
