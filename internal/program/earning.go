package program

import (
	"slices"
	"time"

	"foxhall/internal/program/programpb"
)

// bucketSpan is the span of one bucket, and so the time resolution of earnings.
const bucketSpan = time.Hour

// An account's buckets are merged into days once they are older than hourlyFor, and into spans of
// 32 days (longSpan) once they are older than dailyFor, so that the size of an account depends on
// the number of its customers and not on its age.
const (
	hourlyFor = 48 * time.Hour
	dailyFor  = 64 * 24 * time.Hour
	day       = 24 * time.Hour
	longSpan  = 32 * day
)

// Bucket is the sum of the earnings from one customer's steps in the span that begins at Start.
type Bucket struct {
	Customer string
	Start    time.Time
	Steps    int64
	Earning
}

// Earnings returns the buckets that begin at or after since.
func (s *State) Earnings(since time.Time) []Bucket {
	var buckets []Bucket
	for _, b := range s.buckets {
		if !b.Start.Before(since) {
			buckets = append(buckets, b)
		}
	}
	return buckets
}

// addEarning counts a step of the program and its earning; a nil earning is not counted.
func (s *State) addEarning(at time.Time, e *programpb.Earning) {
	if e == nil {
		return
	}
	s.addBucket(Bucket{
		Customer: s.Customer,
		Start:    at.Truncate(bucketSpan),
		Steps:    1,
		Earning:  Earning{Price: e.Price, Cut: e.Cut},
	})
}

// addBucket adds b to the bucket of the same customer and span, or appends it.
func (s *State) addBucket(b Bucket) {
	i := s.findBucket(b)
	if i < 0 {
		s.buckets = append(s.buckets, b)
		if s.bucketIndex != nil {
			s.bucketIndex[b.key()] = len(s.buckets) - 1
		}
		return
	}
	existing := &s.buckets[i]
	existing.Price += b.Price
	existing.Cut += b.Cut
	existing.Steps += b.Steps
}

// maxScannedBuckets is the number of buckets up to which findBucket scans the list instead of
// using an index. A program has one bucket for each hour of its life, an account many.
const maxScannedBuckets = 16

type bucketKey struct {
	customer string
	start    int64
}

func (b Bucket) key() bucketKey { return bucketKey{b.Customer, b.Start.Unix()} }

// findBucket returns the index of the bucket of the same customer and span, or -1.
func (s *State) findBucket(b Bucket) int {
	if len(s.buckets) <= maxScannedBuckets {
		return slices.IndexFunc(s.buckets, func(existing Bucket) bool { return existing.key() == b.key() })
	}
	if s.bucketIndex == nil {
		s.bucketIndex = map[bucketKey]int{}
		for i, existing := range s.buckets {
			s.bucketIndex[existing.key()] = i
		}
	}
	if i, ok := s.bucketIndex[b.key()]; ok {
		return i
	}
	return -1
}

// mergeBuckets adds the buckets of a snapshot, or of an absorbed program, to the state's.
func (s *State) mergeBuckets(list []*programpb.Bucket) {
	for _, b := range list {
		s.addBucket(bucketFrom(b))
	}
}

// rollUpBuckets merges the buckets that are old at the time now into days and longer spans.
func (s *State) rollUpBuckets(now time.Time) {
	old := s.buckets
	s.buckets, s.bucketIndex = nil, nil
	for _, b := range old {
		switch age := now.Sub(b.Start); {
		case age > dailyFor:
			b.Start = b.Start.Truncate(longSpan)
		case age > hourlyFor:
			b.Start = b.Start.Truncate(day)
		}
		s.addBucket(b)
	}
}

func bucketFrom(b *programpb.Bucket) Bucket {
	return Bucket{
		Customer: b.Customer,
		Start:    time.Unix(b.Start, 0),
		Steps:    b.Steps,
		Earning:  Earning{Price: b.Price, Cut: b.Cut},
	}
}

func bucketsTo(list []Bucket) []*programpb.Bucket {
	converted := make([]*programpb.Bucket, 0, len(list))
	for _, b := range list {
		converted = append(converted, &programpb.Bucket{
			Customer: b.Customer,
			Start:    b.Start.Unix(),
			Price:    b.Price,
			Cut:      b.Cut,
			Steps:    b.Steps,
		})
	}
	return converted
}
