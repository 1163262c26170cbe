package history

import (
	"os"
	"testing"

	"foxhall/internal/fuzzing"
)

// defaultChecks is how many checks a random test runs.
const defaultChecks = 60

// TestMain fixes the seed of the random tests and has each run defaultChecks, unless flags set others.
func TestMain(m *testing.M) {
	fuzzing.Fix(20261203, defaultChecks)
	os.Exit(m.Run())
}
