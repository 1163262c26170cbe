package gateway

import (
	"context"
	"time"
)

// match finds the call's route and customer. It returns the call's refusal if there is none.
//
// It prevents the following failure: an instance that is cut off from the store and its peers refuses calls for good whose
// route or key was added meanwhile.
func (f *inFlightCall) match(ctx context.Context) *Result {
	refusal := f.matchInForce()
	if refusal == nil || refusal.Reason == NoConfiguration || f.gateway.settings.TableIsCurrent == nil {
		return refusal
	}
	if !f.tableIsCurrent(ctx) {
		result := refused(ConfigurationUnconfirmed, unconfirmedRetryAfter)
		return &result
	}
	return f.matchInForce()
}

// matchInForce is match by the configuration in force.
func (f *inFlightCall) matchInForce() *Result {
	var result Result
	if f.table = f.gateway.settings.Table(); f.table == nil {
		result = refused(NoConfiguration, notReadyRetryAfter)
		return &result
	}
	if f.route = f.table.Match(f.call.Host, f.call.Path); f.route == nil {
		result = refused(NoRoute, 0)
		return &result
	}
	if !f.authenticate() {
		result = refused(UnknownKey, 0)
		return &result
	}
	return nil
}

// tableIsCurrent has the configuration confirmed, for at most half of the time that the call has.
func (f *inFlightCall) tableIsCurrent(ctx context.Context) bool {
	ctx, release := f.gateway.shutdown.untilEnded(ctx)
	defer release()
	if !f.call.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(f.call.Deadline)/2)
		defer cancel()
	}
	return f.gateway.settings.TableIsCurrent(ctx)
}

// authenticate sets the call's customer from its key. It returns false if the route requires a
// key and the call has no valid one. On a public route a valid key still sets the customer.
func (f *inFlightCall) authenticate() bool {
	if f.table.Customers == nil {
		return true
	}
	if f.call.Key != nil {
		f.customer = f.table.Customers.ByKey(*f.call.Key)
	}
	return f.customer != nil || f.route.Public
}
