package origin

import "time"

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
	records map[Key]*record
	// oldest and newest are the ends of the list of records in the order in which they were last added.
	oldest, newest *record
}

type record struct {
	key      Key
	version  string
	expires  time.Time
	conflict bool
	// service is set for a stream that this instance began; told is set once others were told.
	service string
	told    bool

	older, newer *record
}

func newTable() *table { return &table{records: map[Key]*record{}} }

// add adds a record or extends the life of one. Two records of one stream with different versions contradict
// each other, so that neither counts. It returns the record, and whether another one was evicted for it.
func (t *table) add(r Record, now time.Time) (added *record, evicted bool) {
	t.expire(now)
	known := t.records[r.Key]
	if known != nil && !now.Before(known.expires) {
		t.remove(known)
		known = nil
	}
	if known == nil {
		known = &record{key: r.Key, version: r.Version}
		t.records[r.Key] = known
	} else {
		t.unlink(known)
		known.conflict = known.conflict || known.version != r.Version
	}
	if expires := now.Add(boundLife(r.Life)); expires.After(known.expires) {
		known.expires = expires
	}
	t.link(known)
	if len(t.records) > maxRecords {
		t.remove(t.oldest)
		evicted = true
	}
	return known, evicted
}

// lookup returns the record of a stream; nil if there is none.
func (t *table) lookup(key Key, now time.Time) *record {
	if r := t.records[key]; r != nil && now.Before(r.expires) {
		return r
	}
	return nil
}

// expire removes the expired records at the front of the list.
func (t *table) expire(now time.Time) {
	for t.oldest != nil && !now.Before(t.oldest.expires) {
		t.remove(t.oldest)
	}
}

func (t *table) remove(r *record) {
	t.unlink(r)
	delete(t.records, r.key)
}

func (t *table) link(r *record) {
	r.older, r.newer = t.newest, nil
	if t.newest != nil {
		t.newest.newer = r
	} else {
		t.oldest = r
	}
	t.newest = r
}

func (t *table) unlink(r *record) {
	if r.older != nil {
		r.older.newer = r.newer
	} else {
		t.oldest = r.newer
	}
	if r.newer != nil {
		r.newer.older = r.older
	} else {
		t.newest = r.older
	}
	r.older, r.newer = nil, nil
}
