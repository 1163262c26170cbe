package peerload

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"foxhall/internal/peerload/peerloadpb"
)

func (x *Exchange) receiveDatagram(data []byte, from netip.AddrPort) {
	load := &peerloadpb.Load{}
	if proto.Unmarshal(data, load) != nil || !isConsistent(load) {
		return
	}
	if len(load.Standing) > 0 {
		if x.onKeeperStatus != nil {
			x.onKeeperStatus(load.Standing)
		}
		return
	}
	now, from := time.Now(), netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	if hasOrigins(load) {
		x.receiveOrigins(load, from)
		return
	}
	if hasContents(load) {
		x.receiveContents(load, from, now)
		return
	}
	if len(load.Counted) > 0 {
		x.mergeCounts(load, now)
		return
	}
	x.RecordLoad(load, now)
	x.recordAddress(load.From, from)
	if x.quotas != nil {
		x.quotas.Merge(decodeQuotaReport(load), now)
	}
}
