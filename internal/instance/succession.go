package instance

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"foxhall/internal/ledger"
	"foxhall/internal/owner"
	"foxhall/internal/ownership"
	"foxhall/internal/peer"
	"foxhall/internal/peer/peerpb"
	"foxhall/internal/program"
)

// adopter implements ownership.Adopter with the owner service.
type adopter struct{ instance *Instance }

// Adopt implements ownership.Adopter.
func (a adopter) Adopt(ctx context.Context, from ownership.Adoption) error {
	return a.instance.owner.Adopt(ctx, owner.Adoption{
		Cohort:   from.Cohort,
		Shard:    from.Shard,
		Records:  toOwner(from.Records),
		Tail:     owner.Tail{Records: toOwner(from.Tail.Records), Uncertain: from.Tail.Uncertain},
		Unproven: from.Unproven,
	})
}

// AdoptLate implements ownership.Adopter.
func (a adopter) AdoptLate(ctx context.Context, c program.Cohort, records []ledger.Record) error {
	return a.instance.owner.AdoptLate(ctx, c, toOwner(records))
}

func toOwner(records []ledger.Record) []owner.Record {
	converted := make([]owner.Record, len(records))
	for i, r := range records {
		converted[i] = owner.Record{Program: r.Program, Event: r.Event, Kind: owner.RecordKind(r.Kind)}
	}
	return converted
}

// notifier implements ownership.Notifier with calls to peers.
type notifier struct{ instance *Instance }

// Sealed implements ownership.Notifier.
func (n notifier) Sealed(ctx context.Context, m ownership.Member, c program.Cohort) {
	_, _ = n.instance.peers.AdoptNotice(ctx, m.Addr, &peerpb.AdoptNoticeRequest{Cohort: string(c), Successor: string(m.Cohort)})
}

// successors implements ledger.Successors and owner.Successor: it sends records and outcomes to the
// instances that took over programs from this one.
type successors struct{ instance *Instance }

// Offer implements ledger.Successors.
func (s successors) Offer(ctx context.Context, seal *ledger.Seal, c ledger.Copy) error {
	parts := map[program.Cohort]ledger.Copy{}
	for _, r := range c.Records {
		successor := seal.Successors[r.Program.Shard()]
		part := parts[successor]
		part.Cohort = c.Cohort
		part.Records = append(part.Records, r)
		parts[successor] = part
	}
	var group errgroup.Group
	for _, part := range parts {
		group.Go(func() error { return s.offerPart(ctx, part) })
	}
	return group.Wait()
}

// offerPart offers the records of one successor to the current owner of their programs.
func (s successors) offerPart(ctx context.Context, part ledger.Copy) error {
	successor, err := s.instance.ownership.Directory().Locate(ctx, part.Records[0].Program)
	if err != nil {
		return err
	}
	if successor.IsSelf {
		return s.instance.ownership.AcceptOffered(ctx, part)
	}
	response, err := s.instance.peers.Offer(ctx, successor.Addr, &peerpb.OfferRequest{
		Cohort:  string(part.Cohort),
		Sender:  string(s.instance.cohort),
		Records: copyToWire(part),
	})
	if err == nil && !response.GetAccepted() {
		err = errors.New("instance: offer not accepted: " + response.GetReason())
	}
	return err
}

// Report implements owner.Successor.
func (s successors) Report(ctx context.Context, r owner.Report) error {
	successor, err := s.instance.ownership.Directory().Locate(ctx, r.Program)
	if err != nil {
		return err
	}
	outcome, err := json.Marshal(r.Resolution)
	if err != nil {
		return errors.Wrap(err, "instance: encode outcome")
	}
	if successor.IsSelf {
		return s.instance.owner.AcceptReport(ctx, r)
	}
	response, err := s.instance.peers.ReportOutcome(ctx, successor.Addr, &peerpb.ReportOutcomeRequest{
		Program: string(r.Program), Step: uint64(r.Resolution.Number), Sender: string(s.instance.cohort), Outcome: outcome,
	})
	if err == nil && !response.GetAccepted() {
		err = errors.New("instance: outcome not accepted")
	}
	return err
}

// successorService serves the calls of former owners and of instances that sealed a log.
type successorService struct{ instance *Instance }

var _ peer.Successor = successorService{}

// Offer implements peer.Successor.
func (s successorService) Offer(ctx context.Context, r *peerpb.OfferRequest) (*peerpb.OfferResponse, error) {
	offered, err := copyFromWire(program.Cohort(r.GetCohort()), r.GetRecords())
	if err != nil {
		return nil, peer.Invalid(err.Error())
	}
	if err := s.instance.ownership.AcceptOffered(ctx, offered); err != nil {
		return &peerpb.OfferResponse{Reason: err.Error()}, nil
	}
	return &peerpb.OfferResponse{Accepted: true}, nil
}

// AdoptNotice implements peer.Successor.
func (s successorService) AdoptNotice(_ context.Context, r *peerpb.AdoptNoticeRequest) (*peerpb.AdoptNoticeResponse, error) {
	s.instance.ownership.ObserveSealed(program.Cohort(r.GetCohort()))
	return &peerpb.AdoptNoticeResponse{}, nil
}

// ReportOutcome implements peer.Successor.
func (s successorService) ReportOutcome(ctx context.Context, r *peerpb.ReportOutcomeRequest) (*peerpb.ReportOutcomeResponse, error) {
	id, err := program.ParseID(r.GetProgram())
	if err != nil {
		return nil, peer.Invalid(err.Error())
	}
	report := owner.Report{Program: id}
	if err := json.Unmarshal(r.GetOutcome(), &report.Resolution); err != nil {
		return nil, peer.Invalid("malformed outcome")
	}
	err = s.instance.owner.AcceptReport(ctx, report)
	return &peerpb.ReportOutcomeResponse{Accepted: err == nil}, nil
}
