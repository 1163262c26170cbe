// Package origin knows at which software version of a service each resumable stream began, so that it goes
// on only there. Streams of two versions don't fit together, and replicas don't check it.
//
// The instance that forwards a stream's first event records the version. It tells a few others, chosen by the
// stream's key, unless one version alone has served for the longest time after which a caller may come back:
// some that take calls, and some that outlive a failure of all of those. An instance to which a caller comes
// back asks the same few. It goes on at the recorded version, or at the only one that may have begun the
// stream, and refuses the call otherwise.
package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Stream names a resumable stream: Call is the ID of the call that brought its first event.
type Stream struct {
	Service, Customer, Call string
	// Life is how long after its latest call the stream may be taken up again.
	Life time.Duration
}

// Key identifies a stream. It is a part of a cryptographic hash, since callers choose their IDs: none can
// choose one that is taken for another customer's stream.
type Key uint64

// Key returns the stream's key.
func (s *Stream) Key() Key {
	buffer := make([]byte, 0, 128)
	for _, part := range [...]string{s.Service, s.Customer, s.Call} {
		buffer = binary.AppendUvarint(buffer, uint64(len(part)))
		buffer = append(buffer, part...)
	}
	sum := sha256.Sum256(buffer)
	return Key(binary.LittleEndian.Uint64(sum[:]))
}

const (
	// minLife and maxLife bound the time for which a stream is remembered.
	minLife = 10 * time.Second
	maxLife = 5 * time.Minute
	// lifeFactor times the longest duration of a call is how long a caller may pursue a stream: the call
	// that began it, and those that take it up again.
	lifeFactor = 2
)

// LifeOf returns how long a stream may be taken up again, by the longest duration of one call.
func LifeOf(timeout time.Duration) time.Duration { return boundLife(lifeFactor * timeout) }

func boundLife(life time.Duration) time.Duration { return min(maxLife, max(minLife, life)) }
