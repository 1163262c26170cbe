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
func (s silentSince) update(dataCentre string, silentFor time.Duration, now time.Time) (began, ended bool, since time.Time) {
	since, wasSilent := s[dataCentre]
	silent := silentFor > partitionTimeout
	switch {
	case silent && !wasSilent:
		since = now.Add(-silentFor)
		s[dataCentre] = since
	case !silent && wasSilent:
		delete(s, dataCentre)
	}
	return silent && !wasSilent, wasSilent && !silent, since
}

// logSilences writes a line as a data centre falls silent, and one as it is heard again.
func (n *Node) logSilence(ctx context.Context) {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	silent := silentSince{}
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, dataCentre := range n.fleet.dataCentres() {
			began, ended, since := silent.update(dataCentre, n.load.DataCentreSilentFor(dataCentre), time.Now())
			entry := n.logger.WithField("data_centre", dataCentre)
			switch duration := time.Since(since).Milliseconds(); {
			case began:
				entry.WithField("unheard_ms", duration).WithField("instances", n.formatSilentInstances(dataCentre)).Info("data centre silent")
			case ended:
				entry.WithField("silent_ms", duration).Info("data centre heard again")
			}
		}
	}
}

// unheardMost bounds the instances that a line tells of.
const maxLoggedInstances = 8

// unheard tells for how long instances of a data centre were not heard, those heard last first.
func (n *Node) formatSilentInstances(dataCentre string) string {
	ages := map[string]time.Duration{}
	for _, m := range n.fleet.others() {
		if age, heard := n.load.SilentFor(m.Name); heard && m.DataCentre == dataCentre {
			ages[m.Name] = age
		}
	}
	names := slices.SortedFunc(maps.Keys(ages), func(a, b string) int { return cmp.Compare(ages[a], ages[b]) })
	var list []string
	for _, name := range names[:min(maxLoggedInstances, len(names))] {
		list = append(list, fmt.Sprintf("%s=%dms", name, ages[name].Milliseconds()))
	}
	return strings.Join(list, " ")
}
