package httpconn

const (
	// reserveDivisor is the divisor of a limit that gives the reserve for entries that others don't know
	// yet. An eighth also covers the calls that an entry has under way above its share when that shrinks
	// by the start of one entry in eight.
	reserveDivisor = 8
	// entriesPerNewcomer is the number of entries for which the reserve covers one newcomer.
	entriesPerNewcomer = 8
)

// Share returns the number of connections that one entry may open to an upstream that accepts limit of
// all entries together. entries is the number of entries that it knows, itself included; 0 if it doesn't
// know the others yet. newcomer is set until all of them know it.
//
// Newcomers share three quarters of the reserve; the rest is for entries that know of no others, which get
// one connection. The sum over all entries is at most limit while newcomers are at most one in eight
// entries, or one of fewer, and entries with one connection at most a 32nd of the limit. No entry gets
// less than one connection, since it would serve no call: limits below the number of entries are exceeded, and
// limits below reserveDivisor, which leave no reserve, while an entry starts.
func Share(limit, entries int, newcomer bool) int {
	if entries <= 0 {
		return 1
	}
	reserve := limit / reserveDivisor
	share := (limit - reserve) / entries
	if newcomer {
		newcomers := (entries + entriesPerNewcomer - 1) / entriesPerNewcomer
		share = min(share, reserve*3/4/newcomers)
	}
	return max(1, share)
}
