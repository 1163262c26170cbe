package program

import (
	"time"

	"foxhall/internal/chat"
	"foxhall/internal/program/programpb"
)

func boundsFrom(b *programpb.Bounds) Bounds {
	return Bounds{
		Steps:         int(b.GetSteps()),
		Depth:         int(b.GetDepth()),
		Children:      int(b.GetChildren()),
		Lifetime:      time.Duration(b.GetLifetimeMs()) * time.Millisecond,
		HistoryTokens: int(b.GetHistoryTokens()),
	}
}

func boundsTo(b Bounds) *programpb.Bounds {
	return &programpb.Bounds{
		Steps:         int32(b.Steps),
		Depth:         int32(b.Depth),
		Children:      int32(b.Children),
		LifetimeMs:    b.Lifetime.Milliseconds(),
		HistoryTokens: int32(b.HistoryTokens),
	}
}

// roles maps each known role to one shared string, which saves an allocation per message.
var roles = map[string]string{
	"system": "system", "developer": "developer", "user": "user", "assistant": "assistant", "tool": "tool",
}

func messageFrom(m *programpb.Message) chat.Message {
	role, ok := roles[m.GetRole()]
	if !ok {
		role = m.GetRole()
	}
	return chat.Message{Role: role, Raw: m.GetRaw()}
}

func messagesTo(list []chat.Message) []*programpb.Message {
	converted := make([]*programpb.Message, 0, len(list))
	for _, m := range list {
		converted = append(converted, messageTo(m))
	}
	return converted
}

func messageTo(m chat.Message) *programpb.Message {
	return &programpb.Message{Role: m.Role, Raw: m.Raw}
}

func usageFrom(u *programpb.Usage) chat.Usage {
	usage := chat.Usage{PromptTokens: int(u.GetPrompt()), CompletionTokens: int(u.GetCompletion())}
	usage.TotalTokens = usage.PromptTokens + usage.CompletionTokens
	if u.GetCached() > 0 {
		usage.Details = &chat.UsageDetails{CachedTokens: int(u.GetCached())}
	}
	return usage
}

func usageTo(u chat.Usage) *programpb.Usage {
	pb := &programpb.Usage{Prompt: int64(u.PromptTokens), Completion: int64(u.CompletionTokens)}
	if u.Details != nil {
		pb.Cached = int64(u.Details.CachedTokens)
	}
	return pb
}

func identityFrom(h *programpb.Head) StepIdentity {
	identity := StepIdentity{Number: int(h.GetNumber()), Key: h.GetKey()}
	copy(identity.Hash[:], h.GetBodyHash())
	return identity
}

func identityTo(h StepIdentity) *programpb.Head {
	return &programpb.Head{Number: int32(h.Number), Key: h.Key, BodyHash: h.Hash[:]}
}

func earningTo(e Earning) *programpb.Earning {
	if e == (Earning{}) {
		return nil
	}
	return &programpb.Earning{Price: e.Price, Cut: e.Cut}
}

var verdicts = map[programpb.Verdict]Verdict{
	programpb.Verdict_VERDICT_DONE:    Done,
	programpb.Verdict_VERDICT_NOT_RUN: NotRun,
	programpb.Verdict_VERDICT_UNKNOWN: Unknown,
}

func verdictFrom(v programpb.Verdict) Verdict { return verdicts[v] }

func verdictTo(v Verdict) programpb.Verdict {
	for pb, verdict := range verdicts {
		if verdict == v {
			return pb
		}
	}
	return programpb.Verdict_VERDICT_UNSPECIFIED
}
