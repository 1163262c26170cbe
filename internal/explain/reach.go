package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"foxhall/internal/history"
)

const (
	// assignmentMessage is the message of the line of a keeper that learns of a shard's holders.
	assignmentMessage = "shard assigned"
	// beforeRefusal and afterRefusal are the time around a refused call whose lines of its shard's keepers
	// belong to its story.
	beforeRefusal = 5 * time.Second
	afterRefusal  = 2 * time.Second
)

// shardMessages are the messages about one shard.
var shardMessages = []string{
	assignmentMessage, "recovery of the shard failed; retrying", "holders of an earlier epoch out of reach; its changes are taken from the store",
	"shard lost on more disks than tolerated; continuing with the records that are left",
	"more disks lost than tolerated; committed changes of the epoch may be lost",
	"committed changes of the epoch may be lost, though no more disks are lost than tolerated",
}

// keeperMessages are the messages for which a keeper may not serve its shards.
var keeperMessages = []string{
	startMessage, "stopping", "stop", "process was paused; reading the store again", "process ran late",
	"disk write stalled", "disk write failed; retrying in a new segment", "assignment not read",
	"no eligible backup; shards keep their holders", "loss of keeper confirmed by witnesses",
	"store unavailable; assignment not written", "outcome of writing the assignment unknown; reading it again",
	"not registered with the other instances until they can connect to this one",
}

// shardRefusal is a call that was refused since no keeper of its shard served it.
type shardRefusal struct {
	from, to time.Time
	slice    any
	// keepers are the holders of the shard and the keepers that were called.
	keepers map[string]bool
}

// refusalsBy returns the refusals among the lines.
func refusalsBy(lines []Line) []shardRefusal {
	var refusals []shardRefusal
	for i := range lines {
		line := &lines[i]
		if r := absenceOf(line, lines); r != nil {
			refusals = append(refusals, *r)
		}
		if line.Message != callMessage || line.Fields["slice"] == nil {
			continue
		}
		r := shardRefusal{from: line.Time.Add(-line.Millis("ms") - beforeRefusal), to: line.Time.Add(afterRefusal), slice: line.Fields["slice"], keepers: map[string]bool{line.Text("primary"): true}}
		partners, _ := line.Fields["partners"].([]any)
		for _, name := range partners {
			r.keepers[fmt.Sprint(name)] = true
		}
		for _, calls := range strings.Split(line.Text("keepers")+"; "+line.Text("search_keepers"), "; ") {
			name, _, _ := strings.Cut(calls, " ")
			r.keepers[name] = true
		}
		refusals = append(refusals, r)
	}
	return refusals
}

// noSuchTurn is the reason of a call that continues a turn which no keeper has.
const noSuchTurn = "no_such_turn"

// absenceOf returns the story of the shard that should have the turn which a refused call continues, from the end of
// that turn on; nil unless the call was refused as there is no such turn, and another line has its end.
func absenceOf(refused *Line, lines []Line) *shardRefusal {
	if refused.Message != callMessage || refused.Text("reason") != noSuchTurn {
		return nil
	}
	for i := range lines {
		end := &lines[i]
		if end.Message == callMessage && end.Text("request") == refused.Text("previous") && end.Text("program") != "" && mayHaveRun(end) {
			shard := float64(history.ShardOf(end.Text("program")))
			return &shardRefusal{from: end.Time.Add(-beforeRefusal), to: refused.Time.Add(afterRefusal), slice: shard, keepers: map[string]bool{}}
		}
	}
	return nil
}

// concerns reports whether a line tells what happened to the shard, or to one of its keepers.
func (r *shardRefusal) concerns(line *Line) bool {
	if line.Time.Before(r.from) || line.Time.After(r.to) {
		return false
	}
	return slices.Contains(shardMessages, line.Message) && line.Fields["slice"] == r.slice ||
		slices.Contains(keeperMessages, line.Message) && r.keepers[line.Text("instance")]
}

// turnReach is what became of the calls that continue one turn.
type turnReach struct {
	turn    string
	refused []*Line
	// since is when the first call arrived that was refused, until when the next one was sent that a replica may have
	// run; zero if there was none.
	since, until time.Time
}

// sentAt returns when a call was sent to a replica first.
func sentAt(line *Line) time.Time {
	at := line.Time.Add(-line.Millis("ms"))
	for _, stage := range []string{"admitting_ms", "reserving_ms", "resolving_ms", "placing_ms"} {
		at = at.Add(line.Millis(stage))
	}
	return at
}

// mayHaveRun reports whether a replica may have run a call: it was sent, and not refused by each replica.
func mayHaveRun(line *Line) bool {
	sends, _ := line.Fields["sends"].(float64)
	return sends > 0 && line.Text("outcome") != "not-run"
}

// refusalOf names the reason for which a call was refused, and the rule if its placement was.
func refusalOf(line *Line) string {
	if rule := line.Text("placement"); rule != "" {
		return line.Text("reason") + " (" + rule + ")"
	}
	return line.Text("reason")
}

// reachOf returns, for each turn that a call continued in vain, how long it was out of reach over all instances.
// A turn whose calls are refused for good is not out of reach.
func reachOf(lines []Line) []*turnReach {
	byTurn := map[string]*turnReach{}
	var turns []*turnReach
	for i := range lines {
		line := &lines[i]
		turn := line.Text("previous")
		if line.Message != callMessage || turn == "" || line.Text("outcome") != "not-run" || line.Fields["out_of_reach_ms"] == nil {
			continue
		}
		r := byTurn[turn]
		if r == nil {
			r = &turnReach{turn: turn}
			byTurn[turn] = r
			turns = append(turns, r)
		}
		if arrived := line.Time.Add(-line.Millis("ms")); r.since.IsZero() || arrived.Before(r.since) {
			r.since = arrived
		}
		r.refused = append(r.refused, line)
	}
	for i := range lines {
		line := &lines[i]
		r := byTurn[line.Text("previous")]
		if r == nil || line.Message != callMessage || !mayHaveRun(line) {
			continue
		}
		if at := sentAt(line); at.After(r.since) && (r.until.IsZero() || at.Before(r.until)) {
			r.until = at
		}
	}
	return turns
}

// writeTo prints the turn's time out of reach and the calls that were refused meanwhile.
func (r *turnReach) writeTo(w io.Writer) error {
	state := "run by no replica in these lines"
	if !r.until.IsZero() {
		state = fmt.Sprintf("out of reach for %.3f s", r.until.Sub(r.since).Seconds())
	}
	reasons, instances := map[string]int{}, map[string]bool{}
	calls := 0
	for _, line := range r.refused {
		if !r.until.IsZero() && line.Time.Add(-line.Millis("ms")).After(r.until) {
			continue
		}
		calls++
		reasons[refusalOf(line)]++
		instances[line.Text("instance")] = true
	}
	var names []string
	for name := range reasons {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(reasons[b], reasons[a]), cmp.Compare(a, b)) })
	var parts []string
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%d %s", reasons[name], name))
	}
	_, err := fmt.Fprintf(w, "turn %s: %s; %d calls refused at %d instances: %s\n", r.turn, state, calls, len(instances), strings.Join(parts, ", "))
	return err
}
