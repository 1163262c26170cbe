// Package fuzzing sets a fixed seed and number of checks for property tests, so that every run of
// a package's tests has the same result.
package fuzzing

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"

	"go.uber.org/goleak"
	_ "pgregory.net/rapid" // registers the flags set by Fix
)

// Fix sets rapid's seed and number of checks and then parses the command line, whose values take
// precedence. It is called from TestMain. Failing inputs are not saved to files, because the seed
// reproduces them.
func Fix(seed, checks int) {
	for name, value := range map[string]string{
		"rapid.seed":       strconv.Itoa(seed),
		"rapid.checks":     strconv.Itoa(checks),
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
}

// RunWithoutLeaks runs a package's tests and returns the exit code. It is 1 if the tests pass but
// goroutines are still running afterwards.
func RunWithoutLeaks(m *testing.M) int {
	code := m.Run()
	if err := goleak.Find(); code == 0 && err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return code
}
