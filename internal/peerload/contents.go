package peerload

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"foxhall/internal/peerload/peerloadpb"
	"foxhall/internal/quarantine"
)

const (
	// relayFanout is the number of peers to which an instance passes on contents that it learnt, in a
	// fleet in which the first sender does not reach all. Each of them does the same.
	relayFanout = 3
	// repeatInterval is the time between two repeats of some of the contents to one peer, for peers that
	// were cut off or lost a datagram. repeatedContents is how many are repeated.
	repeatInterval   = time.Second
	repeatedContents = 16
	// askInterval is the time between two requests of an instance that has started, to askFanout peers
	// each, until it has had as many answers or askLimit has passed.
	askInterval = 200 * time.Millisecond
	askFanout   = 3
	askLimit    = 15 * time.Second
	// answerWait is how long an instance that has started is not ready for lack of an answer.
	answerWait = time.Second
	// maxAnsweredContents bounds the contents in an answer.
	maxAnsweredContents = 1024
	// maxContentsBytes bounds the contents of one datagram, so that it fits in maxDatagramBytes.
	maxContentsBytes = 4 << 10
)

// contents exchanges the contents under which upstreams ended. The receiving goroutine uses the table
// and the counters, the sending one all fields.
type contents struct {
	table *quarantine.Table
	// news has an element after a change of the table.
	news chan struct{}
	// answers counts the answers to this instance.
	answers atomic.Int32

	// known are the addresses of the peers that were there at the last look, and knownAmong the slice that
	// they were in.
	known      map[netip.AddrPort]struct{}
	knownAmong []*net.UDPAddr

	startedAt, repeatedAt, askedAt time.Time
	sent, received, bytes          metrics.Counter
}

// SetQuarantine sets the table whose contents are exchanged with other instances. It must be called
// before Run.
func (x *Exchange) SetQuarantine(t *quarantine.Table, registry metrics.Registry) {
	c := &contents{
		table: t, news: make(chan struct{}, 1), startedAt: time.Now(),
		sent:     metrics.GetOrRegisterCounter("quarantine.datagrams.sent", registry),
		received: metrics.GetOrRegisterCounter("quarantine.datagrams.received", registry),
		bytes:    metrics.GetOrRegisterCounter("quarantine.datagrams.bytes", registry),
	}
	t.OnNews(func() {
		select {
		case c.news <- struct{}{}:
		default:
		}
	})
	x.contents = c
}

// newsOfContents returns a channel with an element after each change of the contents; nil if none are
// exchanged.
func (x *Exchange) newsOfContents() <-chan struct{} {
	if x.contents == nil {
		return nil
	}
	return x.contents.news
}

// sendNews sends contents at once: what this instance saw to as many peers as a send has, what it
// learnt to fewer.
func (x *Exchange) sendNews(conn *net.UDPConn, now time.Time) {
	own, learnt := x.contents.table.TakeNews(now)
	peers := x.peers()
	x.sendContents(conn, own, choosePeers(peers, x.fanout))
	if len(peers) > x.fanout {
		x.sendContents(conn, learnt, choosePeers(peers, relayFanout))
	}
}

// KnowsContents reports whether this instance has learnt the contents that others keep: one has answered,
// there is none, or none has answered for answerWait.
//
// It prevents the following failure: a caller whose call was rejected comes to an instance that has just
// started, which sends it.
func (x *Exchange) KnowsContents() bool {
	c := x.contents
	return c == nil || c.answers.Load() > 0 || time.Since(c.startedAt) > answerWait || len(x.peers()) == 0
}

// maintainContents repeats contents, and asks for them after a start.
func (x *Exchange) maintainContents(conn *net.UDPConn, now time.Time) {
	c := x.contents
	if c == nil {
		return
	}
	x.tellNewPeers(conn, now)
	if now.Sub(c.repeatedAt) >= repeatInterval {
		c.repeatedAt = now
		c.table.Expire(now)
		x.sendContents(conn, c.table.Sample(repeatedContents, now), choosePeers(x.peers(), 1))
	}
	if c.answers.Load() < askFanout && now.Sub(c.startedAt) < askLimit && now.Sub(c.askedAt) >= askInterval {
		c.askedAt = now
		x.sendTo(conn, &peerloadpb.Load{From: x.name, DataCentre: x.dataCentre, AsksContents: true}, choosePeers(x.peers(), askFanout))
	}
}

// tellNewPeers sends the worst contents to peers that were not known when their ends were sent. In a large
// fleet not every instance does, but about as many as a send has peers.
//
// It prevents the following failure: a fleet starts, a call ends replicas before the instances know each
// other, and the others send it on.
func (x *Exchange) tellNewPeers(conn *net.UDPConn, now time.Time) {
	c, peers := x.contents, x.peers()
	if len(peers) == len(c.knownAmong) && (len(peers) == 0 || &peers[0] == &c.knownAmong[0]) {
		return
	}
	known := make(map[netip.AddrPort]struct{}, len(peers))
	var fresh []*net.UDPAddr
	for _, p := range peers {
		address := p.AddrPort()
		known[address] = struct{}{}
		if _, ok := c.known[address]; !ok && rand.IntN(len(peers)) < x.fanout {
			fresh = append(fresh, p)
		}
	}
	c.known, c.knownAmong = known, peers
	x.sendContents(conn, c.table.Worst(maxAnsweredContents, now), fresh)
}

// answerContents sends the worst contents to an instance that asked. The end of an answer tells that
// there are no more.
func (x *Exchange) answerContents(conn *net.UDPConn, to netip.AddrPort, now time.Time) {
	peers := []*net.UDPAddr{net.UDPAddrFromAddrPort(to)}
	x.sendContents(conn, x.contents.table.Worst(maxAnsweredContents, now), peers)
	x.sendTo(conn, &peerloadpb.Load{From: x.name, DataCentre: x.dataCentre, AnswersContents: true}, peers)
}

// sendContents sends contents in as many datagrams as they take.
func (x *Exchange) sendContents(conn *net.UDPConn, reports []quarantine.Report, peers []*net.UDPAddr) {
	if len(peers) == 0 {
		return
	}
	load, size := &peerloadpb.Load{From: x.name, DataCentre: x.dataCentre}, 0
	flush := func() {
		if len(load.Contents) == 0 {
			return
		}
		x.sendTo(conn, load, peers)
		x.contents.sent.Inc(int64(len(peers)))
		x.contents.bytes.Inc(int64(len(peers) * size))
		load.Contents, size = nil, 0
	}
	for i := range reports {
		content := encodeContent(&reports[i])
		n := proto.Size(content)
		if size+n > maxContentsBytes {
			flush()
		}
		load.Contents = append(load.Contents, content)
		size += n
	}
	flush()
}

// choosePeers returns n different peers, or all if there are fewer.
func choosePeers(peers []*net.UDPAddr, n int) []*net.UDPAddr {
	if len(peers) <= n {
		return peers
	}
	chosen := make([]*net.UDPAddr, 0, n)
	first, step := rand.IntN(len(peers)), max(1, len(peers)/n)
	for i := range n {
		chosen = append(chosen, peers[(first+i*step)%len(peers)])
	}
	return chosen
}

// receiveContents handles a datagram with contents, a request for them, or the end of an answer.
func (x *Exchange) receiveContents(load *peerloadpb.Load, from netip.AddrPort, now time.Time) {
	c := x.contents
	if c == nil {
		return
	}
	c.received.Inc(1)
	if len(load.Contents) > 0 {
		c.table.Merge(decodeContents(load.Contents), now)
	}
	if conn := x.conn.Load(); load.AsksContents && conn != nil {
		x.answerContents(conn, from, now)
	}
	if load.AnswersContents {
		c.answers.Add(1)
	}
}

// hasContents reports whether a datagram is about contents alone.
func hasContents(l *peerloadpb.Load) bool {
	return len(l.Contents) > 0 || l.AsksContents || l.AnswersContents
}

func encodeContent(r *quarantine.Report) *peerloadpb.QuarantinedContent {
	content := &peerloadpb.QuarantinedContent{Fingerprint: r.Fingerprint[:], Generation: r.Generation, Sound: r.Sound}
	for _, e := range r.Ends {
		content.Upstreams = append(content.Upstreams, e.Replica)
		content.Evidence = append(content.Evidence, uint32(e.Evidence))
		content.AgeMs = append(content.AgeMs, uint32(e.Age.Milliseconds()))
		content.Restarts = append(content.Restarts, e.Restart)
		content.RanMs = append(content.RanMs, uint32(e.Ran.Milliseconds()))
		content.Versions = append(content.Versions, e.Version)
	}
	return content
}

// decodeContents returns the contents that are well formed.
func decodeContents(list []*peerloadpb.QuarantinedContent) []quarantine.Report {
	var reports []quarantine.Report
	for _, content := range list {
		n := len(content.Upstreams)
		if len(content.Fingerprint) != len(quarantine.Fingerprint{}) || len(content.Evidence) != n || len(content.AgeMs) != n || len(content.RanMs) != n || len(content.Restarts) != n {
			continue
		}
		r := quarantine.Report{Fingerprint: quarantine.Fingerprint(content.Fingerprint), Generation: content.Generation, Sound: content.Sound}
		for i, name := range content.Upstreams {
			version := ""
			if len(content.Versions) == n {
				version = content.Versions[i]
			}
			r.Ends = append(r.Ends, quarantine.ReportedEnd{
				Replica: name, Version: version, Restart: content.Restarts[i], Evidence: quarantine.Evidence(min(content.Evidence[i], uint32(quarantine.Proven))),
				Age: time.Duration(content.AgeMs[i]) * time.Millisecond, Ran: time.Duration(content.RanMs[i]) * time.Millisecond,
			})
		}
		reports = append(reports, r)
	}
	return reports
}
