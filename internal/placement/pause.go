package placement

import "time"

// keepShare is the part of an engine's cache turnover that a pause may take
// for its memory to be kept.
const maxTurnoverShare = 0.5

// KeepThroughPause reports whether a program's memory on an engine should be
// kept while the program waits for a tool. Turnover is how long the engine
// takes to fill its cache with new tokens: a block kept longer than that pushes
// out blocks that would have been used sooner, and would soon be evicted itself.
func ShouldRetainCache(wait, turnover time.Duration) bool {
	return wait < time.Duration(maxTurnoverShare*float64(turnover))
}

// Turnover returns how long an engine takes to fill its cache at a rate of new
// tokens a second.
func CacheTurnover(cacheTokens int, newTokens float64) time.Duration {
	if newTokens <= 0 {
		return 24 * time.Hour
	}
	seconds := min(float64(cacheTokens)/newTokens, (24 * time.Hour).Seconds())
	return time.Duration(seconds * float64(time.Second))
}
