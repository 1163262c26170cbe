package program

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"foxhall/internal/program/programpb"
)

// Snapshot returns the complete state as one event. The snapshot has the number and the chain value
// of the state's last event, so that later events continue the chain. In an account, it first rolls
// up the buckets that are old at the time now.
func (s *State) Snapshot(now time.Time) Event {
	if s.Account {
		s.rollUpBuckets(now)
	}
	snapshot := s.snapshot()
	pb := &programpb.Event{
		Seq:  s.seq,
		At:   s.LastAt.UnixMilli(),
		Kind: &programpb.Event_Snapshot{Snapshot: snapshot},
	}
	raw, err := proto.Marshal(pb)
	if err != nil {
		panic("program: encoding a snapshot failed: " + err.Error())
	}
	return Event{Seq: s.seq, Raw: raw, chain: s.chain, pb: pb}
}

func (s *State) snapshot() *programpb.Snapshot {
	pb := &programpb.Snapshot{
		Opened: &programpb.Opened{
			Id:       string(s.ID),
			Customer: s.Customer,
			Plan:     s.Plan,
			Parent:   string(s.Parent),
			Root:     string(s.Root),
			Depth:    int32(s.Depth),
			Bounds:   boundsTo(s.Bounds),
			Account:  s.Account,
		},
		OpenedAt:      s.OpenedAt.UnixMilli(),
		Messages:      messagesTo(s.History),
		HistoryTokens: int64(s.HistoryTokens),
		Buckets:       bucketsTo(s.buckets),
		Children:      int32(s.Children),
		Attained:      s.Attained.Milliseconds(),
		LastAt:        s.LastAt.UnixMilli(),
		Chain:         s.chain[:],
		Turn:          s.turn[:],
		Uncertain:     s.Uncertain,
		Broken:        s.Broken,
	}
	if !s.EndRequestedAt.IsZero() {
		pb.EndWantedAt = s.EndRequestedAt.UnixMilli()
	}
	for _, p := range s.Pauses {
		pb.PausesMs = append(pb.PausesMs, p.Milliseconds())
	}
	fits := s.historyBytes+s.bodyBytes+s.stepBytes() <= maxSnapshot
	for i := range s.Steps {
		step := stepTo(&s.Steps[i])
		if !fits {
			shortenStep(step)
		}
		pb.Steps = append(pb.Steps, step)
	}
	return pb
}

// shortenedPath is the length, in bytes, to which paths are cut in a snapshot that is too large.
const shortenedPath = 128

// shortenStep drops the response body and most of the path, on which no later step depends. A
// snapshot that exceeds the size of a log entry, for instance because of long paths, could never
// be written, and its program never be taken over. Paths are recorded only for the list that
// operators see; a repeat is recognised by its hash.
func shortenStep(p *programpb.Step) {
	if len(p.Body) > 0 {
		p.Body, p.BodyDropped = nil, true
	}
	if len(p.Path) > shortenedPath {
		p.Path = strings.ToValidUTF8(p.Path[:shortenedPath], "")
	}
}

// stepOverhead is an upper bound, in bytes, for the encoding of a step without its strings.
const stepOverhead = 96

// stepBytes returns an upper bound, in bytes, for the size of the steps without their responses.
func (s *State) stepBytes() int {
	n := 0
	for i := range s.Steps {
		step := &s.Steps[i]
		n += stepOverhead + len(step.Identity.Key)
		if m := step.Model; m != nil {
			n += len(m.Name) + len(m.FinishReason) + len(m.Upstream)
			continue
		}
		t := step.Tool
		n += len(t.Service) + len(t.Method) + len(t.Path) + len(t.ContentType)
		n += len(t.Upstream) + len(t.ResolvedBy) + len(t.Note)
	}
	return n
}

// restore replaces the state by the snapshot with the number seq.
func (s *State) restore(seq uint64, p *programpb.Snapshot) error {
	if ID(p.GetOpened().GetId()) != s.ID {
		return ErrOtherProgram
	}
	*s = State{ID: s.ID, seq: seq}
	s.setOpened(p.Opened)
	s.OpenedAt = time.UnixMilli(p.OpenedAt)
	s.addHistory(messagesFrom(p.Messages)...)
	s.HistoryTokens = int(p.HistoryTokens)
	s.Children = int(p.Children)
	s.Attained = time.Duration(p.Attained) * time.Millisecond
	s.LastAt = time.UnixMilli(p.LastAt)
	s.Uncertain, s.Broken = p.Uncertain, p.Broken
	copy(s.chain[:], p.Chain)
	copy(s.turn[:], p.Turn)
	if p.EndWantedAt != 0 {
		s.EndRequestedAt = time.UnixMilli(p.EndWantedAt)
	}
	for _, ms := range p.PausesMs {
		s.Pauses = append(s.Pauses, time.Duration(ms)*time.Millisecond)
	}
	s.mergeBuckets(p.Buckets)
	for _, step := range p.Steps {
		s.Steps = append(s.Steps, stepFrom(step))
		s.bodyBytes += len(step.Body)
	}
	return nil
}

func stepTo(step *Step) *programpb.Step {
	pb := &programpb.Step{Head: identityTo(step.Identity), Verdict: verdictTo(step.Verdict), At: step.At.UnixMilli()}
	if m := step.Model; m != nil {
		pb.Message = int32(m.Message)
		pb.Model, pb.FinishReason = m.Name, m.FinishReason
		pb.Usage, pb.Upstream = usageTo(m.Usage), m.Upstream
		return pb
	}
	t := step.Tool
	pb.Tool, pb.Intent = true, t.Intent
	pb.Service, pb.Method, pb.Path = t.Service, t.Method, t.Path
	pb.Status, pb.ContentType = int32(t.Status), t.ContentType
	pb.Body, pb.BodyDropped = t.Body, t.BodyDropped
	pb.Upstream, pb.ResolvedBy, pb.Note = t.Upstream, t.ResolvedBy, t.Note
	return pb
}

func stepFrom(p *programpb.Step) Step {
	step := Step{Identity: identityFrom(p.Head), Verdict: verdictFrom(p.Verdict), At: time.UnixMilli(p.At)}
	if !p.Tool {
		step.Model = &ModelStep{
			Message:      int(p.Message),
			Name:         p.Model,
			FinishReason: p.FinishReason,
			Usage:        usageFrom(p.Usage),
			Upstream:     p.Upstream,
		}
		return step
	}
	step.Tool = &ToolStep{
		ToolCall:    ToolCall{p.Service, p.Method, p.Path},
		Intent:      p.Intent,
		Status:      int(p.Status),
		ContentType: p.ContentType,
		Body:        p.Body,
		BodyDropped: p.BodyDropped,
		Upstream:    p.Upstream,
		ResolvedBy:  p.ResolvedBy,
		Note:        p.Note,
	}
	return step
}
