//go:build race

package fuzzing

import "runtime"

// init limits a package's tests to one processor under the race detector. In Go 1.26 all timers
// of a testing/synctest bubble share one race context, and two processors that run timers of a
// bubble at the same time corrupt it: the process crashes in the detector's runtime without a
// failed assertion.
func init() { runtime.GOMAXPROCS(1) }
