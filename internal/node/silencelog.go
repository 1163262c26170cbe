package node

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

// silentSince is since when data centres are silent, by their names.
type silentSince map[string]time.Time

// note takes in for how long nothing was heard from a data centre. It reports whether that fell
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
			fell, back, since := silent.note(dataCentre, n.load.Silence(dataCentre), time.Now())
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

// unheard tells for how long each instance of a data centre was not heard.
func (n *Node) unheard(dataCentre string) string {
	var ages []string
	for _, m := range n.fleet.list() {
		if m.DataCentre != dataCentre {
			continue
		}
		age := "never"
		if d, heard := n.load.Unheard(m.Name); heard {
			age = fmt.Sprintf("%dms", d.Milliseconds())
		}
		ages = append(ages, m.Name+"="+age)
	}
	slices.Sort(ages)
	return strings.Join(ages, " ")
}
