package settings

import (
	"encoding/hex"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"
)

// minSecretLength is the minimum length of peers.secret in bytes.
const minSecretLength = 16

// Policies lists the valid values of placement.policy.
var Policies = []string{"cost", "round-robin", "least-in-flight", "program-hash", "prefix-only"}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,31}$`)

// checker collects the invalid keys of the settings.
type checker struct {
	errs []*Error
}

// require adds an error for the key unless ok is true.
func (c *checker) require(ok bool, key, expected string) {
	if !ok {
		c.errs = append(c.errs, &Error{Key: key, Expected: expected})
	}
}

func (c *checker) positive(d Duration, key string) {
	c.require(d.Std() > 0, key, "a duration above zero, such as \"2s\"")
}

func (s *Settings) check() []*Error {
	c := &checker{}
	nameFormat := "1 to 32 of a-z, 0-9 and -, starting with a letter or digit"
	c.require(namePattern.MatchString(s.Instance), "instance", nameFormat)
	c.require(namePattern.MatchString(s.DataCentre), "data_centre", nameFormat)
	c.require(s.Size > 0 && s.Size <= 1000, "size", "a number above 0, at most 1000")
	s.checkAddresses(c)
	s.checkStore(c)
	s.checkPeers(c)
	s.checkCallers(c)
	c.require(s.Operators.KeyHash == "" || isSHA256Hex(s.Operators.KeyHash), "operators.key_hash", "a SHA-256 sum in hex (64 digits)")
	c.positive(s.Programs.GapWait, "programs.gap_wait")
	c.positive(s.Programs.IdleExpiry, "programs.idle_expiry")
	c.positive(s.Programs.TakeOverGrace, "programs.take_over_grace")
	c.require(slices.Contains(Policies, s.Placement.Policy), "placement.policy", "one of "+strings.Join(Policies, ", "))
	c.require(s.Placement.QueueLimit > 0, "placement.queue_limit", "a whole number above 0")
	for dc, rtt := range s.Placement.DataCentreRTT {
		c.require(namePattern.MatchString(dc) && rtt >= 0, "placement.ways", "names of data centres with round-trip times, such as sul-b = \"1ms\"")
	}
	c.positive(s.Shutdown.Grace, "shutdown.grace")
	c.require(slices.Contains([]string{"text", "json"}, s.Log.Format), "log.format", "text or json")
	c.require(slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level), "log.level", "debug, info, warn or error")
	return c.errs
}

func (s *Settings) checkAddresses(c *checker) {
	addressFormat := "an IP address and port, such as 10.0.0.1:8080"
	c.require(isAddrPort(s.Listen.Callers), "listen.callers", addressFormat)
	c.require(isAddrPort(s.Listen.Peers), "listen.peers", addressFormat)
	for _, seed := range s.Peers.Seeds {
		c.require(isAddrPort(seed), "peers.seeds", "a list, each item "+addressFormat)
	}
}

func (s *Settings) checkStore(c *checker) {
	u, err := url.Parse(s.Store.URL)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && strings.Trim(u.Path, "/") == ""
	c.require(ok, "store.url", "http:// or https:// and a host, without a path")
	c.positive(s.Store.Timeout, "store.timeout")
	c.require(s.Store.ReadsPerSecond > 0, "store.reads_per_second", "a number above 0")
	c.require(s.Store.WritesPerSecond > 0, "store.writes_per_second", "a number above 0")
}

func (s *Settings) checkPeers(c *checker) {
	c.require(len(s.Peers.Secret) >= minSecretLength, "peers.secret", "at least 16 characters, the same on every instance")
	c.positive(s.Peers.Timeout, "peers.timeout")
	c.positive(s.Peers.Heartbeat, "peers.heartbeat")
	c.require(s.Peers.ProbeTimeout > 0 && s.Peers.ProbeTimeout <= s.Peers.Heartbeat, "peers.probe_timeout", "a duration above zero, at most peers.heartbeat")
	c.require(s.Peers.SuspectTimeout >= s.Peers.Heartbeat, "peers.suspect_timeout", "at least peers.heartbeat")
	c.require(s.Peers.LoneTimeout >= s.Peers.SuspectTimeout, "peers.lone_timeout", "at least peers.suspect_timeout")
}

func (s *Settings) checkCallers(c *checker) {
	c.require(s.Callers.MaxBodyBytes >= 1024, "callers.max_body_bytes", "at least 1024")
	c.require(s.Callers.MaxHeaderBytes >= 1024, "callers.max_header_bytes", "at least 1024")
	c.positive(s.Callers.ReadTimeout, "callers.read_timeout")
	c.positive(s.Callers.IdleTimeout, "callers.idle_timeout")
	c.require(s.Callers.MaxRequests > 0, "callers.max_requests", "a whole number above 0")
	c.require(s.Callers.DefaultDeadline.Std() >= time.Second, "callers.default_deadline", "at least 1s")
}

func isAddrPort(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func isSHA256Hex(text string) bool {
	raw, err := hex.DecodeString(text)
	return err == nil && len(raw) == 32
}
