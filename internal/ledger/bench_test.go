package ledger

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	"foxhall/internal/program"
	"foxhall/internal/standin"
	"foxhall/internal/store"
)

// benchDelay is the latency of a call to the stand-in object API.
const benchDelay = 4 * time.Millisecond

// benchEventBytes is the size of a typical intent or small turn in bytes.
const benchEventBytes = 600

// appendsPerRound is the number of appends of each appender in one benchmark iteration.
const appendsPerRound = 20

// BenchmarkAppend measures batching: the steps per second through one log and the writes that they
// cost, by the number of concurrent appenders.
func BenchmarkAppend(b *testing.B) {
	for _, writes := range []float64{20, 1000} {
		for _, appenders := range []int{1, 16, 256, 2048} {
			b.Run(fmt.Sprintf("share=%v/appenders=%d", writes, appenders), func(b *testing.B) {
				benchAppend(b, writes, appenders)
			})
		}
	}
}

func benchAppend(b *testing.B, writes float64, appenders int) {
	standIn := standin.NewStore()
	standIn.SetFaults(standin.StoreFaults{Delay: benchDelay})
	tracked := store.Track(standIn, nil)
	defer tracked.Close()
	l, err := Open(b.Context(), Options{Cohort: testCohort, Store: tracked, WritesPerSecond: writes})
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	event := bytes.Repeat([]byte("e"), benchEventBytes)
	var running sync.WaitGroup
	each := appendsPerRound * b.N
	b.ResetTimer()
	for range appenders {
		id := program.NewID(testCohort)
		running.Go(func() {
			for range each {
				if err := l.Append(b.Context(), Record{Program: id, Event: event}); err != nil {
					b.Error(err)
				}
			}
		})
	}
	running.Wait()
	seconds := b.Elapsed().Seconds()
	steps := float64(each * appenders)
	put := float64(l.meters.entries.Count())
	b.ReportMetric(steps/seconds, "steps/s")
	b.ReportMetric(put/seconds, "writes/s")
	b.ReportMetric(steps/put, "steps/write")
	b.ReportMetric(float64(l.meters.bytes.Count())/steps-benchEventBytes, "overhead-B/record")
}

// BenchmarkRecover measures the time to read a sealed log, by the number of its entries.
func BenchmarkRecover(b *testing.B) {
	for _, entries := range []int{64, 1024} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			standIn := standin.NewStore()
			fillLog(b, standIn, entries)
			cohort, err := SealLog(b.Context(), standIn, testCohort, Seal{By: "sul1.b.one", At: time.Now()})
			if err != nil {
				b.Fatal(err)
			}
			standIn.SetFaults(standin.StoreFaults{Delay: benchDelay})
			b.ResetTimer()
			for range b.N {
				h, err := Recover(b.Context(), standIn, cohort, nil)
				if err != nil || h.Entries != entries+1 {
					b.Fatal(err, h.Entries)
				}
			}
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)*1000, "ms/recovery")
		})
	}
}

// fillLog writes a log with the given number of entries, each with 64 records.
func fillLog(b *testing.B, standIn *standin.Store, entries int) {
	b.Helper()
	if err := CreateCohort(b.Context(), standIn, Cohort{Cohort: testCohort, First: 1}); err != nil {
		b.Fatal(err)
	}
	event := bytes.Repeat([]byte("e"), benchEventBytes)
	for n := range uint64(entries) {
		e := Entry{Cohort: testCohort, Number: n + 1, WriteID: newWriteID()}
		for i := range uint64(64) {
			e.Records = append(e.Records, Record{Program: program.NewID(testCohort), Event: event, Sequence: n*64 + i + 1})
		}
		if _, err := standIn.Put(b.Context(), EntryKey(testCohort, n+1), EncodeEntry(e), 0); err != nil {
			b.Fatal(err)
		}
	}
}
