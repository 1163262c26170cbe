package node

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"foxhall/internal/mirror"
)

// An instance that has just started knows no data centre, its own included, and can't tell that
// it is cut off.
func TestOwnDataCentreIsKnownFromTheStart(t *testing.T) {
	is := is.New(t)
	f := newFleet(&Settings{Instance: "a", DataCentre: "x"}, mirror.New(), nil, &log.Logger{Handler: discard.Default})
	f.refresh()
	is.Equal(f.dataCentres(), []string{"x"})
}
