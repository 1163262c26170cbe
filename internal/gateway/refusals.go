package gateway

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

// customersCounted bounds the customers that have counters of their own.
const customersCounted = 64

// refusals counts why calls were not answered whole, and whose were over their quotas.
type refusals struct {
	registry metrics.Registry

	mu        sync.Mutex
	customers map[string]metrics.Counter
}

func newRefusals(registry metrics.Registry) *refusals {
	return &refusals{registry: registry, customers: map[string]metrics.Counter{}}
}

func (r *refusals) count(reason Reason, customer string) {
	metrics.GetOrRegisterCounter("gateway.reasons."+string(reason), r.registry).Inc(1)
	if reason == OverQuota {
		r.overQuota(customer).Inc(1)
	}
}

// overQuota returns the customer's counter, or that of all who came after the first ones.
func (r *refusals) overQuota(customer string) metrics.Counter {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.customers[customer]; c != nil {
		return c
	}
	if len(r.customers) >= customersCounted {
		customer = "others"
	}
	c := metrics.GetOrRegisterCounter("gateway.over_quota."+customer, r.registry)
	if len(r.customers) < customersCounted {
		r.customers[customer] = c
	}
	return c
}
