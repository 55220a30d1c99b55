package origins

import "context"

// Source says where an origin is known from, or why it is not known.
type Source string

// The sources.
const (
	FromOwnRecord  Source = "own record"
	FromPeerRecord Source = "peer record"
	// FromOnlyVersion: nobody has a record, but all targets that could have begun the
	// stream had one version.
	FromOnlyVersion Source = "only version"

	ConflictingRecords Source = "conflicting records"
	LostRecords        Source = "records may be lost"
	NoAnswers          Source = "too few nodes answered"
	SeveralVersions    Source = "no record, several versions"
	ShortHistory       Source = "no record, versions not observed for long enough"
	SeveralServices    Source = "no record, several services"
)

// agreeingAnswers is how many nodes must know the same origin of a stream whose client names no
// attempt: one may have missed the record of another stream of the same key.
const agreeingAnswers = 2

// Find returns the origin of a stream that a client takes up.
func (r *Registry) Find(ctx context.Context, q Question) (Origin, Source, bool) {
	own, known := r.lookUp(q)
	switch {
	case own.Conflict:
		return Origin{}, ConflictingRecords, false
	case known && q.Attempt != 0:
		return own.Origin, FromOwnRecord, true
	}
	own.Known, own.Kept, own.View = known, r.kept(q.Window), r.view(q)
	poll := r.network.Find(ctx, q, func(p *Poll) bool { return settles(q, own, p) })
	sum := summarize(own, poll.Answers)
	switch {
	case sum.conflict:
		return Origin{}, ConflictingRecords, false
	case sum.known > 0 && q.Attempt == 0 && !sum.whole(q, own, &poll):
		return Origin{}, LostRecords, false
	case sum.peers > 0:
		return sum.origin, FromPeerRecord, true
	case sum.known > 0:
		return sum.origin, FromOwnRecord, true
	case len(poll.Answers) < min(minAnswers, poll.Asked):
		return Origin{}, NoAnswers, false
	}
	return onlyVersion(q, sum.view)
}

// summary is what this node and others know.
type summary struct {
	origin   Origin // valid if known
	known    int    // number of nodes that know it
	peers    int    // of them, other nodes
	conflict bool   // they disagree
	restored bool   // one has read a record of the key from a disk
	view     View
}

// summarize sums up this node's answer and those of others.
func summarize(own Answer, others []Answer) (s summary) {
	for _, a := range others {
		s.add(a)
	}
	s.peers = s.known
	s.add(own)
	return s
}

// add adds an answer.
func (s *summary) add(a Answer) {
	s.conflict = s.conflict || a.Conflict || a.Known && s.known > 0 && a.Origin != s.origin
	s.restored = s.restored || a.Restored
	s.view.merge(a.View)
	if a.Known {
		s.origin = a.Origin
		s.known++
	}
}

// whole reports whether the known streams of a key stand for all that a client may take up.
func (s *summary) whole(q Question, own Answer, p *Poll) bool {
	if s.restored || p.Complete(own.Kept) {
		return true
	}
	only, _, ok := onlyVersion(q, s.view)
	return ok && only == s.origin
}

// settles reports whether further answers to a question would change nothing.
func settles(q Question, own Answer, p *Poll) bool {
	s := summarize(own, p.Answers)
	switch {
	case s.conflict:
		return true
	case q.Attempt != 0:
		return s.peers > 0
	}
	return s.peers >= agreeingAnswers && s.whole(q, own, p)
}

// onlyVersion returns the only version that can have begun a stream without a record.
func onlyVersion(q Question, v View) (Origin, Source, bool) {
	switch {
	case q.Service == "":
		return Origin{}, SeveralServices, false
	case len(v.Versions) != 1:
		return Origin{}, SeveralVersions, false
	case v.Covered < q.Window:
		return Origin{}, ShortHistory, false
	}
	return Origin{Service: q.Service, Software: v.Versions[0]}, FromOnlyVersion, true
}
