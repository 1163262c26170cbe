package output

import (
	"context"

	"foxhall/internal/output/outputpb"
)

var _ outputpb.Outputs = (*Registry)(nil)

// Find implements outputpb.Outputs.
func (r *Registry) Find(_ context.Context, q *outputpb.FindRequest) (*outputpb.FindResponse, error) {
	response := &outputpb.FindResponse{}
	for call, a := range r.lookup(q.Customer, q.Program, q.After, q.Calls) {
		o := &outputpb.Output{Call: call, Root: a.Root, Parent: a.Parent, Empty: a.Empty, Ambiguous: a.Ambiguous}
		for _, e := range a.Events {
			o.Events = append(o.Events, &outputpb.Event{Id: e.ID, Data: e.Data})
		}
		response.Outputs = append(response.Outputs, o)
	}
	return response, nil
}

// askInstance asks another instance for attempts, by their calls. Those that it doesn't know are missing, and all if it
// gives no answer.
func (r *Registry) askInstance(ctx context.Context, instance string, q *Question, calls []string) map[string]*Answer {
	r.asked.Inc(1)
	logger := r.logger.WithField("request", q.Attempt.Call).WithField("of", instance)
	client, ok := r.peers.Outputs(instance)
	if !ok {
		logger.Info("output of a resumed turn not asked for: instance unreachable")
		return nil
	}
	response, err := client.Find(ctx, &outputpb.FindRequest{Customer: q.Customer, Program: q.Program, After: q.Attempt.After, Calls: calls})
	if err != nil {
		logger.WithError(err).Info("output of a resumed turn not received")
		return nil
	}
	answers := map[string]*Answer{}
	for _, o := range response.Outputs {
		a := &Answer{Root: o.Root, Parent: o.Parent, Empty: o.Empty, Ambiguous: o.Ambiguous}
		for _, e := range o.Events {
			a.Events = append(a.Events, Event{ID: e.Id, Data: e.Data})
		}
		answers[o.Call] = a
	}
	return answers
}
