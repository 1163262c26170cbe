package peerload

import (
	"net"
	"slices"
	"time"

	"foxhall/internal/limit"
	"foxhall/internal/peerload/peerloadpb"
)

// maxCountsPerDatagram is the number of customers in one datagram, which fits in maxDatagramBytes.
const maxCountsPerDatagram = 400

// Quotas exchanges customers' usage with other instances.
type Quotas interface {
	// Report returns the usage to report, and the names of instances to which it is sent at once,
	// in addition to the next peers of the round.
	Report(now time.Time) (report limit.QuotaReport, atOnce []string)
	// NewInstances returns the names of instances that have started, and the report for them.
	NewInstances(now time.Time) (instances []string, report limit.QuotaReport)
	Merge(report limit.QuotaReport, now time.Time)
}

// SetQuotas sets the quotas that exchange customers' usage. It must be called before Run.
func (x *Exchange) SetQuotas(q Quotas) { x.quotas = q }

// addUsage adds the customers' usage to a load, and returns the names of instances to which it is
// sent at once.
func (x *Exchange) addUsage(load *peerloadpb.Load, now time.Time) (atOnce []string) {
	if x.quotas == nil {
		return nil
	}
	report, atOnce := x.quotas.Report(now)
	load.Run, load.KnownMs = report.Incarnation, uint32(report.ObservedFor.Milliseconds())
	for _, u := range report.Usage {
		load.Customers = append(load.Customers, u.Customer)
		load.Made = append(load.Made, u.Admitted)
		load.Recent = append(load.Recent, u.Recent)
	}
	return atOnce
}

// reportToNewInstances sends the window's counts to instances that have started.
func (x *Exchange) reportToNewInstances(conn *net.UDPConn) {
	if x.quotas == nil {
		return
	}
	instances, report := x.quotas.NewInstances(time.Now())
	if len(instances) == 0 {
		return
	}
	x.mu.Lock()
	peers := x.addPeers(nil, instances)
	x.mu.Unlock()
	for part := range slices.Chunk(report.WindowCounts, maxCountsPerDatagram) {
		load := &peerloadpb.Load{From: x.name, DataCentre: x.dataCentre, Run: report.Incarnation, KnownMs: uint32(report.ObservedFor.Milliseconds())}
		for _, c := range part {
			load.CountedCustomers = append(load.CountedCustomers, c.Customer)
			load.Counted = append(load.Counted, c.Calls)
		}
		x.sendTo(conn, load, peers)
	}
}

// mergeCounts merges the counts that another instance sends to this one after its start.
func (x *Exchange) mergeCounts(load *peerloadpb.Load, now time.Time) {
	if x.quotas != nil {
		x.quotas.Merge(decodeQuotaReport(load), now)
	}
}

// isConsistent reports whether parallel lists have equal lengths.
func isConsistent(l *peerloadpb.Load) bool {
	return len(l.Calls) == len(l.Upstreams) && len(l.Backlog) == len(l.Upstreams) &&
		len(l.Made) == len(l.Customers) && len(l.Recent) == len(l.Customers) &&
		len(l.Counted) == len(l.CountedCustomers)
}

func decodeQuotaReport(l *peerloadpb.Load) limit.QuotaReport {
	report := limit.QuotaReport{From: l.From, Incarnation: l.Run, ObservedFor: time.Duration(l.KnownMs) * time.Millisecond}
	for i, customer := range l.Customers {
		report.Usage = append(report.Usage, limit.CallUsage{Customer: customer, Admitted: l.Made[i], Recent: l.Recent[i]})
	}
	for i, customer := range l.CountedCustomers {
		report.WindowCounts = append(report.WindowCounts, limit.WindowCount{Customer: customer, Calls: l.Counted[i]})
	}
	return report
}
