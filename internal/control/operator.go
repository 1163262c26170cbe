package control

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"foxhall/internal/membership"
)

// PathStatus is the path at which an instance responds with a Status.
const PathStatus = "/operator/v1/status"

const (
	// surveyInterval is the minimum time between two surveys by one instance,
	// however often its status is requested.
	surveyInterval = time.Second
	// surveyTimeout bounds a survey.
	surveyTimeout = 2 * time.Second
)

// Status is the state of the fleet as one instance sees it, for operators.
type Status struct {
	// Responder is the cohort of the responding instance.
	Responder string `json:"answered"`
	// Isolated reports whether the responding instance has lost contact with most
	// of its data centre and defers actions.
	Isolated      bool               `json:"isolated"`
	ConfigVersion uint64             `json:"config_version"`
	DataCentres   []StatusDataCentre `json:"data_centres"`
	Instances     []StatusInstance   `json:"instances"`
	// Ended lists the instances that were recently declared dead or left.
	Ended  []StatusInstance `json:"gone"`
	Leases []StatusLease    `json:"leases"`
}

// StatusDataCentre is a data centre in a Status.
type StatusDataCentre struct {
	DataCentre string `json:"data_centre"`
	Reachable  bool   `json:"reachable"`
	Live       int    `json:"live"`
	// Outdated is the number of instances with an older configuration version
	// than the newest.
	Outdated int `json:"behind"`
}

// StatusInstance is an instance in a Status.
type StatusInstance struct {
	Instance    string `json:"instance"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	State       string `json:"state"`
	// LeftGracefully reports whether a dead instance announced its own end.
	LeftGracefully bool   `json:"left,omitempty"`
	Size           uint32 `json:"size"`
	ConfigVersion  uint64 `json:"config_version"`
	// Store is "healthy" or "unhealthy", as the instance last reported.
	Store string `json:"store"`
	// AgeSeconds is the age of the instance's last report.
	AgeSeconds float64 `json:"age_seconds"`
	// Reachable reports whether the responding instance reaches this one.
	Reachable bool `json:"reached"`
}

// StatusLease is a duty of the responding instance's data centre.
type StatusLease struct {
	Duty   string `json:"duty"`
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
}

// Surveyor asks members for their current reports.
type Surveyor interface {
	Survey(ctx context.Context, ask func(membership.Member) bool) *membership.View
}

// Operator serves the status for operators over HTTP.
type Operator struct {
	loop       *Loop
	surveyor   Surveyor
	mu         sync.Mutex
	lastSurvey time.Time
	view       *membership.View
}

// NewOperator returns an Operator that reads a loop's snapshots.
func NewOperator(loop *Loop, surveyor Surveyor) *Operator {
	return &Operator{loop: loop, surveyor: surveyor}
}

// Register registers the handler on a group mounted at /operator/v1.
func (o *Operator) Register(group *echo.Group) { group.GET("/status", o.handleStatus) }

func (o *Operator) handleStatus(c echo.Context) error {
	view := o.survey(c.Request().Context(), c.QueryParam("survey") == "all")
	if view == nil {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSON(http.StatusOK, newStatus(view, o.loop.Snapshot(), time.Now()))
}

// survey asks the members whose last known configuration version is outdated, or
// all members, since heartbeats alone report a new version late. Once all are
// known to be up to date it sends no messages, and a client that polls more often
// than surveyInterval gets the result of the last survey.
func (o *Operator) survey(ctx context.Context, all bool) *membership.View {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.view != nil && time.Since(o.lastSurvey) < surveyInterval {
		return o.view
	}
	current := o.loop.Snapshot().Members
	if current == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	newest := newestVersion(current)
	o.view = o.surveyor.Survey(ctx, func(m membership.Member) bool {
		return all || m.Report.ConfigVersion < newest
	})
	o.lastSurvey = time.Now()
	return o.view
}

func newestVersion(v *membership.View) uint64 {
	var newest uint64
	for _, m := range v.Members() {
		newest = max(newest, m.Report.ConfigVersion)
	}
	return newest
}

func newStatus(view *membership.View, s *Snapshot, now time.Time) Status {
	status := Status{
		Responder:     string(view.Self.Cohort),
		Isolated:      view.Isolated,
		ConfigVersion: newestVersion(view),
		DataCentres:   []StatusDataCentre{},
		Instances:     []StatusInstance{},
		Ended:         []StatusInstance{},
		Leases:        []StatusLease{},
	}
	dataCentres := map[string]*StatusDataCentre{}
	for _, c := range view.DataCentres() {
		dataCentres[c.Name] = &StatusDataCentre{DataCentre: c.Name, Reachable: c.Reachable}
	}
	for _, m := range view.Members() {
		if m.State == membership.Dead {
			status.Ended = append(status.Ended, newStatusInstance(m, now))
			continue
		}
		status.Instances = append(status.Instances, newStatusInstance(m, now))
		dataCentre := dataCentres[m.DataCentre()]
		if m.State == membership.Live {
			dataCentre.Live++
		}
		if m.Report.ConfigVersion < status.ConfigVersion {
			dataCentre.Outdated++
		}
	}
	for _, c := range view.DataCentres() {
		status.DataCentres = append(status.DataCentres, *dataCentres[c.Name])
	}
	for _, d := range s.Leases.Duties {
		status.Leases = append(status.Leases, StatusLease{Duty: string(d.Duty), Holder: string(d.Holder), Epoch: d.Epoch})
	}
	return status
}

func newStatusInstance(m membership.Member, now time.Time) StatusInstance {
	store := "unhealthy"
	if m.Report.StoreHealthy {
		store = "healthy"
	}
	parts := strings.Split(string(m.Cohort), ".")
	return StatusInstance{
		Instance:       m.Instance(),
		DataCentre:     m.DataCentre(),
		Incarnation:    parts[len(parts)-1],
		Address:        m.Address,
		State:          m.State.String(),
		LeftGracefully: m.LeftGracefully,
		Size:           m.Report.Size,
		ConfigVersion:  m.Report.ConfigVersion,
		Store:          store,
		AgeSeconds:     max(now.Sub(m.LastReport).Seconds(), 0),
		Reachable:      m.UnreachableSince.IsZero(),
	}
}
