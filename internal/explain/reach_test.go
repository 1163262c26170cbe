package explain

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"foxhall/internal/history"
)

const outOfReachText = `
{"time":"2026-03-02T21:07:01.0Z","message":"shard assigned","fields":{"instance":"k1","slice":9,"epoch":2}}
{"time":"2026-03-02T21:07:04.0Z","message":"stopping","fields":{"instance":"k1"}}
{"time":"2026-03-02T21:07:04.0Z","message":"stopping","fields":{"instance":"k9"}}
{"time":"2026-03-02T21:07:05.0Z","message":"shard assigned","fields":{"instance":"k2","slice":3,"epoch":8,"primary":"k2"}}
{"time":"2026-03-02T21:07:05.1Z","message":"shard assigned","fields":{"instance":"k2","slice":4,"epoch":8,"primary":"k2"}}
{"time":"2026-03-02T21:07:06.8Z","message":"call","fields":{"instance":"e1","outcome":"not-run","reason":"turns_unreached","request":"r1","previous":"t","ms":1800,"reserving_ms":1800,"sends":0,"out_of_reach_ms":1800,"slice":3,"epoch":7,"primary":"k1","partners":["k2"],"keepers":"k1 silent 2x 900ms; k2 moved 9x 20ms"}}
{"time":"2026-03-02T21:07:07.5Z","message":"call","fields":{"instance":"e2","outcome":"not-run","reason":"overloaded","placement":"late","request":"r2","previous":"t","ms":500,"sends":2,"out_of_reach_ms":500}}
{"time":"2026-03-02T21:07:09.0Z","message":"call","fields":{"instance":"e1","outcome":"answered","request":"r3","previous":"t","ms":1200,"reserving_ms":100,"sends":1}}`

// Guards against a refused turn whose story does not lead to the keeper, the epoch and the act behind it, and
// against a time out of reach that ends at one entry's lines, or with a call that all replicas refused.
func TestStoryOfATurnOutOfReach(t *testing.T) {
	is := is.New(t)
	l, err := Read(strings.NewReader(outOfReachText))
	is.NoErr(err)
	var out bytes.Buffer
	is.NoErr(WriteTrace(&out, l.Trace("t")))
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(rows), 6)
	is.True(strings.Contains(rows[0], "k1") && strings.Contains(rows[0], "stopping"))
	is.True(strings.Contains(rows[1], "shard assigned") && strings.Contains(rows[1], "epoch=8"))
	is.True(strings.Contains(rows[2], "keepers=k1 silent 2x 900ms; k2 moved 9x 20ms"))
	is.Equal(rows[5], "turn t: out of reach for 2.900 s; 2 calls refused at 2 instances: 1 overloaded (late), 1 turns_unreached")

	out.Reset()
	is.NoErr(WriteTrace(&out, l.Trace("r1")))
	is.True(strings.Contains(out.String(), "turn t: run by no replica in these lines; 1 calls refused at 1 instances: 1 turns_unreached"))
}

const unknownTurnText = `
{"time":"2026-03-02T21:07:00.0Z","message":"shard assigned","fields":{"instance":"k1","slice":9,"epoch":2}}
{"time":"2026-03-02T21:07:01.0Z","message":"call","fields":{"instance":"e1","outcome":"answered","request":"t","program":"p","ms":700,"sends":1}}
{"time":"2026-03-02T21:07:02.0Z","message":"shard assigned","fields":{"instance":"k2","slice":SHARD,"epoch":8,"primary":"k2","disks":["d2","d3"],"durable_on":2,"tolerated":2}}
{"time":"2026-03-02T21:07:09.0Z","message":"more disks lost than tolerated; committed changes of the epoch may be lost","fields":{"instance":"k4","slice":SHARD,"epoch":8,"holders":["k2","k3"]}}
{"time":"2026-03-02T21:07:10.0Z","message":"call","fields":{"instance":"e1","outcome":"not-run","reason":"no_such_turn","request":"r1","program":"q","previous":"t","ms":20,"sends":0}}`

// Guards against an unknown turn whose story does not lead to the shard, the epoch and the disks that had it.
func TestStoryOfAnUnknownTurn(t *testing.T) {
	is := is.New(t)
	text := strings.ReplaceAll(unknownTurnText, "SHARD", fmt.Sprint(history.ShardOf("p")))
	l, err := Read(strings.NewReader(text))
	is.NoErr(err)
	var out bytes.Buffer
	is.NoErr(WriteTrace(&out, l.Trace("t")))
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(rows), 4)
	is.True(strings.Contains(rows[1], "disks=[d2 d3]") && strings.Contains(rows[1], "epoch=8"))
	is.True(strings.Contains(rows[2], "more disks lost than tolerated"))
}
