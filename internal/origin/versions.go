package origin

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"sync"
	"time"
)

// Versions counts the replicas of each software version of each service, as this instance sees them, and
// remembers for maxLife the versions that are gone. It is safe for concurrent use.
type Versions struct {
	mu       sync.Mutex
	services map[string]*serviceVersions
	// knownSince is when the list of replicas was first read; zero before.
	knownSince time.Time
}

// serviceVersions are the versions of one service.
type serviceVersions struct {
	// listed counts all replicas, draining ones included, serving those that take new calls.
	listed, serving map[string]int
	// goneAt is when the last replica of a version was removed.
	goneAt map[string]time.Time
	// mixedSince is since when replicas of several versions are listed; zero while they are not.
	mixedSince time.Time
}

// Replica is what Versions counts of a replica.
type Replica struct {
	Service, Version string
	Draining         bool
}

// NewVersions returns counts of no replicas.
func NewVersions() *Versions { return &Versions{services: map[string]*serviceVersions{}} }

// Begin records that the list of replicas has been read. Only the first call has an effect.
func (v *Versions) Begin(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.knownSince.IsZero() {
		v.knownSince = now
	}
}

// Transition is a change of a service from one version to several, or back.
type Transition struct {
	Service string
	// Mixed is set once several versions are listed, and not set once one is again, after Lasted.
	Mixed  bool
	Lasted time.Duration
}

// Replace takes a replica out of the counts and adds another one; nil for none. It returns the transition of
// the service, if there was one.
func (v *Versions) Replace(before, after *Replica, now time.Time) (t Transition, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.replace(before, after, now)
	for _, r := range [...]*Replica{after, before} {
		if r == nil {
			continue
		}
		s := v.services[r.Service]
		if s == nil {
			continue
		}
		if t, ok := s.transition(now); ok {
			t.Service = r.Service
			return t, true
		}
	}
	return Transition{}, false
}

// transition returns the change between one version and several since its last call.
func (s *serviceVersions) transition(now time.Time) (Transition, bool) {
	mixed, was := len(s.listed) > 1, !s.mixedSince.IsZero()
	switch {
	case mixed == was:
		return Transition{}, false
	case mixed:
		s.mixedSince = now
		return Transition{Mixed: true}, true
	default:
		lasted := now.Sub(s.mixedSince)
		s.mixedSince = time.Time{}
		return Transition{Lasted: lasted}, true
	}
}

func (v *Versions) replace(before, after *Replica, now time.Time) {
	if after != nil {
		s := v.services[after.Service]
		if s == nil {
			s = &serviceVersions{listed: map[string]int{}, serving: map[string]int{}, goneAt: map[string]time.Time{}}
			v.services[after.Service] = s
		}
		s.add(after)
	}
	if before != nil {
		v.remove(before, now)
	}
}

func (s *serviceVersions) add(r *Replica) {
	s.listed[r.Version]++
	delete(s.goneAt, r.Version)
	if !r.Draining {
		s.serving[r.Version]++
	}
}

func (v *Versions) remove(r *Replica, now time.Time) {
	s := v.services[r.Service]
	if s == nil {
		return
	}
	if !r.Draining {
		decrease(s.serving, r.Version)
	}
	if decrease(s.listed, r.Version) {
		s.goneAt[r.Version] = now
	}
	maps.DeleteFunc(s.goneAt, func(_ string, at time.Time) bool { return now.Sub(at) >= maxLife })
}

// decrease decreases a count and reports whether it is 0 then.
func decrease(counts map[string]int, version string) (none bool) {
	if counts[version]--; counts[version] > 0 {
		return false
	}
	delete(counts, version)
	return true
}

// Runs reports whether any replica of the service runs the version, draining ones included.
func (v *Versions) Runs(service, version string) bool {
	return v.count(service, version, func(s *serviceVersions) map[string]int { return s.listed })
}

// Serves reports whether any replica of the service that runs the version takes new calls.
func (v *Versions) Serves(service, version string) bool {
	return v.count(service, version, func(s *serviceVersions) map[string]int { return s.serving })
}

func (v *Versions) count(service, version string, of func(*serviceVersions) map[string]int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[service]
	return s != nil && of(s)[version] > 0
}

// Only returns the version of the service if no other one was seen within the time before now.
func (v *Versions) Only(service string, within time.Duration, now time.Time) (version string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.only(service, within, now)
}

func (v *Versions) only(service string, within time.Duration, now time.Time) (version string, ok bool) {
	s := v.services[service]
	if s == nil {
		return "", false
	}
	seen := 0
	for listed := range s.listed {
		version, seen = listed, seen+1
	}
	for gone, at := range s.goneAt {
		if now.Sub(at) < within {
			version, seen = gone, seen+1
		}
	}
	return version, seen == 1
}

// Passed records that a replica came and went.
func (v *Versions) Passed(r *Replica, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.replace(nil, r, now)
	v.remove(r, now)
}

// KnownSince returns when the list of replicas was first read; zero before.
func (v *Versions) KnownSince() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.knownSince
}

// Vouches returns the version of the service if this instance has seen all of the time before now and no
// other version in it.
func (v *Versions) Vouches(service string, within time.Duration, now time.Time) (version string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.knownSince.IsZero() || now.Sub(v.knownSince) < within {
		return "", false
	}
	return v.only(service, within, now)
}

// Listed returns the versions of the service's replicas with their numbers, sorted by version.
func (v *Versions) Listed(service string) (versions []string, counts []int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[service]
	if s == nil {
		return nil, nil
	}
	versions = slices.Sorted(maps.Keys(s.listed))
	for _, version := range versions {
		counts = append(counts, s.listed[version])
	}
	return versions, counts
}

// MaxVersionBytes bounds a version as instances tell it to each other.
const MaxVersionBytes = 64

// ShortVersion returns the version, or a hash of one that is longer than MaxVersionBytes.
func ShortVersion(version string) string {
	if len(version) <= MaxVersionBytes {
		return version
	}
	sum := sha256.Sum256([]byte(version))
	return hex.EncodeToString(sum[:])
}
