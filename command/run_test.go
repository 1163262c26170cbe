package command

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// An instance with an invalid or missing settings file, or an invalid log level, exits with a usage
// error and does not start.
func TestRunRefusesWrongSettings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, []byte(`{}`), 0o600))
	is.Equal(Run(context.Background(), []string{"foxhall", "run", "--settings", path}), ExitUsage)
	is.Equal(Run(context.Background(), []string{"foxhall", "run", "--settings", path + ".missing"}), ExitUsage)
	is.Equal(Run(context.Background(), []string{"foxhall", "run", "--settings", path, "--log-level", "loud"}), ExitUsage)
}
