package placement

// chooseNth chooses the nth available upstream, counting full ones, so that a program hash maps to
// the same upstream while that is full.
func chooseNth(candidates []Candidate, n uint64, d *Decision) {
	available := d.Rejections[Allowed] + d.FullCount()
	if available == 0 {
		return
	}
	remaining := n % uint64(available)
	for i := range candidates {
		if r := candidates[i].Rejection; r != Allowed && !r.isFull() {
			continue
		}
		if remaining == 0 {
			d.Chosen, d.ShouldWait = i, candidates[i].Rejection.isFull()
			return
		}
		remaining--
	}
}

func chooseLeastInFlight(candidates []Candidate, s *Step, d *Decision) {
	chooseBest(candidates, s, d, func(c *Candidate) int { return -c.Load.Total })
}

func chooseLongestPrefix(candidates []Candidate, s *Step, d *Decision) {
	chooseBest(candidates, s, d, func(c *Candidate) int { return c.CachedTokens })
}

// chooseBest chooses a free candidate with the highest score, at random among equals. Those that refused the step come
// last, the one that did so longest ago first.
func chooseBest(candidates []Candidate, s *Step, d *Decision, score func(*Candidate) int) {
	best := 0
	random := s.Random
	for i := range candidates {
		c := &candidates[i]
		if c.Rejection != Allowed {
			continue
		}
		value := score(c)
		if d.Chosen >= 0 && c.Refusal > candidates[d.Chosen].Refusal {
			continue
		}
		if d.Chosen < 0 || c.Refusal < candidates[d.Chosen].Refusal || value > best {
			d.Chosen, best, d.Ties = i, value, 1
			continue
		}
		if value < best {
			continue
		}
		d.Ties++
		if random = splitMix64(random); random%uint64(d.Ties) == 0 {
			d.Chosen = i
		}
	}
	if d.Chosen < 0 && d.FullCount() > 0 {
		d.ShouldWait = true
	}
}
