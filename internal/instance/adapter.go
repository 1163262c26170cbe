package instance

import (
	"context"

	"github.com/pkg/errors"

	"foxhall/internal/config"
	"foxhall/internal/ledger"
	"foxhall/internal/owner"
	"foxhall/internal/plan"
	"foxhall/internal/program"
	"foxhall/internal/tool"
	"foxhall/internal/usage"
)

// lists exposes only the lists in force of a config.Source.
type lists struct{ source *config.Source }

// Lists returns the lists in force, or nil while there are none.
func (l lists) Lists() (*plan.List, *usage.List) {
	current := l.source.Current()
	if current == nil {
		return nil, nil
	}
	return current.Plans, current.Usage
}

// catalogue implements owner.Catalogue.
type catalogue struct{ source *config.Source }

// MayRepeat implements owner.Catalogue.
func (c catalogue) MayRepeat(service, method, path string) bool {
	_, usageList := lists(c).Lists()
	if usageList == nil {
		return false
	}
	s := usageList.Service(service)
	return s != nil && s.MayRepeat(method, path)
}

// cohortLog implements owner.Log on top of a ledger.Log.
type cohortLog struct{ log *ledger.Log }

// Append implements owner.Log.
func (c cohortLog) Append(ctx context.Context, records ...owner.Record) error {
	return ownerLogError(c.log.Append(ctx, toLedger(records)...))
}

// AppendOrReplicate implements owner.Log.
func (c cohortLog) AppendOrReplicate(ctx context.Context, records ...owner.Record) error {
	return ownerLogError(c.log.AppendOrReplicate(ctx, toLedger(records)...))
}

// Available implements owner.Log.
func (c cohortLog) Available() bool { return c.log.Available() }

func toLedger(records []owner.Record) []ledger.Record {
	converted := make([]ledger.Record, len(records))
	for i, r := range records {
		converted[i] = ledger.Record{Program: r.Program, Event: r.Event, Kind: ledger.Kind(r.Kind)}
	}
	return converted
}

// ownerLogError maps an error of the ledger to one of package owner. Only errors after which the
// ledger guarantees that nothing was written map to a definite failure; any other error maps to
// owner.ErrOutcomeUnknown.
func ownerLogError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ledger.ErrFenced):
		return errors.Wrap(owner.ErrFenced, err.Error())
	case errors.Is(err, ledger.ErrUnavailable), errors.Is(err, ledger.ErrClosed):
		return errors.Wrap(owner.ErrUnavailable, err.Error())
	case errors.Is(err, ledger.ErrTooLarge):
		return errors.Wrap(owner.ErrTooLarge, err.Error())
	default:
		return errors.Wrap(owner.ErrOutcomeUnknown, err.Error())
	}
}

// snapshots implements ledger.Snapshotter. It holds the instance and not the owner service, because
// the log is opened before the owner service exists.
type snapshots struct{ instance *Instance }

// Snapshot implements ledger.Snapshotter.
func (s snapshots) Snapshot(id program.ID) ([]byte, bool) { return s.instance.owner.Snapshot(id) }

// lookup implements owner.Lookup.
type lookup struct{ instance *Instance }

// Find implements owner.Lookup.
func (l lookup) Find(ctx context.Context, service, key string) (*owner.LookupResult, error) {
	_, usageList := lists{l.instance.config}.Lists()
	if usageList == nil {
		return nil, errors.New("instance: no usage list")
	}
	s := usageList.Service(service)
	if s == nil || s.Lookup == "" {
		return nil, nil
	}
	var lastErr error
	for _, endpoint := range l.instance.table.Snapshot().Service(service) {
		found, err := l.instance.tools.Lookup(ctx, endpoint.Upstream.Address, s.Lookup, key)
		if err != nil {
			lastErr = err
			continue
		}
		return toLookupResult(found), nil
	}
	return nil, lastErr
}

// toLookupResult returns nil unless the service reports the call as done.
func toLookupResult(f tool.LookupResponse) *owner.LookupResult {
	if f.State != tool.StateDone {
		return nil
	}
	return &owner.LookupResult{Status: f.Status, ContentType: f.ContentType, Body: f.Body}
}
