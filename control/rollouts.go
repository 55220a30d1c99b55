package control

import (
	"slices"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/rollout"
)

// Commands about the versions of services.

// KnownVersions records the versions of a service before any roll-out of it.
type KnownVersions struct {
	Service  string
	Versions []string
}

// RolloutOrder starts a roll-out of a service to a version.
type RolloutOrder struct {
	Service  string
	Version  string
	Duration time.Duration
	// Listed are the current versions of the service's targets.
	Listed []string
	// Repeat says that this is a retry of a recent order and starts nothing. The
	// leader decides by its clock, so that all members apply the same.
	Repeat bool
}

// RolloutStep records the progress or the end of a roll-out.
type RolloutStep struct {
	Service string
	Number  uint64
	State   rollout.State
	Stage   rollout.Stage
	Elapsed time.Duration
	Reason  string
}

// maxDowntimeCredit bounds the time that is added to a roll-out for downtime of
// all members, which is measured by the wall clock and so affected by clock jumps.
const maxDowntimeCredit = 2 * time.Second

// rollouts is the replicated state of services' versions and roll-outs.
type rollouts struct {
	view rollout.View
	// elapsedAt is when this member applied each record's Elapsed, on the
	// monotonic clock. It is local state and not in snapshots.
	elapsedAt map[string]time.Time
}

// record returns the record of a service, creating it if needed.
func (r *rollouts) record(service string) *rollout.Record {
	i := slices.IndexFunc(r.view.Records, func(rec rollout.Record) bool { return rec.Service == service })
	if i < 0 {
		i = len(r.view.Records)
		r.view.Records = append(r.view.Records, rollout.Record{Service: service})
	}
	return &r.view.Records[i]
}

// markElapsed records when a roll-out's Elapsed was current. If the command is
// applied later than it was proposed, as after a restart, the delay is added.
func (r *rollouts) markElapsed(service string, proposedAt int64) {
	if r.elapsedAt == nil {
		r.elapsedAt = map[string]time.Time{}
	}
	delay := time.Duration(time.Now().UnixMilli()-proposedAt) * time.Millisecond
	r.elapsedAt[service] = uptime.Now().Add(-min(max(0, delay), maxDowntimeCredit))
}

// elapsed returns the time since a roll-out was ordered, as measured by this member.
func (r *rollouts) elapsed(rec rollout.Record) time.Duration {
	recordedAt, ok := r.elapsedAt[rec.Service]
	if !ok {
		return rec.Elapsed
	}
	return rec.Elapsed + uptime.Since(recordedAt)
}

// addKnown records the versions before any roll-out, once.
func (r *rollouts) addKnown(c *KnownVersions) Result {
	rec := r.record(c.Service)
	if len(rec.InForce) == 0 && rec.Number == 0 {
		rec.InForce = c.Versions
		r.view.Revision++
	}
	return Result{Code: walnutramp.CodeOK}
}

// start begins a roll-out. A retried order changes nothing.
func (r *rollouts) start(index uint64, c *RolloutOrder, now int64) Result {
	rec := r.record(c.Service)
	if rec.State == rollout.Running {
		return Result{Code: walnutramp.CodeRolloutUnderWay, Rollout: *rec}
	}
	if c.Repeat && rec.OrderedAs(c.Version, c.Duration) {
		return Result{Code: walnutramp.CodeOK, Rollout: *rec}
	}
	before := rec.InForce
	if rec.Number == 0 && len(before) != 1 {
		// The first list may already include targets of the new version.
		before = slices.Compact(slices.Sorted(slices.Values(without(append(slices.Clone(before), c.Listed...), c.Version))))
	}
	if len(before) == 0 || slices.Contains(before, c.Version) {
		return Result{Code: walnutramp.CodeRolloutInForce, Rollout: *rec}
	}
	*rec = rollout.Record{
		Service: c.Service, InForce: before, Number: index, Target: c.Version,
		State: rollout.Running, Duration: c.Duration,
	}
	r.markElapsed(c.Service, now)
	r.view.Revision++
	return Result{Code: walnutramp.CodeOK, Rollout: *rec}
}

// advance applies a step of a roll-out. A step of one that has ended, or is not the
// service's newest, changes nothing.
func (r *rollouts) advance(c *RolloutStep, now int64) Result {
	rec := r.record(c.Service)
	if rec.Number != c.Number || rec.State != rollout.Running {
		return Result{Code: walnutramp.CodeOK, Rollout: *rec}
	}
	if c.State != rollout.Running || c.Stage != rec.Stage {
		r.view.Revision++
	}
	rec.State, rec.Stage, rec.Reason = c.State, c.Stage, c.Reason
	rec.Elapsed = max(rec.Elapsed, c.Elapsed)
	r.markElapsed(c.Service, now)
	if c.State == rollout.Completed {
		rec.InForce = []string{rec.Target}
	}
	return Result{Code: walnutramp.CodeOK, Rollout: *rec}
}

// copyView returns a copy of the view; its records are not modified later.
func (r *rollouts) copyView() rollout.View {
	return rollout.View{Revision: r.view.Revision, Records: slices.Clone(r.view.Records)}
}

// versions returns a copy of the view.
func (s *State) versions() rollout.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rollouts.copyView()
}

// versionsSince returns a copy of the view, or nil if it is not newer than a
// revision.
func (s *State) versionsSince(revision uint64) *rollout.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rollouts.view.Revision <= revision {
		return nil
	}
	view := s.rollouts.copyView()
	return &view
}

// rolloutElapsed returns the time since a roll-out was ordered.
func (s *State) rolloutElapsed(rec rollout.Record) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rollouts.elapsed(rec)
}

// restoreRollouts restores the view from a snapshot. Its elapsed times count from
// now, as the snapshot does not hold when they were recorded.
func (s *State) restoreRollouts(v rollout.View) {
	s.rollouts = rollouts{view: v}
	for _, rec := range v.Records {
		s.rollouts.markElapsed(rec.Service, time.Now().UnixMilli())
	}
}
