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

// silentSince holds, by name, the times since which data centres have been unresponsive.
type silentSince map[string]time.Time

// update records for how long a data centre has sent nothing. It reports whether its silence began
// or ended with this update, and when the silence began.
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

// logSilence logs when a data centre becomes unresponsive and when it is reachable again.
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
			line := n.logger.WithField("data_centre", dataCentre)
			switch duration := time.Since(since).Milliseconds(); {
			case began:
				line.WithField("unheard_ms", duration).WithField("instances", n.formatSilentInstances(dataCentre)).Info("data centre unresponsive; calls to it stop")
			case ended:
				line.WithField("silent_ms", duration).Info("data centre reachable again")
			}
		}
	}
}

// maxLoggedInstances bounds the number of instances in a log line.
const maxLoggedInstances = 8

// formatSilentInstances lists instances of a data centre with the time since their last contact,
// the most recent first.
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
