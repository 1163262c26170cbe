//go:build race

package fuzzing

import "runtime"

// Under the race detector a package's tests run on one processor. Go 1.26 gives all
// timers of a bubble of testing/synctest one race context, and two processors that run
// timers of a bubble at once corrupt it: the process dies in the detector's runtime with
// no assertion failed.
func init() { runtime.GOMAXPROCS(1) }
