package origins

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

const (
	// maxRecords bounds the records of a node. A stream whose record was dropped for it
	// can't be taken up elsewhere.
	maxRecords = 1 << 16
	// MaxTTL bounds how long a record is kept.
	MaxTTL = 5 * time.Minute
	// minAnswers is how many nodes must say that they have no record before the views
	// decide: the only node asked may have lost it.
	minAnswers = 2
)

// Registry holds the records of a node.
type Registry struct {
	versions Versions
	network  Network

	mu      sync.Mutex
	streams map[Key][]stream
	queue   []queued  // in the order of Put
	dropped uint64    // records dropped before their expiry
	since   time.Time // since when no record was lost
}

// stream is the record of one stream of a key.
type stream struct {
	attempt  Attempt
	origin   Origin
	expires  time.Time
	conflict bool // records disagree
	restored bool // see Record
}

// queued is when a record may be dropped.
type queued struct {
	key     Key
	attempt Attempt
	expires time.Time
}

// New returns an empty registry of a node without peers.
func New(v Versions) *Registry {
	return &Registry{versions: v, network: noNetwork{}, streams: map[Key][]stream{}, since: uptime.Now()}
}

// SetNetwork sets what reaches the other nodes. It must be called before the registry is used.
func (r *Registry) SetNetwork(n Network) { r.network = n }

// Put adds a record or renews it. Of a stream with two origins none is known any more.
func (r *Registry) Put(rec Record) {
	if rec.TTL <= 0 {
		return
	}
	now := uptime.Now()
	expires := now.Add(min(rec.TTL, MaxTTL))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	streams := r.streams[rec.Key]
	i := slices.IndexFunc(streams, func(s stream) bool { return s.attempt == rec.Attempt })
	if i < 0 {
		r.streams[rec.Key] = append(streams, stream{attempt: rec.Attempt, origin: rec.Origin, expires: expires, restored: rec.Restored})
	} else {
		s := &streams[i]
		s.conflict = s.conflict || s.origin != rec.Origin
		s.restored = s.restored || rec.Restored
		if !expires.After(s.expires) {
			return
		}
		s.expires = expires
	}
	r.queue = append(r.queue, queued{rec.Key, rec.Attempt, expires})
	if len(r.queue) > maxRecords && r.dropOldest() {
		r.dropped++
		r.since = now
	}
}

// KeptSince returns since when this node has lost no record.
func (r *Registry) KeptSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.since
}

// Inherit records that this node was given all records that it has lost since a time.
func (r *Registry) Inherit(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if since.Before(r.since) {
		r.since = since
	}
}

// NothingBefore records that no stream began before this registry was created.
func (r *Registry) NothingBefore() { r.Inherit(time.Time{}) }

// kept reports whether this node has lost no record within a window.
func (r *Registry) kept(window time.Duration) bool { return uptime.Since(r.KeptSince()) >= window }

// expire drops the records that have expired, oldest first. The caller holds the mutex.
func (r *Registry) expire(now time.Time) {
	for len(r.queue) > 0 && !now.Before(r.queue[0].expires) {
		r.dropOldest()
	}
}

// dropOldest drops the oldest record unless it was renewed, and reports whether it did. The
// caller holds the mutex.
func (r *Registry) dropOldest() bool {
	oldest := r.queue[0]
	r.queue = r.queue[1:]
	before := len(r.streams[oldest.key])
	left := slices.DeleteFunc(r.streams[oldest.key], func(s stream) bool {
		return s.attempt == oldest.attempt && s.expires.Equal(oldest.expires)
	})
	if r.streams[oldest.key] = left; len(left) == 0 {
		delete(r.streams, oldest.key)
	}
	return len(left) < before
}

// Records returns the records that are not in conflict and whose keys keep selects.
func (r *Registry) Records(keep func(Key) bool) []Record {
	now := uptime.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	var selected []Record
	for k, streams := range r.streams {
		if !keep(k) {
			continue
		}
		for _, s := range streams {
			if left := s.expires.Sub(now); left > 0 && !s.conflict {
				selected = append(selected, Record{Key: k, Attempt: s.attempt, Origin: s.origin, TTL: left, Restored: s.restored})
			}
		}
	}
	return selected
}

// Counts returns the number of records, and of those that were dropped before their expiry.
func (r *Registry) Counts() (records int, dropped uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, streams := range r.streams {
		records += len(streams)
	}
	return records, r.dropped
}

// HandleFind answers another node's question.
func (r *Registry) HandleFind(q Question) Answer {
	a, ok := r.lookUp(q)
	if q.Attempt == 0 {
		a.Kept = r.kept(q.Window)
	}
	if !ok || q.Attempt == 0 {
		a.View = r.view(q)
	}
	return a
}

// lookUp answers a question from this node's records; false if it has none.
func (r *Registry) lookUp(q Question) (a Answer, ok bool) {
	now := uptime.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.streams[q.Key] {
		if !now.Before(s.expires) || q.Attempt != 0 && s.attempt != q.Attempt {
			continue
		}
		conflict := s.conflict || ok && a.Origin != s.origin
		a = Answer{Conflict: a.Conflict || conflict, Origin: s.origin, Restored: a.Restored || s.restored}
		ok = true
	}
	a.Known = ok && !a.Conflict
	return a, ok
}

// view returns what this node has seen of a question's service.
func (r *Registry) view(q Question) (v View) {
	if q.Service != "" {
		v.Versions, v.Covered = r.versions.VersionsWithin(q.Service, q.Window)
	}
	return v
}

// Remember keeps the origin of a stream, here and at other nodes. If targets of several
// versions were listed within the window, it waits until another node has the record;
// confirmed is false if none said so in time.
func (r *Registry) Remember(ctx context.Context, rec Record, window time.Duration) (confirmed bool) {
	r.Put(rec)
	versions, _ := r.versions.VersionsWithin(rec.Service, window)
	return r.network.Store(ctx, rec, len(versions) > 1)
}

// Renew keeps the origin of a stream that a client has taken up, without waiting.
func (r *Registry) Renew(ctx context.Context, rec Record) {
	r.Put(rec)
	r.network.Store(ctx, rec, false)
}
