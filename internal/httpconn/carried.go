package httpconn

import "hash/maphash"

// maxCarriedCalls bounds the calls with an ID that a connection serves, since it remembers all of them: 8 bytes each.
const maxCarriedCalls = 1024

var idSeed = maphash.MakeSeed()

// carriedCalls are the IDs of the calls that were sent over a connection, as hashes: two IDs with the same hash only cost
// a connection.
//
// They prevent the following failure: a server rejects a call, the call is sent again over the same connection, and a late
// copy of the rejection arrives there first. The call runs, and its caller is told that it has not.
type carriedCalls map[uint64]struct{}

func (s *carriedCalls) add(id string) {
	if id == "" {
		return
	}
	if *s == nil {
		*s = carriedCalls{}
	}
	(*s)[maphash.String(idSeed, id)] = struct{}{}
}

// mayCarry reports whether no call of the ID was sent over the connection. A call without an ID may be sent over any.
func (s carriedCalls) mayCarry(id string) bool {
	if id == "" {
		return true
	}
	_, carried := s[maphash.String(idSeed, id)]
	return !carried
}

func (s carriedCalls) isFull() bool { return len(s) >= maxCarriedCalls }
