// Package program holds the aggregate of agent programs: their identity, the
// order of their steps, their history and the outcome of each step. Its rules
// do no I/O.
package program

import (
	"crypto/rand"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Slices is the number of parts into which the programs of a cohort are
// divided when they are taken over.
const ShardCount = 64

// Cohort identifies one incarnation of an instance: the programs born on it
// and the log that holds them. It has the form "datacentre.instance.incarnation".
type Cohort string

// DataCentre returns the data centre in which the cohort was born.
func (c Cohort) DataCentre() string {
	dc, _, _ := strings.Cut(string(c), ".")
	return dc
}

// NewCohort returns the cohort of a new incarnation of an instance.
func NewCohort(dataCentre, instance string) Cohort {
	return Cohort(dataCentre + "." + instance + "." + strings.ToLower(rand.Text()[:8]))
}

// ID identifies a program. It carries the cohort and 128 random bits, so that
// any instance finds the owner from it and nobody guesses it. It has the form
// "cohort:random".
type ID string

// NewID returns a fresh identity in the cohort.
func NewID(c Cohort) ID {
	return ID(string(c) + ":" + strings.ToLower(rand.Text()))
}

// NewIDInSlice returns a fresh identity in the cohort with the given slice, so
// that a program stays with its root through every take-over. It draws
// identities until one fits, about as many as there are slices.
func NewIDInShard(c Cohort, shard int) ID {
	for {
		if id := NewID(c); id.Shard() == shard {
			return id
		}
	}
}

// ErrBadID says that a text is not a program's identity.
var ErrBadID = errors.New("program: malformed program id")

// ParseID checks the form of an identity received from outside.
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

// Cohort returns the cohort in which the program was born.
func (id ID) Cohort() Cohort {
	cohort, _, _ := strings.Cut(string(id), ":")
	return Cohort(cohort)
}

// Slice returns the program's slice, from 0 to Slices-1.
func (id ID) Shard() int {
	return int(xxhash.Sum64String(string(id)) % ShardCount)
}
