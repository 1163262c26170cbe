package placement

import "time"

// maxTurnoverShare is the fraction of an engine's cache turnover time up to which a program's cache
// is retained during a wait.
const maxTurnoverShare = 0.5

// ShouldRetainCache reports whether an engine should retain a program's cache while the program
// waits for a tool. Turnover is how long the engine takes to fill its cache with new tokens. A block
// retained for longer displaces blocks that would be used sooner, and would soon be evicted itself.
func ShouldRetainCache(wait, turnover time.Duration) bool {
	return wait < time.Duration(maxTurnoverShare*float64(turnover))
}

// CacheTurnover returns how long an engine takes to fill a cache of cacheTokens tokens at a rate of
// newTokens tokens per second, at most 24 hours.
func CacheTurnover(cacheTokens int, newTokens float64) time.Duration {
	if newTokens <= 0 {
		return 24 * time.Hour
	}
	seconds := min(float64(cacheTokens)/newTokens, (24 * time.Hour).Seconds())
	return time.Duration(seconds * float64(time.Second))
}
