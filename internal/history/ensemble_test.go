package history

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// drawEnsemble draws an ensemble of some of four keepers, each with one of two disks.
func drawEnsemble(rt *rapid.T) Ensemble {
	names := rapid.Permutation([]string{"a", "b", "c", "d"}).Draw(rt, "holders")[:rapid.IntRange(1, 4).Draw(rt, "count")]
	e := Ensemble{Primary: names[0], Backups: names[1:], Copied: rapid.Bool().Draw(rt, "copied")}
	for _, name := range names {
		e.Disks = append(e.Disks, name+rapid.SampledFrom([]string{"1", "1", "1", "2"}).Draw(rt, "disk"))
	}
	if len(names) > 2 {
		e.OptionalBackups = rapid.IntRange(0, maxOptionalBackups).Draw(rt, "optional")
	}
	return e
}

// checkCovered checks that each quorum of the later ensemble's disks, and the copies of its primary, recover the earlier one.
func checkCovered(rt *rapid.T, later, earlier Ensemble) {
	holders := later.holders()
	for set := range 1 << len(holders) {
		var sources, common []string
		for i, name := range holders {
			if set&(1<<i) == 0 {
				continue
			}
			sources = append(sources, name)
			if earlier.hasHolder(name) && earlier.diskOf(name) == later.diskOf(name) {
				common = append(common, name)
			}
		}
		if later.isRecoveryQuorum(sources) && !earlier.isRecoveryQuorum(common) {
			rt.Fatalf("%v recovers %v, not %v", sources, later, earlier)
		}
	}
	if later.Copied && (!earlier.Copied || earlier.Disks[0] != later.Disks[0]) {
		rt.Fatalf("the copies recover %v, not %v", later, earlier)
	}
}

// Guards against an earlier ensemble that is left out of the assignment though its changes are not recovered with a later
// one.
func TestEnsembleThatIsCoveredIsRecoveredWithTheLaterOne(t *testing.T) {
	const pairsPerCheck = 200
	covered := 0
	rapid.Check(t, func(rt *rapid.T) {
		for range pairsPerCheck {
			if earlier, later := drawEnsemble(rt), drawEnsemble(rt); later.covers(&earlier) {
				checkCovered(rt, later, earlier)
				covered++
			}
		}
	})
	t.Logf("%d pairs in which the later ensemble covers the earlier one", covered)
	if covered == 0 {
		t.Error("no pair in which the later ensemble covers the earlier one")
	}
}

// Guards against ensembles that pile up in the assignment while two holders lose and regain contact.
func TestAlternatingEnsemblesAreLeftOut(t *testing.T) {
	first := Ensemble{Epoch: 1, Primary: "a", Backups: []string{"b"}, Disks: []string{"a1", "b1"}, Copied: true}
	sole := Ensemble{Epoch: 2, Primary: "a", Disks: []string{"a1"}, Copied: true}
	pair := first
	pair.Epoch = 3
	left := withoutCovered([]Ensemble{first, sole, pair, sole, pair})
	epochs := make([]uint64, 0, len(left))
	for _, e := range left {
		epochs = append(epochs, e.Epoch)
	}
	if !slices.Equal(epochs, []uint64{1, 2, 3}) {
		t.Fatalf("epochs %v are left, want the first one, the last sole holder and the last pair", epochs)
	}
}
