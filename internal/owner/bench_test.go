package owner

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"foxhall/internal/chat"
	"foxhall/internal/program"
	"foxhall/internal/step"
)

// nullBackend is a log that discards all records, an executor that responds at once, and a catalogue
// in which only "search" may be repeated.
type nullBackend struct{ answer chat.Message }

func (nullBackend) Append(context.Context, ...Record) error            { return nil }
func (nullBackend) AppendOrReplicate(context.Context, ...Record) error { return nil }
func (nullBackend) Available() bool                                    { return true }
func (nullBackend) Cancel()                                            {}
func (nullBackend) MayRepeat(service, _, _ string) bool                { return service == "search" }

func (n nullBackend) Admit(context.Context, *Work) (PlacedStep, *step.Result) { return n, nil }

func (n nullBackend) Run(context.Context, step.Sink) step.Result {
	return step.Result{Outcome: step.Done, Status: 200, AssistantMessage: n.answer, Model: "m", FinishReason: "stop", Price: 1}
}

func nullService() *Service {
	n := nullBackend{answer: message("assistant", string(bytes.Repeat([]byte("word "), 40)))}
	s, err := New(Options{
		Cohort:    program.NewCohort("dc", "bench"),
		Log:       n,
		Executor:  n,
		Catalogue: n,
		Logger:    &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	})
	if err != nil {
		panic(err)
	}
	return s
}

// BenchmarkDo measures steps through the service with a null backend. Each parallel caller uses a
// program of its own, and a new one after 50 turns.
func BenchmarkDo(b *testing.B) {
	kinds := map[string]func(id program.ID, number int) step.Call{
		"model":  func(id program.ID, number int) step.Call { return modelCall(id, number, "a question") },
		"charge": func(id program.ID, number int) step.Call { return charge(id, number, "10") },
	}
	for name, call := range kinds {
		b.Run(name, func(b *testing.B) {
			s := nullService()
			defer s.Close()
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				var id program.ID
				for number := 50; pb.Next(); {
					if number++; number > 50 {
						id, number = s.Open(context.Background(), testPlan, "").Program, 1
					}
					if r := s.Do(context.Background(), call(id, number), nil); r.Outcome != step.Done {
						panic(fmt.Sprint(r))
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "steps/s")
		})
	}
}

// BenchmarkMemoryAtRest measures the memory of an idle program by its number of turns, each of about
// 200 bytes of request and 200 of response. The size of the history alone is reported as B/history.
func BenchmarkMemoryAtRest(b *testing.B) {
	for _, turns := range []int{0, 1, 10, 100} {
		b.Run(fmt.Sprint(turns, "turns"), func(b *testing.B) {
			const programs = 500
			var perProgram, history float64
			for b.Loop() {
				s := nullService()
				before := heapBytes()
				for range programs {
					history = float64(addTurns(s, turns))
				}
				perProgram = float64(heapBytes()-before) / programs
				runtime.KeepAlive(s)
				s.Close()
			}
			b.ReportMetric(perProgram, "B/program")
			b.ReportMetric(history, "B/history")
		})
	}
}

func addTurns(s *Service, turns int) (history int) {
	id := s.Open(context.Background(), testPlan, "").Program
	for number := 1; number <= turns; number++ {
		s.Do(context.Background(), modelCall(id, number, string(bytes.Repeat([]byte("word "), 40))), nil)
	}
	for _, m := range s.lookup(id).state.History {
		history += len(m.Raw)
	}
	return history
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkAdopt measures the adoption of 2,000 programs of ten turns, from their records in memory
// to the last snapshot in a null log.
func BenchmarkAdopt(b *testing.B) {
	const programs, turns = 2000, 10
	var recording recordingLog
	source := nullService()
	source.o.Log = &recording
	for range programs {
		addTurns(source, turns)
	}
	var byShard [program.ShardCount][]Record
	for _, r := range recording.all() {
		byShard[r.Program.Shard()] = append(byShard[r.Program.Shard()], r)
	}
	b.ResetTimer()
	for b.Loop() {
		s := nullService()
		for shard := range byShard {
			if err := s.Adopt(context.Background(), Adoption{Cohort: source.Cohort(), Shard: shard, Records: byShard[shard]}); err != nil {
				b.Fatal(err)
			}
		}
		s.Close()
	}
	b.ReportMetric(b.Elapsed().Seconds()*1000/float64(b.N), "ms/2000programs")
}

// recordingLog is a null log that keeps its records. It is for one caller at a time.
type recordingLog struct {
	nullBackend
	records atomic.Pointer[[]Record]
}

func (k *recordingLog) all() []Record { return *k.records.Load() }

func (k *recordingLog) Append(_ context.Context, records ...Record) error {
	old := k.records.Load()
	if old == nil {
		old = &[]Record{}
	}
	all := append(*old, records...)
	k.records.Store(&all)
	return nil
}

func (k *recordingLog) AppendOrReplicate(ctx context.Context, records ...Record) error {
	return k.Append(ctx, records...)
}
