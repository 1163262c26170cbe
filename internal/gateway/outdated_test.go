package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/routing"
)

// Guards against calls that are refused for good by a configuration that lacks a route or key which the present one has,
// and against ones that wait although the configuration in force has theirs, or past half of their time.
func TestCallsAreRefusedForGoodOnlyByACurrentConfiguration(t *testing.T) {
	const confirming, patience = 50 * time.Millisecond, 20 * time.Millisecond
	known, unknown := digestOf("k1"), digestOf("k2")
	for _, c := range []struct {
		name    string
		key     *routing.KeyDigest
		path    string
		current bool
		// present are the prefix and the key in the configuration that confirming brings.
		presentPrefix string
		presentKey    *routing.KeyDigest
		deadline      time.Duration
		reason        Reason
		waits         time.Duration
	}{
		{"route and key in force", known, "/a/x", false, "/a/", known, 0, "", 0},
		{"route not confirmed", known, "/b/x", false, "/a/", known, 0, ConfigurationUnconfirmed, confirming},
		{"key not confirmed", unknown, "/a/x", false, "/a/", known, 0, ConfigurationUnconfirmed, confirming},
		{"route confirmed", known, "/b/x", true, "/a/", known, 0, NoRoute, confirming},
		{"key confirmed", unknown, "/a/x", true, "/a/", known, 0, UnknownKey, confirming},
		{"route added", known, "/b/x", true, "/b/", known, 0, "", confirming},
		{"key added", unknown, "/a/x", true, "/a/", unknown, 0, "", confirming},
		{"route added, key unknown", unknown, "/b/x", true, "/b/", known, 0, UnknownKey, confirming},
		{"little time", known, "/b/x", true, "/b/", known, 2 * patience, ConfigurationUnconfirmed, patience},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := outdatedTable(t, 1, "/a/", known)
				w := newTestGateway(routing.Service{Name: "s"}, nil, Settings{}, routing.Route{}, nil, succeedsWith("done"))
				w.gateway.settings.Table = func() *routing.Table { return table }
				w.gateway.settings.TableIsCurrent = func(ctx context.Context) bool {
					if !sleep(ctx, confirming) {
						return false
					}
					table = outdatedTable(t, 2, c.presentPrefix, c.presentKey)
					return c.current
				}
				call := Call{ID: "r", Host: "h", Path: c.path, Key: c.key, Arrived: time.Now()}
				if c.deadline > 0 {
					call.Deadline = call.Arrived.Add(c.deadline)
				}
				result := w.gateway.Serve(t.Context(), &call, &fakeCaller{})
				is.Equal(result.Reason, c.reason)
				is.Equal(time.Since(call.Arrived), c.waits)
				is.Equal(result.RetryAfter > 0, c.reason == ConfigurationUnconfirmed)
				is.Equal(len(w.replicas.attempts) == 0, c.reason != "")
				time.Sleep(settleTimeout)
			})
		})
	}
}

func outdatedTable(t *testing.T, version uint64, prefix string, key *routing.KeyDigest) *routing.Table {
	customers := newCustomers(t, routing.Customer{Name: "one", Keys: []routing.KeyDigest{*key}})
	route := routing.Route{Host: "h", Prefix: prefix, Kind: routing.AtMostOnce, Timeout: time.Second, Attempts: 1}
	route.Services = []routing.WeightedService{{Service: "s", Weight: 1}}
	return routing.NewTable(version, routing.Limits{}, customers, []routing.Route{route}, []routing.Service{{Name: "s"}})
}
