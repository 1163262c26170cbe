package gateway

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

// maxCustomerCounters bounds the number of customers that have counters of their own.
const maxCustomerCounters = 64

// reasonCounters counts calls without a complete response by reason, and calls over quota by
// customer.
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

// overQuotaCounter returns the customer's counter, or the common counter of the customers that
// appeared after maxCustomerCounters others.
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
