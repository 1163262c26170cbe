package history

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"foxhall/internal/history/historypb"
)

const (
	attemptLine = 7
	attemptLife = 12 * time.Second
)

// attemptAccounts plays the account of one program.
type attemptAccounts struct {
	state *state
	now   time.Time
}

// reserve reserves a turn. It returns the other attempts at it, and whether none is missing.
func (a *attemptAccounts) reserve(turn, previous string, line uint64, after string) (others []string, complete bool) {
	r := &historypb.ReserveRequest{
		Program: "p", Customer: new(string), Turn: turn, Previous: previous, TellsAttempts: true,
		Attempt: &historypb.Attempt{Entry: "e", Line: line, After: after, LifeMs: attemptLife.Milliseconds()},
	}
	_, account := a.state.reserve(r, a.now)
	response := &historypb.ReserveResponse{}
	addAttempts(response, account, r)
	for _, other := range response.Attempts {
		others = append(others, other.Turn)
	}
	return others, response.AttemptsComplete
}

// Guards against a resumed turn whose earlier attempts are not found: other changes of the account drop them.
func TestAttemptsAreListedUntilTheTurnCannotBeResumed(t *testing.T) {
	is := is.New(t)
	a := &attemptAccounts{newState(), time.Now()}
	a.reserve("first", "", attemptLine, "")
	a.reserve("other", "", attemptLine+1, "")
	a.state.settle(&historypb.SettleRequest{Program: "p", Customer: new(string), Turn: "first"}, a.now)
	a.state.draw(&historypb.DrawRequest{Program: "p", Customer: new(string), Allowance: "a"}, a.now)
	others, complete := a.reserve("second", "", attemptLine, "3")
	is.Equal(others, []string{"first"})
	is.True(complete)
	others, _ = a.reserve("second", "", attemptLine, "3") // the response was lost
	is.Equal(others, []string{"first"})
	others, _ = a.reserve("next", "second", attemptLine+2, "") // the caller has the second one whole
	is.Equal(others, nil)
	others, _ = a.reserve("third", "", attemptLine, "3")
	is.Equal(others, []string{"first"})
	a.now = a.now.Add(attemptLife + retentionMargin + time.Second)
	others, complete = a.reserve("late", "", attemptLine, "3")
	is.Equal(others, nil)
	is.True(complete)
}

// Guards against resumptions that are refused, since the first change of the account was not a reservation: one that was not
// known to be granted was released.
func TestAccountOfAReleasedReservationListsAllAttempts(t *testing.T) {
	is := is.New(t)
	a := &attemptAccounts{newState(), time.Now()}
	a.state.settle(&historypb.SettleRequest{Program: "p", Customer: new(string), Turn: "released"}, a.now)
	_, complete := a.reserve("first", "", attemptLine, "")
	is.True(complete)
}

// Guards against a caller that is taken for another one: an attempt that would tell them apart is not listed, as an
// instance of an older version has taken the call or kept the account, or as the program has too many.
func TestAccountTellsThatAttemptsAreMissing(t *testing.T) {
	for name, lose := range map[string]func(a *attemptAccounts){
		"entry of an older version": func(a *attemptAccounts) {
			a.state.reserve(&historypb.ReserveRequest{Program: "p", Customer: new(string), Turn: "untold"}, a.now)
		},
		"keeper of an older version": func(a *attemptAccounts) {
			account := a.state.account(new(string), "p")
			account.Attempts, account.AttemptsSinceUnixMs = nil, 0
		},
		"too many": func(a *attemptAccounts) {
			for i := range maxAttempts {
				a.reserve(fmt.Sprint("turn-", i), "", attemptLine+1, "")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for wait, expected := range map[time.Duration]bool{
				0: false, attemptLife + retentionMargin - time.Second: false, attemptLife + retentionMargin + time.Second: true,
			} {
				is := is.New(t)
				a := &attemptAccounts{newState(), time.Now()}
				_, complete := a.reserve("first", "", attemptLine, "")
				is.True(complete)
				lose(a)
				a.reserve("second", "", attemptLine, "3")
				a.now = a.now.Add(wait)
				_, complete = a.reserve("third", "", attemptLine, "3")
				is.Equal(complete, expected)
			}
		})
	}
}

// maxAttemptBytes bounds what the listing of an attempt adds to each change of its account, in bytes.
const maxAttemptBytes = 128

// Guards against accounts that grow with each turn: they are written to the disks of a shard at each reservation and
// settlement.
func TestListedAttemptsTakeFewBytes(t *testing.T) {
	is := is.New(t)
	a := &attemptAccounts{newState(), time.Now()}
	size := func() int { return proto.Size(a.state.account(new(string), "p")) }
	previous := ""
	for i := range 3 * maxSettledTurns {
		turn := fmt.Sprintf("%016x", i)
		a.reserve(turn, previous, uint64(attemptLine+i), "")
		a.state.settle(&historypb.SettleRequest{Program: "p", Customer: new(string), Turn: turn}, a.now)
		previous = turn
	}
	is.Equal(len(a.state.account(new(string), "p").Attempts), 1)
	with := size()
	a.state.account(new(string), "p").Attempts = nil
	t.Logf("%d bytes of an account of %d", with-size(), with)
	is.True(with-size() <= maxAttemptBytes)
}
