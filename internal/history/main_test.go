package history

import (
	"os"
	"testing"

	"foxhall/internal/fuzzing"
)

// TestMain fixes the seed of the random tests and has each run 60 checks, unless flags set others.
func TestMain(m *testing.M) {
	fuzzing.Fix(20261203, 60)
	os.Exit(m.Run())
}
