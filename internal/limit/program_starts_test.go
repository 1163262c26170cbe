package limit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// startedCalls is the number of calls of a program, pauseBetweenCalls the time between two of them.
	startedCalls      = 3
	pauseBetweenCalls = 400 * time.Millisecond
	// callTries and continuationTries are how often a call is sent, and one that continues a retained turn.
	callTries         = 3
	continuationTries = 6
	// maxRetryPause is the longest time until a caller sends a refused call again.
	maxRetryPause = 600 * time.Millisecond
)

// spreadProgram is a program under way whose calls come to any instance.
type spreadProgram struct {
	customer, name string
	// continuation means that the program makes one call, which continues a retained turn.
	continuation, begun bool
	remaining, tries    int
	// instance has received the call under way, which arrived then.
	instance      *quotaInstance
	next, arrived time.Time
}

// programCounts counts a customer's programs and the refused calls by which they start.
type programCounts struct{ completed, brokenOff, starts, refusedStarts, continued, notContinued int }

// programLoad sends calls of programs to the instances, and counts the outcomes by customer.
type programLoad struct {
	*quotaWorld
	// startRate is the number of programs that begin per second, by customer.
	startRate map[string]float64
	active    []*spreadProgram
	begun     int
	counts    map[string]*programCounts
}

// newProgramLoad returns the load of 83 customers that use 0.6 of their quotas, but the named ones.
func newProgramLoad(instances int, demand map[string]float64) *programLoad {
	l := &programLoad{quotaWorld: newQuotaWorld(7, instances, newReporting), startRate: map[string]float64{}}
	addCustomers(l.quotaWorld, 0)
	for name, q := range l.quotas {
		fraction, ok := demand[name]
		if !ok {
			fraction = 0.6
		}
		l.startRate[name] = fraction * q.Rate / startedCalls
	}
	l.resetPrograms()
	return l
}

func (l *programLoad) resetPrograms() {
	l.resetCounts()
	l.counts = map[string]*programCounts{}
	for name := range l.quotas {
		l.counts[name] = &programCounts{}
	}
}

func (l *programLoad) begin(p *spreadProgram) {
	l.begun++
	p.name, p.next = fmt.Sprint("program-", l.begun), l.now
	l.active = append(l.active, p)
}

// runPrograms runs the simulation for a duration.
func (l *programLoad) runPrograms(d time.Duration) {
	for until := l.now.Add(d); l.now.Before(until); {
		for _, customer := range names(l.quotas) {
			for range l.callsInTick(l.startRate[customer]) {
				l.begin(&spreadProgram{customer: customer, remaining: startedCalls, tries: callTries})
			}
		}
		l.active = slices.DeleteFunc(l.active, l.call)
		l.run(tick)
	}
}

// call sends a program's call if it is due, and reports whether the program has ended.
func (l *programLoad) call(p *spreadProgram) (ended bool) {
	if l.now.Before(p.next) {
		return false
	}
	if p.instance == nil {
		p.instance, p.arrived = l.anyInstance(), l.now
	}
	quotas, up := p.instance.admitter.(reportingAdmitter)
	if !up {
		p.instance = nil
		return false
	}
	starts := !p.continuation && !p.begun
	verdict, after := quotas.Admit(Call{Customer: p.customer, Program: p.name, StartsProgram: starts}, l.now)
	if verdict == AwaitsReports && l.now.Add(after).Sub(p.arrived) <= maxWait {
		p.next = l.now.Add(after)
		return false
	}
	p.instance = nil
	if verdict == Admitted {
		return l.admitted(p, starts)
	}
	return l.refusedCall(p, starts, after)
}

func (l *programLoad) admitted(p *spreadProgram, starts bool) (ended bool) {
	l.admittedAt[p.customer] = append(l.admittedAt[p.customer], l.now)
	c := l.counts[p.customer]
	if starts {
		c.starts++
	}
	p.begun, p.tries, p.remaining, p.next = true, callTries, p.remaining-1, l.now.Add(pauseBetweenCalls)
	switch {
	case p.continuation:
		c.continued++
	case p.remaining == 0:
		c.completed++
	default:
		return false
	}
	return true
}

func (l *programLoad) refusedCall(p *spreadProgram, starts bool, after time.Duration) (ended bool) {
	c := l.counts[p.customer]
	if starts {
		c.refusedStarts++
	}
	p.tries, p.next = p.tries-1, l.now.Add(min(after, maxRetryPause))
	switch {
	case p.tries > 0:
		return false
	case p.continuation:
		c.notContinued++
	case p.begun:
		c.brokenOff++
	}
	return true
}

// floodAfterRestart returns the counts of a customer that goes on beyond its quota after a restart of all instances.
// Beside its programs, others continue retained turns.
func floodAfterRestart(demand float64) (*programLoad, *programCounts) {
	const (
		flooding = "customer-0"
		// continuations is the number of programs that continue a turn, one every continuationInterval.
		continuations        = 40
		continuationInterval = 50 * time.Millisecond
	)
	l := newProgramLoad(instancesWithQuotas, map[string]float64{flooding: demand})
	l.runPrograms(5 * time.Second)
	l.restartAll(time.Second, 0)
	l.runPrograms(settledAfterRestart)
	l.resetPrograms()
	for range continuations {
		l.begin(&spreadProgram{customer: flooding, continuation: true, tries: continuationTries})
		l.runPrograms(continuationInterval)
	}
	l.runPrograms(continuationTries * maxRetryPause)
	return l, l.counts[flooding]
}

// Guards against retained turns that can't be continued in any try, while first calls of the same customer, which is beyond
// its quota, are admitted.
func TestContinuationsGoBeforeFirstCallsBeyondTheQuota(t *testing.T) {
	for _, demand := range []float64{2, 4, 8} {
		t.Run(fmt.Sprint(demand), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l, c := floodAfterRestart(demand)
			t.Logf("%+v", *c)
			is.Equal(c.notContinued, 0)
			is.True(c.starts > 0)
			is.Equal(l.violations(), nil)
		})
	}
}

// Guards against programs that are broken off at a call to another instance than their first, which knows them as active.
func TestProgramsAtManyInstancesAreFinished(t *testing.T) {
	const maxBrokenOff = 0.1 // of the programs that begin
	is := is.New(t)
	_, c := floodAfterRestart(2)
	t.Logf("%+v", *c)
	is.True(c.completed > 0)
	is.True(float64(c.brokenOff) <= maxBrokenOff*float64(c.completed+c.brokenOff))
}

// Guards against first calls that are refused below the quota, because other calls go before them.
func TestProgramsStartBelowTheQuota(t *testing.T) {
	is := is.New(t)
	l := newProgramLoad(instancesWithQuotas, map[string]float64{"customer-0": 0.95, "customer-1": 0.95})
	l.runPrograms(tolerance.Window)
	l.resetPrograms()
	l.runPrograms(2 * tolerance.Window)
	for _, name := range []string{"customer-0", "customer-1", "customer-2"} {
		c := l.counts[name]
		t.Logf("%s: %+v", name, *c)
		is.True(c.starts > 0)
		is.True(float64(c.refusedStarts) <= maxLoss*float64(c.starts))
		is.Equal(c.brokenOff, 0)
	}
}
