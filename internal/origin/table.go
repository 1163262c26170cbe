package origin

import (
	"container/list"
	"time"
)

// maxRecords bounds the records of an instance. At the designed size an instance holds some thousands.
const maxRecords = 1 << 15

// Record tells at which version a stream began.
type Record struct {
	Key     Key
	Version string
	// Life is how much longer the record is kept.
	Life time.Duration
}

// table holds the records of streams until they expire. It is not safe for concurrent use.
type table struct {
	records map[Key]*list.Element
	// order has the records in the order in which they were last added, the newest at the back.
	order *list.List
}

type record struct {
	key      Key
	version  string
	expires  time.Time
	conflict bool
	// service is set for a stream that this instance began; told is set once others were told.
	service string
	told    bool
}

func newTable() *table { return &table{records: map[Key]*list.Element{}, order: list.New()} }

// add adds a record or extends the life of one. Two records of one stream with different versions contradict
// each other, so that neither counts. It returns the record, and whether another one was evicted for it.
func (t *table) add(r Record, now time.Time) (added *record, evicted bool) {
	t.expire(now)
	added = t.lookup(r.Key, now)
	if added == nil {
		if expired := t.records[r.Key]; expired != nil {
			t.remove(expired)
		}
		added = &record{key: r.Key, version: r.Version}
		t.records[r.Key] = t.order.PushBack(added)
	} else {
		added.conflict = added.conflict || added.version != r.Version
		t.order.MoveToBack(t.records[r.Key])
	}
	if expires := now.Add(boundLife(r.Life)); expires.After(added.expires) {
		added.expires = expires
	}
	if len(t.records) > maxRecords {
		t.remove(t.order.Front())
		evicted = true
	}
	return added, evicted
}

// lookup returns the record of a stream; nil if there is none.
func (t *table) lookup(key Key, now time.Time) *record {
	element := t.records[key]
	if element == nil || !now.Before(recordOf(element).expires) {
		return nil
	}
	return recordOf(element)
}

// expire removes the expired records at the front.
func (t *table) expire(now time.Time) {
	for front := t.order.Front(); front != nil && !now.Before(recordOf(front).expires); front = t.order.Front() {
		t.remove(front)
	}
}

func (t *table) remove(element *list.Element) {
	delete(t.records, recordOf(element).key)
	t.order.Remove(element)
}

func recordOf(element *list.Element) *record { return element.Value.(*record) }
