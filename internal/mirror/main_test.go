package mirror

import (
	"os"
	"testing"

	"foxhall/internal/fuzzing"
)

func TestMain(m *testing.M) {
	fuzzing.Fix(20261203, 300)
	os.Exit(m.Run())
}
