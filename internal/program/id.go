// Package program models agent programs as event-sourced aggregates: their identity, the order of
// their steps, their history and the outcome of each step. It does no I/O.
package program

import (
	"crypto/rand"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ShardCount is the number of shards into which the programs of a cohort are divided for a
// take-over.
const ShardCount = 64

// Cohort identifies one incarnation of an instance, with the programs that were created on it and
// the log that holds them. It has the form "datacentre.instance.incarnation".
type Cohort string

// DataCentre returns the data centre in which the cohort was created.
func (c Cohort) DataCentre() string {
	dc, _, _ := strings.Cut(string(c), ".")
	return dc
}

// NewCohort returns the cohort of a new incarnation of an instance, with a random incarnation.
func NewCohort(dataCentre, instance string) Cohort {
	return Cohort(dataCentre + "." + instance + "." + strings.ToLower(rand.Text()[:8]))
}

// ID identifies a program. It has the form "cohort:random". From the cohort any instance can find
// the owner; the 128 random bits make an ID unguessable.
type ID string

// NewID returns a new random ID in the cohort.
func NewID(c Cohort) ID {
	return ID(string(c) + ":" + strings.ToLower(rand.Text()))
}

// NewIDInShard returns a new random ID in the given shard of the cohort, so that a program stays
// with its root program in every take-over. It generates IDs until one is in the shard, ShardCount
// of them on average.
func NewIDInShard(c Cohort, shard int) ID {
	for {
		if id := NewID(c); id.Shard() == shard {
			return id
		}
	}
}

// ErrBadID indicates that a text is not a program's ID.
var ErrBadID = errors.New("program: malformed program id")

// ParseID checks the form of an ID that was received from outside.
func ParseID(text string) (ID, error) {
	cohort, random, ok := strings.Cut(text, ":")
	if !ok || strings.Count(cohort, ".") != 2 || len(random) < 26 || len(text) > 200 {
		return "", ErrBadID
	}
	for _, r := range text {
		if !isIDRune(r) {
			return "", ErrBadID
		}
	}
	return ID(text), nil
}

func isIDRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r >= 'A' && r <= 'Z' || strings.ContainsRune("-_.:", r)
}

// Cohort returns the cohort in which the program was created.
func (id ID) Cohort() Cohort {
	cohort, _, _ := strings.Cut(string(id), ":")
	return Cohort(cohort)
}

// Shard returns the program's shard, from 0 to ShardCount-1.
func (id ID) Shard() int {
	return int(xxhash.Sum64String(string(id)) % ShardCount)
}
