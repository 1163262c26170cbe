// Package quarantine keeps the contents of calls under which replicas ended. A content that ends each
// replica that runs it (a query of death) comes again and again: by the caller's retries, at other
// instances, or from other callers. Once enough replicas have ended under it, it is not sent any more.
//
// The package does no I/O: times are arguments, and instances exchange Reports by other means.
package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies the content of a call.
type Fingerprint [16]byte

// Content is what two attempts of the same call have in common. Ids and deadlines differ, so that
// headers are not a part of it.
type Content struct {
	// Account is the client account that the call belongs to; empty for none.
	Account string
	// Method, Host and Target (path and query) are those of the request.
	Method, Host, Target string
	// Body is the body as replicas receive it, with the turns that it continues.
	Body []byte
}

// Fingerprint returns the keyed hash of the content. The account is the key: calls of one account
// can't have the fingerprint of another account's calls, and so can't get them rejected.
func (c *Content) Fingerprint() Fingerprint {
	mac := hmac.New(sha256.New, []byte(c.Account))
	for _, part := range [...]string{c.Method, c.Host, c.Target} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		mac.Write(length[:])
		mac.Write([]byte(part))
	}
	mac.Write(c.Body)
	var f Fingerprint
	copy(f[:], mac.Sum(nil))
	return f
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
