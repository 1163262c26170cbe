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
		c.Enter("model", i, m.Name)
		c.Name("name", m.Name)
		c.Unique("name", seen, m.Name)
		c.Range("prompt_price_micros", int64(m.PromptPrice), 0, int64(maxPriceMicros))
		c.Range("output_price_micros", int64(m.OutputPrice), 0, int64(maxPriceMicros))
		c.Range("context_tokens", int64(m.ContextTokens), 0, maxTokens)
	}
}

func (l *List) checkServices(c *listfile.Checker) {
	seen := map[string]bool{}
	for i := range l.Services {
		s := &l.Services[i]
		c.Enter("service", i, s.Name)
		c.Name("name", s.Name)
		c.Unique("name", seen, s.Name)
		c.Range("call_price_micros", int64(s.CallPrice), 0, int64(maxPriceMicros))
		s.checkCalls(c)
	}
}

func (s *Service) checkCalls(c *listfile.Checker) {
	for _, pattern := range s.Repeatable {
		if !repeatablePattern.MatchString(pattern) {
			c.Add("repeatable", `"METHOD /path", with * only at the end`, "%q", pattern)
		}
	}
	if s.Lookup != "" && !strings.HasPrefix(s.Lookup, "/") {
		c.Add("lookup", "a path that begins with /", "%q", s.Lookup)
	}
}

func (l *List) checkUpstreams(c *listfile.Checker) {
	seen := map[string]bool{}
	for i := range l.Upstreams {
		u := &l.Upstreams[i]
		c.Enter("upstream", i, u.Name)
		c.Name("name", u.Name)
		c.Unique("name", seen, u.Name)
		c.Name("data_centre", u.DataCentre)
		c.Range("slots", int64(u.Slots), 0, maxSlots)
		c.Range("cache_tokens", int64(u.CacheTokens), 0, maxTokens)
		if _, err := netip.ParseAddrPort(u.Address); err != nil {
			c.Add("address", "host:port by IP number", "%q", u.Address)
		}
		l.checkOffer(c, u)
	}
}

// checkOffer checks that the models or the service of an upstream are in this list and fit its kind.
func (l *List) checkOffer(c *listfile.Checker, u *Upstream) {
	switch u.Kind {
	case KindEngine:
		if u.Service != "" {
			c.Add("service", "no service on an engine", "%q", u.Service)
		}
		l.checkModelRefs(c, u.Models)
	case KindService:
		if len(u.Models) > 0 {
			c.Add("models", "no models on a service", "%q", u.Models)
		}
		if l.services[u.Service] == nil {
			c.Add("service", "a service of this list", "%q", u.Service)
		}
	default:
		c.Add("kind", `"engine" or "service"`, "%q", u.Kind)
	}
}

func (l *List) checkGrants(c *listfile.Checker) {
	seen, dataCentres := map[string]bool{}, l.dataCentres()
	for i := range l.Grants {
		g := &l.Grants[i]
		c.Enter("grant", i, g.Plan)
		c.Name("plan", g.Plan)
		c.Unique("plan", seen, g.Plan)
		c.Number("latency_weight", g.LatencyWeight, maxWeight)
		c.Number("cache_weight", g.CacheWeight, maxWeight)
		l.checkModelRefs(c, g.Models)
		for _, name := range g.Services {
			if l.services[name] == nil {
				c.Add("services", "a service of this list", "%q", name)
			}
		}
		for _, name := range g.DataCentres {
			if !dataCentres[name] {
				c.Add("data_centres", "a data centre in which an upstream stands", "%q", name)
			}
		}
	}
}

func (l *List) checkModelRefs(c *listfile.Checker, names []string) {
	for _, name := range names {
		if l.models[name] == nil {
			c.Add("models", "a model of this list", "%q", name)
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
