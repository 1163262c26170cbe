package ledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/standin"
	"foxhall/internal/store"
)

// An owner is paused at its start and taken over, and its log is adopted and deleted. When it resumes
// it creates its cohort's object, with which two instances would own its programs. It must find the
// object under the moved key, be fenced, and delete the object that it created.
func TestLateCreationAfterLogDeletionIsReverted(t *testing.T) {
	is := is.New(t)
	var appended, absent error
	var fenced bool
	synctest.Test(t, func(t *testing.T) {
		ctx, platform := context.Background(), standin.NewStore()
		moved := Cohort{Cohort: testCohort, First: 1, Seal: &Seal{By: "sul1.b.two"}, SealNumber: 1}
		_, _ = platform.Put(ctx, MovedKey(testCohort), EncodeCohort(moved), 0)
		tracked := store.Track(platform, nil)
		log, _ := Open(ctx, Options{Cohort: testCohort, Store: tracked})
		time.Sleep(time.Second)
		appended = log.Append(ctx, Record{Program: "sul1.a.one:p", Event: []byte("x")})
		_, _, fenced = log.Fenced()
		_, absent = platform.Get(ctx, CohortKey(testCohort))
		log.Close()
		tracked.Close()
	})
	is.True(errors.Is(appended, ErrFenced))
	is.True(fenced)
	is.True(errors.Is(absent, store.ErrNotFound))
}
