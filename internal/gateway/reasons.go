package gateway

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

// customersCounted bounds the customers that have counters of their own.
const maxCustomerCounters = 64

// refusals counts why calls were not answered whole, and whose were over their quotas.
type reasonCounters struct {
	registry metrics.Registry

	mu        sync.Mutex
	customers map[string]metrics.Counter
}

func newReasonCounters(registry metrics.Registry) *reasonCounters {
	return &reasonCounters{registry: registry, customers: map[string]metrics.Counter{}}
}

func (r *reasonCounters) count(reason Reason, customer string) {
	metrics.GetOrRegisterCounter("gateway.reasons."+string(reason), r.registry).Inc(1)
	if reason == OverQuota {
		r.overQuotaCounter(customer).Inc(1)
	}
}

// overQuota returns the customer's counter, or that of all who came after the first ones.
func (r *reasonCounters) overQuotaCounter(customer string) metrics.Counter {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.customers[customer]; c != nil {
		return c
	}
	if len(r.customers) >= maxCustomerCounters {
		customer = "others"
	}
	c := metrics.GetOrRegisterCounter("gateway.over_quota."+customer, r.registry)
	if len(r.customers) < maxCustomerCounters {
		r.customers[customer] = c
	}
	return c
}
