package control

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/lease"
	"foxhall/internal/membership"
	"foxhall/internal/program"
)

// fakeSurveyor is a Surveyor in which each member asked reports version 9.
type fakeSurveyor struct {
	table   *membership.Table
	surveys int
	asked   int
}

func newFakeSurveyor(now time.Time) *fakeSurveyor {
	self := membership.Report{Size: 4, ConfigVersion: 9, StoreHealthy: true}
	f := &fakeSurveyor{table: membership.NewTable("bzh1.a.x1", "10.0.0.1:7000", self, membership.DefaultTiming(), now)}
	f.table.Announce(membership.Live, now)
	f.merge("bzh1.b.x2", membership.Live, 1, 8, now)
	f.merge("bzh2.c.x3", membership.Leaving, 1, 9, now)
	f.merge("bzh2.d.x4", membership.Dead, 1, 3, now)
	return f
}

func (f *fakeSurveyor) merge(cohort string, state membership.State, sequence, version uint64, now time.Time) {
	f.table.Merge(membership.Record{
		Cohort:         program.Cohort(cohort),
		Address:        "10.0.0.2:7000",
		State:          state,
		ReportSequence: sequence,
		Report:         membership.Report{Size: 2, ConfigVersion: version, StoreHealthy: true},
	}, now)
}

func (f *fakeSurveyor) Survey(_ context.Context, ask func(membership.Member) bool) *membership.View {
	f.surveys++
	now := time.Now()
	for _, m := range f.table.View(time.Now()).Members() {
		if m.State != membership.Dead && ask(m) {
			f.asked++
			f.merge(string(m.Cohort), m.State, m.ReportSequence+1, 9, now)
		}
	}
	return f.table.View(time.Now())
}

// An operator requests the status right after an edit. The responding instance
// knows from heartbeats that one member has an older version, asks only that one,
// and shows its current version. Dead instances are listed separately, so that an
// operator does not wait for them to update.
func TestStatusSurveysOnlyOutdated(t *testing.T) {
	synctest.Test(t, testStatusSurveysOnlyOutdated)
}

func testStatusSurveysOnlyOutdated(t *testing.T) {
	is := is.New(t)
	f := newFakeSurveyor(time.Now())
	loop := NewLoop(DefaultCapacity, metrics.NewRegistry())
	e := echo.New()
	NewOperator(loop, f).Register(e.Group("/operator/v1"))
	get := func(path string) (int, Status) {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		var s Status
		_ = json.Unmarshal(w.Body.Bytes(), &s)
		return w.Code, s
	}
	code, _ := get(PathStatus)
	is.Equal(code, http.StatusServiceUnavailable) // no view yet
	is.NoErr(loop.Post(MembersChanged{f.table.View(time.Now())}))
	is.NoErr(loop.Post(LeasesChanged{lease.Status{Duties: []lease.DutyStatus{{Duty: lease.Sweeps, Holder: "bzh1.a.x1", Epoch: 3}}}}))
	applyAll(loop)
	code, s := get(PathStatus)
	is.Equal(code, http.StatusOK)
	is.Equal(f.asked, 1)
	is.Equal(len(s.Instances), 3)
	is.Equal(len(s.Ended), 1)
	for _, i := range s.Instances {
		is.Equal(i.ConfigVersion, uint64(9))
	}
	is.Equal(s.Instances[1].Instance, "b")
	is.Equal(s.Instances[2].State, "leaving")
	is.Equal(s.Leases[0].Epoch, uint64(3))
	_, _ = get(PathStatus)
	is.Equal(f.surveys, 1) // a client that polls fast starts no second survey
}
