package node

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/mirror"
)

// Guards against an instance that knows no data centre right after its start, not even its own, and
// so can't detect that it is isolated.
func TestOwnDataCentreIsKnownFromTheStart(t *testing.T) {
	is := is.New(t)
	f := newFleet(&Settings{Instance: "a", DataCentre: "x"}, mirror.New(), nil, &log.Logger{Handler: discard.Default}, metrics.NewRegistry())
	f.refresh()
	is.Equal(f.dataCentres(), []string{"x"})
}
