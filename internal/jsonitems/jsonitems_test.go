package jsonitems

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxhall/internal/fuzzing"
)

func TestMain(m *testing.M) {
	fuzzing.Fix(20261206, 3000)
	os.Exit(m.Run())
}

// testBounds recognise objects with a name.
var testBounds = Bounds{Bytes: 1 << 10, Depth: 8, Count: 64, Recognise: func(raw []byte) bool { return nameOf(raw) != "" }}

func nameOf(raw []byte) string {
	members, _ := Members(raw)
	return string(members["name"])
}

func good(i int) string { return fmt.Sprintf(`{"name":"%d","spec":{"a":[1,"],}{[\""]}}`, i) }

// Guards against an odd item that takes others with it: whatever the bytes of odd items, all good ones are
// found, in order, and so are the members that follow.
func TestGoodItemsOutliveOddOnes(t *testing.T) {
	odd := rapid.Custom(func(t *rapid.T) string {
		bytes := rapid.SliceOfN(rapid.SampledFrom([]byte("{}[],:\"\\ a1\n\x00\xff")), 0, 12).Draw(t, "bytes")
		depth := rapid.SampledFrom([]int{0, 0, 9, 200}).Draw(t, "depth")
		return fmt.Sprintf(`{"name":"odd","spec":%s%s%s`, strings.Repeat("[", depth), bytes, strings.Repeat("]", depth))
	})
	rapid.Check(t, func(t *rapid.T) {
		var items, expected []string
		for i := range rapid.IntRange(1, 6).Draw(t, "items") {
			if !rapid.Bool().Draw(t, "odd") {
				expected = append(expected, good(i))
				items = append(items, good(i))
				continue
			}
			end := rapid.SampledFrom([]string{"}", `,"status":null}`}).Draw(t, "end")
			items = append(items, odd.Draw(t, "item")+end)
		}
		space := rapid.SampledFrom([]string{"", " ", "\n  "}).Draw(t, "space")
		document := `{"items":[` + strings.Join(items, ","+space) + space + `],"as_of":7}`
		d, err := Split([]byte(document), "items", testBounds)
		if err != nil || !d.Complete || string(d.Members["as_of"]) != "7" {
			t.Fatalf("%s: %v, %+v", document, err, d)
		}
		var found []string
		for _, item := range d.Items {
			if name := nameOf(item.Raw); item.Problem == "" && name != "" && name != `"odd"` {
				found = append(found, string(item.Raw))
			}
		}
		if fmt.Sprint(found) != fmt.Sprint(expected) {
			t.Fatalf("%s: found %q, expected %q", document, found, expected)
		}
	})
}

// Guards against a reading of sound documents that differs from that of encoding/json.
func TestSoundDocumentsAreReadAsByEncodingJSON(t *testing.T) {
	value := rapid.SampledFrom([]string{`1`, `-2.5e3`, `null`, `true`, `""`, `"a\"],}"`, `[]`, `{}`, `[1, {"a" : [ ] }]`, `{"a":1,"b":[2,3]}`})
	rapid.Check(t, func(t *rapid.T) {
		items := rapid.SliceOfN(value, 0, 5).Draw(t, "items")
		space := rapid.SampledFrom([]string{"", " ", "\n\t"}).Draw(t, "space")
		document := []byte(fmt.Sprintf(`%[1]s{"b":%[2]s,%[1]s"items"%[1]s:[%[1]s%[3]s%[1]s]%[1]s,"a":%[1]s%[4]s%[1]s}%[1]s`,
			space, value.Draw(t, "before"), strings.Join(items, space+","+space), value.Draw(t, "after")))
		var members map[string]json.RawMessage
		var expected []json.RawMessage
		if json.Unmarshal(document, &members) != nil || json.Unmarshal(members["items"], &expected) != nil {
			t.Fatalf("no JSON: %s", document)
		}
		d, err := Split(document, "items", testBounds)
		if err != nil || !d.Complete || len(d.Items) != len(expected) {
			t.Fatalf("%s: %v, %+v", document, err, d)
		}
		for i, item := range d.Items {
			if item.Problem != "" || !bytes.Equal(item.Raw, expected[i]) {
				t.Fatalf("%s: item %d is %q with problem %q", document, i, item.Raw, item.Problem)
			}
		}
		for _, name := range []string{"a", "b"} {
			if !bytes.Equal(d.Members[name], members[name]) {
				t.Fatalf("%s: %s is %q", document, name, d.Members[name])
			}
		}
	})
}

// Guards against items beyond the bounds that are taken for readable ones, and against documents that are
// taken for complete although items were not found.
func TestBoundsOfDocuments(t *testing.T) {
	is := is.New(t)
	split := func(items string) *Document {
		d, err := Split([]byte(`{"items":[`+items+`]}`), "items", testBounds)
		is.NoErr(err)
		return d
	}
	for items, problem := range map[string]Problem{
		strings.Repeat("[", 8) + strings.Repeat("]", 8):           "",
		strings.Repeat("[", 9) + strings.Repeat("]", 9):           TooDeep,
		strings.Repeat("[", 100000) + strings.Repeat("]", 100000): TooLarge,
		`"` + strings.Repeat("x", 1<<10) + `"`:                    TooLarge,
		`01`:                                                      Malformed,
	} {
		d := split(items)
		is.Equal(len(d.Items), 1)
		is.Equal(d.Items[0].Problem, problem)
		is.True(d.Complete)
	}
	is.True(!split(strings.Repeat("1,", 64) + "1").Complete)
	for _, document := range []string{``, `[]`, `null`, `{"items":{}}`, `{"items":5}`, `{"as_of":}`, `{"items"`, `}{`} {
		_, err := Split([]byte(document), "items", testBounds)
		is.True(err != nil)
	}
	for _, document := range []string{`{}`, `{"items":null}`, `{"items":[],"as_of":3}`} {
		d, err := Split([]byte(document), "items", testBounds)
		is.NoErr(err)
		is.True(d.Complete && len(d.Items) == 0)
	}
	for _, document := range []string{`{"items":[` + good(1), `{"items":[` + good(1) + `,{"name`, `{"items":[` + good(1) + `],"as_of`} {
		d, err := Split([]byte(document), "items", testBounds)
		is.NoErr(err)
		is.True(!d.Complete)
	}
}

// Guards against reading a document without end, and against taking it for complete where its reading was
// given up: each of these items takes in all that follow.
func TestSearchForItemsIsBounded(t *testing.T) {
	is := is.New(t)
	bounds := testBounds
	bounds.Bytes, bounds.Count = 1<<20, 1<<14
	unclosed := `{"name":"odd","spec":[1,` + good(1) + `,`
	for count, complete := range map[int]bool{10: true, 10000: false} {
		d, err := Split([]byte(`{"items":[`+strings.Repeat(unclosed, count)+good(2)+`]}`), "items", bounds)
		is.NoErr(err)
		is.Equal(d.Complete, complete)
		is.True(len(d.Items) >= min(2*count, 100))
	}
}

// Guards against a document whose reading does not end, or takes more than its bytes, however odd it is.
func FuzzSplit(f *testing.F) {
	for _, seed := range []string{`{"items":[`,
		`{"items":[` + good(1) + `,{"name":"2","spec":[1,` + good(3) + `],"as_of":7}`, `{"items":[{{{{]}`, `{"items":[1}],"as_of":9},` + good(2) + `]}`,
		`{"items":["` + good(1) + `]}`, strings.Repeat(`{"items":[`, 100), `{"items":[` + strings.Repeat(`{"a":[`+good(1)+`,`, 100) + `]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Split(data, "items", testBounds)
		if err != nil {
			return
		}
		for _, item := range d.Items {
			if item.Problem == "" && (!json.Valid(item.Raw) || len(item.Raw) > testBounds.Bytes) {
				t.Fatalf("%q is no item", item.Raw)
			}
		}
		if len(d.Items) > testBounds.Count {
			t.Fatalf("%d items", len(d.Items))
		}
		Members(data)
	})
}
