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

// PathStatus is where an instance answers with a Status.
const PathStatus = "/operator/v1/status"

const (
	// surveyEvery is the least time between two surveys by one instance,
	// however often its status is asked for.
	surveyInterval = time.Second
	// surveyTimeout bounds a survey.
	surveyTimeout = 2 * time.Second
)

// Status is what an instance tells operators of the fleet, as it sees it.
type Status struct {
	// Answered is the cohort of the instance that answers.
	Answered string `json:"answered"`
	// Isolated says that it lost most of its data centre at once.
	Isolated      bool               `json:"isolated"`
	ConfigVersion uint64             `json:"config_version"`
	DataCentres   []StatusDataCentre `json:"data_centres"`
	Instances     []StatusInstance   `json:"instances"`
	// Gone are the instances that were declared dead or left lately.
	Gone   []StatusInstance `json:"gone"`
	Leases []StatusLease    `json:"leases"`
}

// StatusCentre is a data centre in a Status.
type StatusDataCentre struct {
	DataCentre string `json:"data_centre"`
	Reachable  bool   `json:"reachable"`
	Live       int    `json:"live"`
	// Behind is the number of instances with an older version than the newest.
	Outdated int `json:"behind"`
}

// StatusInstance is an instance in a Status.
type StatusInstance struct {
	Instance    string `json:"instance"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	State       string `json:"state"`
	// Left says that a dead instance announced its own end.
	LeftGracefully bool   `json:"left,omitempty"`
	Size           uint32 `json:"size"`
	ConfigVersion  uint64 `json:"config_version"`
	// Store is "healthy" or "unhealthy", as the instance last reported.
	Store string `json:"store"`
	// AgeSeconds is the age of the report.
	AgeSeconds float64 `json:"age_seconds"`
	// Reached says whether the answering instance reaches this one.
	Reachable bool `json:"reached"`
}

// StatusLease is a duty of the answering instance's data centre.
type StatusLease struct {
	Duty   string `json:"duty"`
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
}

// Surveyor asks members for their present report.
type Surveyor interface {
	Survey(ctx context.Context, ask func(membership.Member) bool) *membership.View
}

// Operator serves the operators' status.
type Operator struct {
	loop       *Loop
	surveyor   Surveyor
	mu         sync.Mutex
	lastSurvey time.Time
	view       *membership.View
}

// NewOperator returns the endpoint over a loop's snapshots.
func NewOperator(loop *Loop, surveyor Surveyor) *Operator {
	return &Operator{loop: loop, surveyor: surveyor}
}

// Register puts the endpoint on a group mounted at /operator/v1.
func (o *Operator) Register(group *echo.Group) { group.GET("/status", o.handleStatus) }

func (o *Operator) handleStatus(c echo.Context) error {
	view := o.survey(c.Request().Context(), c.QueryParam("survey") == "all")
	if view == nil {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSON(http.StatusOK, newStatus(view, o.loop.Snapshot(), time.Now()))
}

// survey asks the members whose last known version is behind, since heartbeats
// alone bring the news of it late. Once all are known to be up to date it costs
// nothing, and a client that polls fast is answered from the last survey.
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
		Answered:      string(view.Self.Cohort),
		Isolated:      view.Isolated,
		ConfigVersion: newestVersion(view),
		DataCentres:   []StatusDataCentre{},
		Instances:     []StatusInstance{},
		Gone:          []StatusInstance{},
		Leases:        []StatusLease{},
	}
	centres := map[string]*StatusDataCentre{}
	for _, c := range view.DataCentres() {
		centres[c.Name] = &StatusDataCentre{DataCentre: c.Name, Reachable: c.Reachable}
	}
	for _, m := range view.Members() {
		if m.State == membership.Dead {
			status.Gone = append(status.Gone, newStatusInstance(m, now))
			continue
		}
		status.Instances = append(status.Instances, newStatusInstance(m, now))
		centre := centres[m.DataCentre()]
		if m.State == membership.Live {
			centre.Live++
		}
		if m.Report.ConfigVersion < status.ConfigVersion {
			centre.Outdated++
		}
	}
	for _, c := range view.DataCentres() {
		status.DataCentres = append(status.DataCentres, *centres[c.Name])
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
