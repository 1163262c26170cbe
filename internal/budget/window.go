package budget

import (
	"time"

	"foxhall/internal/plan"
)

// MaxClockError bounds the difference between an instance's clock and true time. Within this
// distance of a window boundary an instance can't determine the present window, and a reservation
// is charged to both windows, one of which is the true one. With a larger clock error a plan may
// spend holdings of the next window early.
const MaxClockError = time.Second

// Window is one period of a budget. Windows are numbered from the Unix epoch, so that all instances
// agree on them; a window of 24h is a day in UTC.
type Window struct {
	Length time.Duration `json:"l"`
	Index  int64         `json:"i"`
}

func windowAt(now time.Time, length time.Duration) Window {
	return Window{Length: length, Index: now.UnixNano() / int64(length)}
}

// Start returns the first instant of the window.
func (w Window) Start() time.Time { return time.Unix(0, w.Index*int64(w.Length)) }

// End returns the first instant after the window.
func (w Window) End() time.Time { return time.Unix(0, (w.Index+1)*int64(w.Length)) }

func (w Window) next() Window { return Window{Length: w.Length, Index: w.Index + 1} }

// ended reports whether the window has ended on every clock.
func (w Window) ended(now time.Time) bool { return now.Add(-2 * MaxClockError).After(w.End()) }

// windowsAt returns the first window that true time may be in, and whether it may also be in the
// next one, near a boundary.
func windowsAt(now time.Time, length time.Duration) (first Window, both bool) {
	first = windowAt(now.Add(-MaxClockError), length)
	return first, windowAt(now.Add(MaxClockError), length) != first
}

func lengthOf(b plan.Budget) time.Duration { return time.Duration(b.Window) }
