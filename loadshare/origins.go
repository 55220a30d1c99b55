package loadshare

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/internal/rendezvous"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/origins"
)

// Nodes keep the origins of each other's streams. The Sharer carries these messages; see
// package origins.

// OriginHandler keeps and finds origins at this node.
type OriginHandler interface {
	Put(r origins.Record)
	HandleFind(q origins.Question) origins.Answer
	// Records returns the records that keep selects.
	Records(keep func(origins.Key) bool) []origins.Record
	KeptSince() time.Time
	Inherit(since time.Time)
}

// WithOrigins sets the handler of messages about origins. Without one they are ignored.
func WithOrigins(h OriginHandler) Option { return func(s *Sharer) { s.origins = h } }

const (
	// originReplicas is how many other nodes keep a record. With its stream's node and half
	// of all others lost at once, one in sixteen records is lost.
	originReplicas = 4
	// originLookups is how many nodes are asked: more than keep a record, as the list of
	// nodes may have changed since.
	originLookups = 7
	// maxOrigins bounds the records in a datagram, of about 60 bytes each.
	maxOrigins = 100
)

// originTimeouts are the waits for answers, after each of which those that are missing are
// asked again: many round trips within a region, then what a busy node needs.
var originTimeouts = []time.Duration{40 * time.Millisecond, 100 * time.Millisecond}

// regionOriginWait is added where nodes of other regions are asked.
const regionOriginWait = 60 * time.Millisecond

// originRecord is the encoding of an origins.Record; see there for the fields.
type originRecord struct {
	Key      []byte `msgpack:"k"`
	Attempt  uint64 `msgpack:"i"`
	Service  string `msgpack:"s"`
	Software string `msgpack:"v"`
	TTLMS    int64  `msgpack:"t"`
	Restored bool   `msgpack:"r,omitempty"`
}

func encodeOrigin(r origins.Record) originRecord {
	return originRecord{Key: r.Key[:], Attempt: uint64(r.Attempt), Service: r.Service, Software: r.Software, TTLMS: r.TTL.Milliseconds(), Restored: r.Restored}
}

// record returns the decoded record; false for one without a valid key.
func (o *originRecord) record() (origins.Record, bool) {
	if len(o.Key) != len(origins.Key{}) {
		return origins.Record{}, false
	}
	return origins.Record{
		Key: origins.Key(o.Key), Attempt: origins.Attempt(o.Attempt), Origin: origins.Origin{Service: o.Service, Software: o.Software},
		TTL: min(milliseconds(o.TTLMS), origins.MaxTTL), Restored: o.Restored,
	}, true
}

// originStore sends a record to a node that keeps it.
type originStore struct {
	ID     uint64       `msgpack:"i,omitempty"` // unique per sender; 0 asks for no confirmation
	Record originRecord `msgpack:"r"`
}

// originQuestion is the encoding of an origins.Question; see there for the fields.
type originQuestion struct {
	ID       uint64 `msgpack:"i"` // unique per sender
	Key      []byte `msgpack:"k"`
	Attempt  uint64 `msgpack:"a,omitempty"`
	Service  string `msgpack:"s,omitempty"`
	WindowMS int64  `msgpack:"w"`
}

// originReply answers an originStore or an originQuestion; see origins.Answer for the fields.
type originReply struct {
	ID        uint64   `msgpack:"i"`
	Known     bool     `msgpack:"o,omitempty"`
	Conflict  bool     `msgpack:"c,omitempty"`
	Service   string   `msgpack:"s,omitempty"`
	Software  string   `msgpack:"v,omitempty"`
	Versions  []string `msgpack:"n,omitempty"`
	CoveredMS int64    `msgpack:"a,omitempty"`
	Restored  bool     `msgpack:"r,omitempty"`
	Kept      bool     `msgpack:"k,omitempty"`
}

func encodeOriginAnswer(id uint64, a origins.Answer) *originReply {
	return &originReply{ID: id, Known: a.Known, Conflict: a.Conflict, Service: a.Origin.Service, Software: a.Origin.Software,
		Versions: a.View.Versions, CoveredMS: a.View.Covered.Milliseconds(), Restored: a.Restored, Kept: a.Kept}
}

func (r *originReply) answer() origins.Answer {
	return origins.Answer{Known: r.Known, Conflict: r.Conflict, Origin: origins.Origin{Service: r.Service, Software: r.Software},
		View: origins.View{Versions: r.Versions, Covered: milliseconds(r.CoveredMS)}, Restored: r.Restored, Kept: r.Kept}
}

// nodeReply is a node's reply.
type nodeReply struct {
	node string
	originReply
}

// originHolders returns up to n other nodes that keep the record of a key, in the order in
// which nodes with the same list agree: the best one with a disk, then the best ones of each
// data hall in turn, then the next ones. On a site of several regions it also returns the
// best node of each other region.
func (l *layout) originHolders(k origins.Key, n int) []string {
	holders := l.originRanking(k, n, l.own)
	for _, region := range l.otherRegions() {
		holders = append(holders, rendezvous.First(l.traceStores[region], string(k[:])))
	}
	return holders
}

// originKeepers returns the nodes, this one included, that hold the records of all streams of a
// key, whichever node began them.
func (l *layout) originKeepers(k origins.Key) []string {
	if l.region == "" {
		return l.originRanking(k, originReplicas, "")
	}
	keepers := []string{rendezvous.First(l.traceStores[l.region], string(k[:]))}
	for _, region := range l.otherRegions() {
		keepers = append(keepers, rendezvous.First(l.traceStores[region], string(k[:])))
	}
	return keepers
}

// originRanking returns up to n nodes of this region in the order of originHolders, without the
// excluded one.
func (l *layout) originRanking(k origins.Key, n int, exclude string) []string {
	key := string(k[:])
	var holders []string
	add := func(node string) {
		if len(holders) < n && node != "" && node != exclude && !slices.Contains(holders, node) {
			holders = append(holders, node)
		}
	}
	add(rendezvous.First(l.traceStores[l.region], key))
	halls := slices.Sorted(maps.Keys(l.hallNodes))
	rendezvous.Sort(halls, key)
	ranks := n + 1 // this node may be among them
	ranked := make([][]string, len(halls))
	for i, hall := range halls {
		ranked[i] = rendezvous.Top(l.hallNodes[hall], key, ranks)
	}
	for rank := range ranks {
		for _, nodes := range ranked {
			if rank < len(nodes) {
				add(nodes[rank])
			}
		}
	}
	return holders
}

// originNetwork implements origins.Network.
type originNetwork struct{ *Sharer }

// Origins returns the network of an origins.Registry.
func (s *Sharer) Origins() origins.Network { return originNetwork{s} }

// Store implements origins.Network.
func (s originNetwork) Store(ctx context.Context, r origins.Record, confirm bool) bool {
	l := s.currentLayout()
	holders := l.originHolders(r.Key, originReplicas)
	s.requestSave()
	if len(holders) == 0 {
		return true
	}
	if !confirm {
		s.sendTo(s.addressesOf(holders), message{OriginStore: &originStore{Record: encodeOrigin(r)}})
		return true
	}
	id, replies := s.originReplies.start(len(holders) * len(originTimeouts))
	defer s.originReplies.end(id)
	m := message{OriginStore: &originStore{ID: id, Record: encodeOrigin(r)}}
	for _, timeout := range originTimeouts {
		s.sendTo(s.addressesOf(holders), m)
		if _, confirmed := await(ctx, replies, timeout); confirmed {
			return true
		}
	}
	return false
}

// Find implements origins.Network.
func (s originNetwork) Find(ctx context.Context, q origins.Question, enough func(*origins.Poll) bool) origins.Poll {
	l := s.currentLayout()
	nodes, keepers := l.originHolders(q.Key, originLookups), l.originKeepers(q.Key)
	poll := originPoll{Poll: origins.Poll{Asked: len(nodes), Keeper: slices.Contains(keepers, l.own), Left: s.leftWithin(q.Window)}, keepers: keepers, enough: enough}
	id, replies := s.originReplies.start(len(nodes) * len(originTimeouts))
	defer s.originReplies.end(id)
	m := message{OriginQuestion: &originQuestion{ID: id, Key: q.Key[:], Attempt: uint64(q.Attempt), Service: q.Service, WindowMS: q.Window.Milliseconds()}}
	missing := nodes
	for _, timeout := range originTimeouts {
		if l.region != "" {
			timeout += regionOriginWait
		}
		s.sendTo(s.addressesOf(missing), m)
		var settled bool
		missing, settled = collectOrigins(ctx, replies, missing, timeout, &poll)
		if settled || len(missing) == 0 || ctx.Err() != nil {
			break
		}
	}
	return poll.Poll
}

// leftWithin returns how many peers were dropped within a window.
func (s *Sharer) leftWithin(window time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leftAt = slices.DeleteFunc(s.leftAt, func(at time.Time) bool { return uptime.Since(at) >= origins.MaxTTL })
	left := 0
	for _, at := range s.leftAt {
		if uptime.Since(at) < window {
			left++
		}
	}
	return left
}

// originPoll is a poll under way.
type originPoll struct {
	origins.Poll
	keepers []string
	enough  func(*origins.Poll) bool
}

// add adds a reply, and reports whether no other is needed.
func (p *originPoll) add(r nodeReply) (settled bool) {
	a := r.answer()
	a.Keeper = slices.Contains(p.keepers, r.node)
	p.Answers = append(p.Answers, a)
	return p.enough(&p.Poll)
}

// collectOrigins collects the replies of some nodes until all have replied, no other is needed or
// the time is over. It returns the nodes that have not replied.
func collectOrigins(ctx context.Context, replies <-chan nodeReply, nodes []string, d time.Duration, poll *originPoll) (missing []string, settled bool) {
	deadline := uptime.Now().Add(d)
	missing = slices.Clone(nodes)
	for len(missing) > 0 {
		reply, ok := await(ctx, replies, uptime.Until(deadline))
		if !ok {
			return missing, false
		}
		if !slices.Contains(missing, reply.node) {
			continue // a duplicate
		}
		missing = without(missing, reply.node)
		if poll.add(reply) {
			return missing, true
		}
	}
	return nil, false
}

// handleOrigins handles what a message says of origins.
func (s *Sharer) handleOrigins(from string, m *message) {
	if s.origins == nil {
		return
	}
	if m.OriginStore != nil {
		s.putOrigin(&m.OriginStore.Record)
		if m.OriginStore.ID != 0 {
			s.sendTo(s.addressesOf([]string{from}), message{OriginReply: &originReply{ID: m.OriginStore.ID}})
		}
	}
	for i := range m.Origins {
		s.putOrigin(&m.Origins[i])
	}
	if q := m.OriginQuestion; q != nil && len(q.Key) == len(origins.Key{}) {
		answer := s.origins.HandleFind(origins.Question{Key: origins.Key(q.Key), Attempt: origins.Attempt(q.Attempt), Service: q.Service, Window: milliseconds(q.WindowMS)})
		s.sendTo(s.addressesOf([]string{from}), message{OriginReply: encodeOriginAnswer(q.ID, answer)})
	}
	if m.OriginReply != nil {
		s.originReplies.deliver(m.OriginReply.ID, nodeReply{node: from, originReply: *m.OriginReply})
	}
	if m.WantOrigins {
		s.transferOrigins(from)
	}
	if m.OriginTransfer != nil {
		s.receiveTransferPart(from, m.OriginTransfer)
	}
}

func (s *Sharer) putOrigin(o *originRecord) {
	if r, ok := o.record(); ok {
		s.origins.Put(r)
		s.requestSave()
	}
}
