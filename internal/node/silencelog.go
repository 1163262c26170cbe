package node

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// silentSince is since when data centres are silent, by their names.
type silentSince map[string]time.Time

// note records for how long nothing was heard from a data centre. It reports whether that fell
// silent or is heard again, and since when it was silent.
func (s silentSince) note(dataCentre string, silence time.Duration, now time.Time) (fell, back bool, since time.Time) {
	since, was := s[dataCentre]
	silent := silence > cutAfter
	switch {
	case silent && !was:
		since = now.Add(-silence)
		s[dataCentre] = since
	case !silent && was:
		delete(s, dataCentre)
	}
	return silent && !was, was && !silent, since
}

// logSilences writes a line as a data centre falls silent, and one as it is heard again.
func (n *Node) logSilences(ctx context.Context) {
	ticker := time.NewTicker(silenceEvery)
	defer ticker.Stop()
	silent := silentSince{}
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, dataCentre := range n.fleet.dataCentres() {
			fell, back, since := silent.note(dataCentre, n.load.DataCentreSilentFor(dataCentre), time.Now())
			entry := n.logger.WithField("data_centre", dataCentre)
			switch lasted := time.Since(since).Milliseconds(); {
			case fell:
				entry.WithField("unheard_ms", lasted).WithField("instances", n.unheard(dataCentre)).Info("data centre silent")
			case back:
				entry.WithField("silent_ms", lasted).Info("data centre heard again")
			}
		}
	}
}

// unheardMost bounds the instances that a line tells of.
const unheardMost = 8

// unheard tells for how long instances of a data centre were not heard, those heard last first.
func (n *Node) unheard(dataCentre string) string {
	ages := map[string]time.Duration{}
	for _, m := range n.fleet.list() {
		if age, heard := n.load.SilentFor(m.Name); heard && m.DataCentre == dataCentre {
			ages[m.Name] = age
		}
	}
	names := slices.SortedFunc(maps.Keys(ages), func(a, b string) int { return cmp.Compare(ages[a], ages[b]) })
	var list []string
	for _, name := range names[:min(unheardMost, len(names))] {
		list = append(list, fmt.Sprintf("%s=%dms", name, ages[name].Milliseconds()))
	}
	return strings.Join(list, " ")
}
