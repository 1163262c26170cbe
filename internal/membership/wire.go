package membership

import (
	"context"
	"strings"
	"time"

	"foxhall/internal/peer"
	"foxhall/internal/peer/peerpb"
	"foxhall/internal/program"
)

const (
	// maxNameBytes bounds received cohorts and addresses.
	maxNameBytes = 200
	// maxWitnesses bounds the witnesses in a received record.
	maxWitnesses = 8
)

var statesToWire = map[State]peerpb.MemberState{
	Joining: peerpb.MemberState_MEMBER_STATE_JOINING,
	Live:    peerpb.MemberState_MEMBER_STATE_LIVE,
	Suspect: peerpb.MemberState_MEMBER_STATE_SUSPECT,
	Leaving: peerpb.MemberState_MEMBER_STATE_LEAVING,
	Dead:    peerpb.MemberState_MEMBER_STATE_DEAD,
}

var statesFromWire = map[peerpb.MemberState]State{
	peerpb.MemberState_MEMBER_STATE_JOINING: Joining,
	peerpb.MemberState_MEMBER_STATE_LIVE:    Live,
	peerpb.MemberState_MEMBER_STATE_SUSPECT: Suspect,
	peerpb.MemberState_MEMBER_STATE_LEAVING: Leaving,
	peerpb.MemberState_MEMBER_STATE_DEAD:    Dead,
}

func toWire(r Record) *peerpb.MemberRecord {
	m := &peerpb.MemberRecord{
		Cohort:        string(r.Cohort),
		Address:       r.Address,
		State:         statesToWire[r.State],
		Incarnation:   r.Incarnation,
		Beat:          r.ReportSequence,
		Size:          r.Report.Size,
		ConfigVersion: r.Report.ConfigVersion,
		StoreHealthy:  r.Report.StoreHealthy,
		LoadPermille:  r.Report.Load,
		DeadMs:        uint64(r.DeadFor.Milliseconds()),
		Left:          r.LeftGracefully,
	}
	for _, w := range r.Witnesses {
		m.Witnesses = append(m.Witnesses, string(w))
	}
	return m
}

// fromWire decodes a record and reports whether it is well formed. An instance
// of another build may send values that this one does not know; such a record
// is skipped rather than failing the heartbeat.
func fromWire(m *peerpb.MemberRecord) (Record, bool) {
	state, ok := statesFromWire[m.GetState()]
	if !ok || !validCohort(m.GetCohort()) || len(m.GetAddress()) > maxNameBytes || len(m.GetWitnesses()) > maxWitnesses {
		return Record{}, false
	}
	r := Record{
		Cohort:         program.Cohort(m.GetCohort()),
		Address:        m.GetAddress(),
		State:          state,
		Incarnation:    m.GetIncarnation(),
		ReportSequence: m.GetBeat(),
		Report: Report{
			Size:          m.GetSize(),
			ConfigVersion: m.GetConfigVersion(),
			StoreHealthy:  m.GetStoreHealthy(),
			Load:          m.GetLoadPermille(),
		},
		DeadFor:        deadForFromWire(m.GetDeadMs()),
		LeftGracefully: m.GetLeft(),
	}
	for _, w := range m.GetWitnesses() {
		if validCohort(w) {
			r.Witnesses = append(r.Witnesses, program.Cohort(w))
		}
	}
	return r, true
}

// deadForFromWire converts an age in milliseconds, capped so that it can't
// overflow a duration.
func deadForFromWire(ms uint64) time.Duration {
	const maxMS = uint64(1000 * time.Hour / time.Millisecond)
	return time.Duration(min(ms, maxMS)) * time.Millisecond
}

func validCohort(c string) bool {
	return len(c) <= maxNameBytes && strings.Count(c, ".") == 2 && !strings.HasPrefix(c, ".")
}

func toWireAll(records []Record) []*peerpb.MemberRecord {
	wire := make([]*peerpb.MemberRecord, 0, len(records))
	for _, r := range records {
		wire = append(wire, toWire(r))
	}
	return wire
}

func fromWireAll(wire []*peerpb.MemberRecord) []Record {
	records := make([]Record, 0, len(wire))
	for _, m := range wire {
		if r, ok := fromWire(m); ok {
			records = append(records, r)
		}
	}
	return records
}

// PeerTransport implements Transport over package peer.
type PeerTransport struct{ Client *peer.Client }

// Ping implements Transport.
func (t PeerTransport) Ping(ctx context.Context, address string, m Ping) (Pong, error) {
	response, err := t.Client.Ping(ctx, address, pingToWire(m))
	if err != nil {
		return Pong{}, err
	}
	return pongFromWire(response.GetResponder(), response.GetRecords())
}

// PingVia implements Transport.
func (t PeerTransport) PingVia(ctx context.Context, address string, m IndirectPing) (IndirectPong, error) {
	response, err := t.Client.PingVia(ctx, address, indirectPingToWire(m))
	if err != nil {
		return IndirectPong{}, err
	}
	record, ok := fromWire(response.GetTarget())
	return IndirectPong{Reached: response.GetReached() && ok, Target: record}, nil
}

// Join implements Transport.
func (t PeerTransport) Join(ctx context.Context, address string, sender Record) (Pong, error) {
	response, err := t.Client.Join(ctx, address, &peerpb.JoinRequest{Sender: toWire(sender)})
	if err != nil {
		return Pong{}, err
	}
	return pongFromWire(response.GetResponder(), response.GetRecords())
}

func pingToWire(m Ping) *peerpb.PingRequest {
	return &peerpb.PingRequest{
		Sender:  toWire(m.Sender),
		Target:  string(m.Target),
		Records: toWireAll(m.Records),
	}
}

func indirectPingToWire(m IndirectPing) *peerpb.PingViaRequest {
	return &peerpb.PingViaRequest{
		Sender:        toWire(m.Sender),
		Target:        string(m.Target),
		TargetAddress: m.TargetAddress,
	}
}

func pongFromWire(responder *peerpb.MemberRecord, records []*peerpb.MemberRecord) (Pong, error) {
	r, ok := fromWire(responder)
	if !ok {
		return Pong{}, peer.ErrInvalid
	}
	return Pong{Responder: r, Records: fromWireAll(records)}, nil
}

// Service exposes a Runner as the heartbeat service of package peer.
type Service struct{ Runner *Runner }

var _ peer.Heartbeats = Service{}

// Ping implements peer.Heartbeats.
func (s Service) Ping(_ context.Context, m *peerpb.PingRequest) (*peerpb.PingResponse, error) {
	sender, ok := fromWire(m.GetSender())
	if !ok {
		return nil, peer.Invalid("malformed sender")
	}
	pong := s.Runner.HandlePing(Ping{
		Sender:  sender,
		Target:  program.Cohort(m.GetTarget()),
		Records: fromWireAll(m.GetRecords()),
	})
	return &peerpb.PingResponse{Responder: toWire(pong.Responder), Records: toWireAll(pong.Records)}, nil
}

// PingVia implements peer.Heartbeats.
func (s Service) PingVia(ctx context.Context, m *peerpb.PingViaRequest) (*peerpb.PingViaResponse, error) {
	sender, ok := fromWire(m.GetSender())
	if !ok || !validCohort(m.GetTarget()) {
		return nil, peer.Invalid("malformed sender or target")
	}
	result := s.Runner.HandleIndirectPing(ctx, IndirectPing{
		Sender:        sender,
		Target:        program.Cohort(m.GetTarget()),
		TargetAddress: m.GetTargetAddress(),
	})
	response := &peerpb.PingViaResponse{Reached: result.Reached}
	if result.Reached {
		response.Target = toWire(result.Target)
	}
	return response, nil
}

// Join implements peer.Heartbeats.
func (s Service) Join(_ context.Context, m *peerpb.JoinRequest) (*peerpb.JoinResponse, error) {
	sender, ok := fromWire(m.GetSender())
	if !ok {
		return nil, peer.Invalid("malformed sender")
	}
	pong := s.Runner.HandleJoin(sender)
	return &peerpb.JoinResponse{Responder: toWire(pong.Responder), Records: toWireAll(pong.Records)}, nil
}
