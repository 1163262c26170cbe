package history

import (
	"time"

	"foxhall/internal/history/historypb"
)

// view is what is known of another keeper.
type view struct {
	heard  time.Time
	status *historypb.StatusResponse
	// refused counts the refused connections since it was heard.
	refused int
	loss    loss
}

// opinion is what a decision about roles needs of another keeper.
type opinion struct {
	// out says that it should hold nothing: it is silent, stalled or leaving.
	out bool
	// heard says that its marks are known.
	heard bool
	// at is when they were told.
	at    time.Time
	marks [ShardCount]mark
	// disk names its disk.
	disk string
	// spares says that it knows decisions that are not on all disks of a slice.
	spares bool
}

// silent reports that the keeper was not heard for as long as a pause may last.
func (v *view) silent(now time.Time) bool {
	since := now.Sub(v.heard)
	return since > suspectAfter || since > confirmedAfter && v.loss.holds(now)
}

// opinions judges the other keepers; the lock is held.
func (k *Keeper) opinions(now time.Time) map[string]opinion {
	opinions := map[string]opinion{}
	for name, v := range k.views {
		o := opinion{}
		booted := now.Sub(k.started) > bootTime
		gone := v.refused >= refusedMost && booted
		silent := gone || v.silent(now) && booted
		o.out = gone || silent && k.reach.holds(now) || k.settings.Retiring(name)
		if v.status != nil {
			o.heard, o.at = !silent, v.heard
			o.disk, o.spares = v.status.Disk, v.status.Spares
			o.out = o.out || v.status.Leaving || v.status.StalledMs > stalledAfter.Milliseconds()
			for _, m := range v.status.Slices {
				if m.Slice < ShardCount {
					o.marks[m.Slice] = markOf(m)
				}
			}
		}
		opinions[name] = o
	}
	return opinions
}

// has reports that the keeper is known to have all of a slice in the epoch.
func (o opinion) has(slice int, epoch uint64) bool {
	return o.heard && o.marks[slice].whole(epoch)
}
