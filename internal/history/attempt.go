package history

import (
	"slices"
	"time"

	"foxhall/internal/history/historypb"
	"foxhall/internal/output"
)

// maxAttempts bounds the attempts that an account lists. The oldest ones give way, and no turn of the program can be
// resumed then until their lives have passed.
const maxAttempts = 64

// listsAllSince is since when an account lists all attempts that has listed them from its first change on.
const listsAllSince = 1

// listAttempt adds the attempt of a reservation to a new version of the account, without those that nobody can resume any
// more: whoever continues a turn has it whole.
func listAttempt(next *historypb.Account, r *historypb.ReserveRequest, now time.Time) {
	at := now.UnixMilli()
	switch {
	case !r.TellsAttempts:
		next.AttemptsSinceUnixMs = 0
	case next.AttemptsSinceUnixMs == 0: // an instance of an older version has made or written the account
		next.AttemptsSinceUnixMs = at
	}
	if r.Attempt == nil {
		return
	}
	next.Attempts = slices.DeleteFunc(next.Attempts, func(a *historypb.Attempt) bool {
		return a.Turn == r.Previous || attemptEnd(a) < at
	})
	if over := len(next.Attempts) + 1 - maxAttempts; over > 0 {
		next.Attempts = slices.Delete(next.Attempts, 0, over)
		next.AttemptsSinceUnixMs = at
	}
	next.Attempts = append(next.Attempts, &historypb.Attempt{
		Turn: r.Turn, Entry: r.Attempt.Entry, Line: r.Attempt.Line, After: r.Attempt.After, Resumes: r.Attempt.Resumes,
		LifeMs: r.Attempt.LifeMs, ReservedUnixMs: at,
	})
}

// attemptEnd returns until when an attempt is listed, in Unix milliseconds. The clocks of keepers differ.
func attemptEnd(a *historypb.Attempt) int64 {
	return a.ReservedUnixMs + a.LifeMs + retentionMargin.Milliseconds()
}

// addAttempts adds to a response the other attempts at the turn that was reserved.
func addAttempts(response *historypb.ReserveResponse, account *historypb.Account, r *historypb.ReserveRequest) {
	if r.Attempt == nil {
		return
	}
	reservedAt := int64(0)
	for _, a := range account.Attempts {
		switch {
		case a.Turn == r.Turn:
			reservedAt = a.ReservedUnixMs
		case a.Line == r.Attempt.Line:
			response.Attempts = append(response.Attempts, a)
		}
	}
	since := account.AttemptsSinceUnixMs
	response.AttemptsComplete = since > 0 && since <= reservedAt-r.Attempt.LifeMs-retentionMargin.Milliseconds()
}

func encodeAttempt(a *output.Attempt, life time.Duration) *historypb.Attempt {
	if a == nil {
		return nil
	}
	return &historypb.Attempt{Turn: a.Call, Entry: a.Entry, Line: uint64(a.Line), After: a.After, Resumes: a.Resumes, LifeMs: life.Milliseconds()}
}

func decodeAttempts(wire []*historypb.Attempt) []output.Attempt {
	var decoded []output.Attempt
	for _, a := range wire {
		decoded = append(decoded, output.Attempt{Call: a.Turn, Entry: a.Entry, Line: output.Line(a.Line), After: a.After, Resumes: a.Resumes})
	}
	return decoded
}
