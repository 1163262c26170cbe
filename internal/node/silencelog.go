package node

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

// logSilences writes a line as a data centre falls silent, and one as it is heard again.
func (n *Node) logSilences(ctx context.Context) {
	ticker := time.NewTicker(silenceEvery)
	defer ticker.Stop()
	since := map[string]time.Time{}
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, dataCentre := range n.fleet.dataCentres() {
			silence := n.load.Silence(dataCentre)
			began, was := since[dataCentre]
			entry := n.logger.WithField("data_centre", dataCentre)
			switch {
			case silence > cutAfter && !was:
				since[dataCentre] = time.Now().Add(-silence)
				entry.WithField("unheard_ms", silence.Milliseconds()).WithField("instances", n.unheard(dataCentre)).Info("data centre silent")
			case silence <= cutAfter && was:
				delete(since, dataCentre)
				entry.WithField("silent_ms", time.Since(began).Milliseconds()).Info("data centre heard again")
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
