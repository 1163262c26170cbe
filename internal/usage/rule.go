package usage

import (
	"net/netip"
	"regexp"
	"strings"

	"foxhall/internal/listfile"
	"foxhall/internal/plan"
)

const (
	// maxPriceMicros rejects prices in the wrong unit.
	maxPriceMicros = plan.Micros(1e12)
	maxTokens      = 1e10
	maxSlots       = 1e5
	maxWeight      = 1e6
)

var repeatablePattern = regexp.MustCompile(`^[A-Z]+ /[^*\s]*\*?$`)

func (l *List) check() error {
	c := l.Checker()
	l.checkModels(c)
	l.checkServices(c)
	l.checkUpstreams(c)
	l.checkGrants(c)
	return c.Problems.Err()
}

func (l *List) checkModels(c *listfile.Checker) {
	seen := map[string]bool{}
	for i := range l.Models {
		m := &l.Models[i]
		c.BeginEntry("model", i, m.Name)
		c.ValidName("name", m.Name)
		c.Unique("name", seen, m.Name)
		c.IntRange("prompt_price_micros", int64(m.PromptPrice), 0, int64(maxPriceMicros))
		c.IntRange("output_price_micros", int64(m.OutputPrice), 0, int64(maxPriceMicros))
		c.IntRange("context_tokens", int64(m.ContextTokens), 0, maxTokens)
	}
}

func (l *List) checkServices(c *listfile.Checker) {
	seen := map[string]bool{}
	for i := range l.Services {
		s := &l.Services[i]
		c.BeginEntry("service", i, s.Name)
		c.ValidName("name", s.Name)
		c.Unique("name", seen, s.Name)
		c.IntRange("call_price_micros", int64(s.CallPrice), 0, int64(maxPriceMicros))
		s.checkCalls(c)
	}
}

func (s *Service) checkCalls(c *listfile.Checker) {
	for _, pattern := range s.Repeatable {
		if !repeatablePattern.MatchString(pattern) {
			c.AddProblem("repeatable", `"METHOD /path", with * only at the end`, "%q", pattern)
		}
	}
	if s.Lookup != "" && !strings.HasPrefix(s.Lookup, "/") {
		c.AddProblem("lookup", "a path that begins with /", "%q", s.Lookup)
	}
}

func (l *List) checkUpstreams(c *listfile.Checker) {
	seen := map[string]bool{}
	for i := range l.Upstreams {
		u := &l.Upstreams[i]
		c.BeginEntry("upstream", i, u.Name)
		c.ValidName("name", u.Name)
		c.Unique("name", seen, u.Name)
		c.ValidName("data_centre", u.DataCentre)
		c.IntRange("slots", int64(u.Slots), 0, maxSlots)
		c.IntRange("cache_tokens", int64(u.CacheTokens), 0, maxTokens)
		if _, err := netip.ParseAddrPort(u.Address); err != nil {
			c.AddProblem("address", "host:port by IP number", "%q", u.Address)
		}
		l.checkOffer(c, u)
	}
}

// checkOffer checks that the models or the service of an upstream are in this list and fit its kind.
func (l *List) checkOffer(c *listfile.Checker, u *Upstream) {
	switch u.Kind {
	case KindEngine:
		if u.Service != "" {
			c.AddProblem("service", "no service on an engine", "%q", u.Service)
		}
		l.checkModelRefs(c, u.Models)
	case KindService:
		if len(u.Models) > 0 {
			c.AddProblem("models", "no models on a service", "%q", u.Models)
		}
		if l.services[u.Service] == nil {
			c.AddProblem("service", "a service of this list", "%q", u.Service)
		}
	default:
		c.AddProblem("kind", `"engine" or "service"`, "%q", u.Kind)
	}
}

func (l *List) checkGrants(c *listfile.Checker) {
	seen, dataCentres := map[string]bool{}, l.dataCentres()
	for i := range l.Grants {
		g := &l.Grants[i]
		c.BeginEntry("grant", i, g.Plan)
		c.ValidName("plan", g.Plan)
		c.Unique("plan", seen, g.Plan)
		c.FloatRange("latency_weight", g.LatencyWeight, maxWeight)
		c.FloatRange("cache_weight", g.CacheWeight, maxWeight)
		l.checkModelRefs(c, g.Models)
		for _, name := range g.Services {
			if l.services[name] == nil {
				c.AddProblem("services", "a service of this list", "%q", name)
			}
		}
		for _, name := range g.DataCentres {
			if !dataCentres[name] {
				c.AddProblem("data_centres", "a data centre in which an upstream stands", "%q", name)
			}
		}
	}
}

func (l *List) checkModelRefs(c *listfile.Checker, names []string) {
	for _, name := range names {
		if l.models[name] == nil {
			c.AddProblem("models", "a model of this list", "%q", name)
		}
	}
}

// dataCentres returns the data centres that have an upstream.
func (l *List) dataCentres() map[string]bool {
	found := map[string]bool{}
	for i := range l.Upstreams {
		found[l.Upstreams[i].DataCentre] = true
	}
	return found
}
