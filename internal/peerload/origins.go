package peerload

import (
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"foxhall/internal/origin"
	"foxhall/internal/peerload/peerloadpb"
)

// maxOriginsPerDatagram bounds the records of one datagram, so that it fits in maxDatagramBytes with versions
// of origin.MaxVersionBytes.
const maxOriginsPerDatagram = 64

// origins exchanges at which versions streams began.
type origins struct {
	registry *origin.Registry
	// sent and bytes count datagrams and their payloads.
	sent, bytes, failed metrics.Counter
}

// SetOrigins sets the registry to which datagrams about the versions of streams go. It must be called before
// Run.
func (x *Exchange) SetOrigins(r *origin.Registry, registry metrics.Registry) {
	x.origins = &origins{
		registry: r,
		sent:     metrics.GetOrRegisterCounter("streams.origin.datagrams.sent", registry),
		bytes:    metrics.GetOrRegisterCounter("streams.origin.datagrams.bytes", registry),
		failed:   metrics.GetOrRegisterCounter("streams.origin.datagrams.failed", registry),
	}
}

// TellOrigins sends records of streams to an instance.
func (x *Exchange) TellOrigins(to netip.AddrPort, records []origin.Record) {
	for len(records) > 0 {
		n := min(len(records), maxOriginsPerDatagram)
		load := &peerloadpb.Load{}
		for _, r := range records[:n] {
			load.Origins = append(load.Origins, &peerloadpb.StreamOrigin{
				Stream: uint64(r.Key), Version: r.Version, LifeMs: uint32(r.Life.Milliseconds()),
			})
		}
		x.sendOrigins(load, to)
		records = records[n:]
	}
}

// AskOrigin sends a question about a stream to an instance.
func (x *Exchange) AskOrigin(to netip.AddrPort, q origin.Question) {
	x.sendOrigins(&peerloadpb.Load{OriginQuestion: &peerloadpb.OriginQuestion{
		Stream: uint64(q.Key), Service: q.Service, LifeMs: uint32(q.Life.Milliseconds()), ViewMs: uint32(q.ViewSpan.Milliseconds()),
	}}, to)
}

func (x *Exchange) sendOrigins(load *peerloadpb.Load, to netip.AddrPort) {
	conn, o := x.conn.Load(), x.origins
	if conn == nil || o == nil {
		return
	}
	load.Contents = []*peerloadpb.QuarantinedContent{{}}
	data, err := proto.Marshal(load)
	if err == nil {
		_, err = conn.WriteToUDPAddrPort(data, to)
	}
	if err != nil {
		o.failed.Inc(1)
		x.logger.WithError(err).WithField("to", to.String()).Debug("datagram about the version of a stream not sent")
		return
	}
	o.sent.Inc(1)
	o.bytes.Inc(int64(len(data)))
}

// hasOrigins reports whether a datagram is about the versions of streams.
func hasOrigins(l *peerloadpb.Load) bool {
	return len(l.Origins) > 0 || l.OriginQuestion != nil || l.OriginAnswer != nil
}

// receiveOrigins handles records, a question or an answer.
func (x *Exchange) receiveOrigins(load *peerloadpb.Load, from netip.AddrPort) {
	if x.origins == nil {
		return
	}
	registry := x.origins.registry
	if len(load.Origins) > 0 {
		registry.Receive(decodeOrigins(load.Origins))
	}
	if q := load.OriginQuestion; q != nil {
		a := registry.Answer(origin.Question{Key: origin.Key(q.Stream), Service: q.Service, Life: milliseconds(q.LifeMs), ViewSpan: milliseconds(q.ViewMs)})
		x.sendOrigins(&peerloadpb.Load{OriginAnswer: &peerloadpb.OriginAnswer{
			Stream: uint64(a.Key), Known: a.Known, Conflict: a.Conflict, Vouches: a.Vouches, Version: a.Version, Only: a.Only, Listened: a.Listened,
			Covers: a.Covers,
		}}, from)
	}
	if a := load.OriginAnswer; a != nil {
		registry.ReceiveAnswer(from, origin.Answer{
			Key: origin.Key(a.Stream), Known: a.Known, Conflict: a.Conflict, Vouches: a.Vouches, Version: a.Version, Only: a.Only, Listened: a.Listened,
			Covers: a.Covers,
		})
	}
}

func decodeOrigins(list []*peerloadpb.StreamOrigin) []origin.Record {
	records := make([]origin.Record, 0, len(list))
	for _, o := range list {
		records = append(records, origin.Record{Key: origin.Key(o.Stream), Version: o.Version, Life: milliseconds(o.LifeMs)})
	}
	return records
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
