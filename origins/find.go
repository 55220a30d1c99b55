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

// Find returns the origin of a stream that a client takes up.
func (r *Registry) Find(ctx context.Context, q Question) (Origin, Source, bool) {
	own, known := r.lookUp(q)
	switch {
	case own.Conflict:
		return Origin{}, ConflictingRecords, false
	case known && q.Attempt != 0:
		return own.Origin, FromOwnRecord, true
	}
	kept := r.kept(q.Window)
	poll := r.network.Find(ctx, q, kept)
	view := r.view(q)
	found, source, restored := own.Origin, FromOwnRecord, own.Restored
	for _, a := range poll.Answers {
		switch {
		case a.Conflict, a.Known && known && a.Origin != found:
			return Origin{}, ConflictingRecords, false
		case a.Known:
			found, source, known = a.Origin, FromPeerRecord, true
		}
		restored = restored || a.Restored
		view.merge(a.View)
	}
	switch {
	case known && q.Attempt == 0 && !restored && !poll.Complete(kept) && !mustBe(found, q, view):
		return Origin{}, LostRecords, false
	case known:
		return found, source, true
	case len(poll.Answers) < min(minAnswers, poll.Asked):
		return Origin{}, NoAnswers, false
	}
	return onlyVersion(q, view)
}

// mustBe reports whether an origin is the only one that any stream can have.
func mustBe(o Origin, q Question, v View) bool {
	only, _, ok := onlyVersion(q, v)
	return ok && only == o
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
