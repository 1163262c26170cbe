package owner

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"foxhall/internal/program"
)

// Resolution is an operator's decision on a step of unknown outcome.
type Resolution struct {
	Program program.ID `json:"program"`
	Number  int        `json:"number"`
	// Ran indicates that the step had its effect.
	Ran bool `json:"ran"`
	// Operator is the name of the operator who decides, Note the evidence for the decision.
	Operator string `json:"operator"`
	Note     string `json:"note"`
}

// Register adds the operators' endpoints to the group that is mounted at
// /operator/v1 and authenticated there.
func (s *Service) Register(group *echo.Group) {
	group.GET("/programs", s.getPrograms)
	group.GET("/steps", s.getUnknownSteps)
	group.POST("/steps/resolve", s.postResolve)
	group.GET("/earnings", s.getEarnings)
}

func (s *Service) getPrograms(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Programs(c.QueryParam("stalled") == "true"))
}

func (s *Service) getUnknownSteps(c echo.Context) error {
	return c.JSON(http.StatusOK, s.UnknownSteps())
}

func (s *Service) getEarnings(c echo.Context) error {
	since, err := time.Parse(time.RFC3339, c.QueryParam("since"))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "since: a time such as 2026-01-31T00:00:00Z is required")
	}
	return c.JSON(http.StatusOK, s.Earnings(since))
}

func (s *Service) postResolve(c echo.Context) error {
	var body Resolution
	if err := c.Bind(&body); err != nil {
		return err
	}
	if body.Operator == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "operator: who resolves the step is required")
	}
	verdict := program.NotRun
	if body.Ran {
		verdict = program.Done
	}
	err := s.Resolve(c.Request().Context(), body.Program, program.Resolution{
		Number:  body.Number,
		Verdict: verdict,
		Status:  http.StatusOK,
		By:      "operator " + body.Operator,
		Note:    body.Note,
	})
	if err != nil {
		return echo.NewHTTPError(statusOf(err), err.Error())
	}
	return c.NoContent(http.StatusNoContent)
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrNotResident):
		return http.StatusNotFound
	case errors.Is(err, ErrNotUnknown):
		return http.StatusConflict
	case errors.Is(err, ErrFenced):
		return http.StatusMisdirectedRequest
	}
	return http.StatusServiceUnavailable
}
