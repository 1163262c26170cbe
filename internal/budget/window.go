package budget

import (
	"time"

	"foxhall/internal/plan"
)

// MaxClockError is the bound on how far an instance's clock may be from true
// time. Within it of a window's boundary an instance cannot know which window
// it is in, and a reservation is charged to both: whichever is the true one
// has counted it. A clock that is further off may let a plan spend what it
// holds of the next window early.
const MaxClockError = time.Second

// Window is one period of a budget. Windows are counted from the Unix epoch,
// so that all instances agree on them; a window of 24h is a day of UTC.
type Window struct {
	Length time.Duration `json:"l"`
	Index  int64         `json:"i"`
}

func windowAt(now time.Time, length time.Duration) Window {
	return Window{Length: length, Index: now.UnixNano() / int64(length)}
}

// Start and End return the window's bounds.
func (w Window) Start() time.Time { return time.Unix(0, w.Index*int64(w.Length)) }

// End returns the first instant after the window.
func (w Window) End() time.Time { return time.Unix(0, (w.Index+1)*int64(w.Length)) }

func (w Window) next() Window { return Window{Length: w.Length, Index: w.Index + 1} }

// over reports whether the window has ended on every clock.
func (w Window) ended(now time.Time) bool { return now.Add(-2 * MaxClockError).After(w.End()) }

// windowsAt returns the windows that true time may be in: one, or two near a boundary.
func windowsAt(now time.Time, length time.Duration) (first Window, both bool) {
	first = windowAt(now.Add(-MaxClockError), length)
	return first, windowAt(now.Add(MaxClockError), length) != first
}

func lengthOf(b plan.Budget) time.Duration { return time.Duration(b.Window) }
