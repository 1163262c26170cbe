package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"foxhall/internal/peer"
	"foxhall/internal/plan"
	"foxhall/internal/step"
)

// planContextKey is the key of the caller's plan in the echo.Context.
const planContextKey = "plan"

// authenticate is a middleware that looks up the caller's plan by its bearer key and refuses
// unknown keys.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		plans, _ := s.opt.Config.Lists()
		if plans == nil {
			r := step.Refuse(http.StatusServiceUnavailable, step.CodeOverloaded, "this instance has no configuration yet")
			r.RetryAfter = time.Second
			return s.respond(c, r)
		}
		p := plans.Authenticate(bearerKey(c.Request()))
		if p == nil {
			return s.respond(c, step.Refuse(http.StatusUnauthorized, step.CodeUnauthorized, "the bearer key is not that of a customer"))
		}
		c.Set(planContextKey, p)
		return next(c)
	}
}

func planOf(c echo.Context) *plan.Plan { return c.Get(planContextKey).(*plan.Plan) }

// authenticateOperator is a middleware that refuses requests without the operators' bearer key.
func (s *Server) authenticateOperator(next echo.HandlerFunc) echo.HandlerFunc {
	wantHash, err := hex.DecodeString(s.opt.Operators.KeyHash)
	return func(c echo.Context) error {
		gotHash := sha256.Sum256([]byte(bearerKey(c.Request())))
		if err != nil || len(wantHash) == 0 || subtle.ConstantTimeCompare(gotHash[:], wantHash) != 1 {
			return s.respond(c, step.Refuse(http.StatusUnauthorized, step.CodeUnauthorized, "the bearer key is not an operator's"))
		}
		return next(c)
	}
}

// authenticatePeer is a middleware that refuses requests without the peers' secret.
func (s *Server) authenticatePeer(next echo.HandlerFunc) echo.HandlerFunc {
	wantHash := sha256.Sum256([]byte(s.opt.PeerSecret))
	return func(c echo.Context) error {
		gotHash := sha256.Sum256([]byte(c.Request().Header.Get(peer.HeaderSecret)))
		if subtle.ConstantTimeCompare(gotHash[:], wantHash[:]) != 1 {
			return s.respond(c, step.Refuse(http.StatusUnauthorized, step.CodeUnauthorized, "not a peer"))
		}
		return next(c)
	}
}

// bearerKey returns the key in the Authorization header.
func bearerKey(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return key
}
