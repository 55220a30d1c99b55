package control

import (
	"slices"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/rollout"
)

// Commands about the versions of services; each is one of the log's.

// KnownVersions notes the versions of a service that were there before any
// roll-out of it.
type KnownVersions struct {
	Service  string
	Versions []string
}

// RolloutOrder asks for a service to be brought to a version.
type RolloutOrder struct {
	Service  string
	Version  string
	Duration time.Duration
	// Listed are the versions that the service's targets have now.
	Listed []string
	// Repeat says that the same order came a short while ago, so that this one
	// begins nothing. The leader tells it by its clock, for all members.
	Repeat bool
}

// RolloutStep notes how far a roll-out has come, or that it has ended.
type RolloutStep struct {
	Service string
	Number  uint64
	State   rollout.State
	Stage   rollout.Stage
	Elapsed time.Duration
	Reason  string
}

// longestOutage bounds the time that the members' clocks say has passed while
// none of them ran: no more is believed of a clock that was set.
const longestOutage = 2 * time.Second

// rollouts are the versions that the control group has agreed on.
type rollouts struct {
	view rollout.View
	// noted is when this member learned how far each roll-out has come, on its
	// own steady clock. It is not part of what is agreed on.
	noted map[string]time.Time
}

// find returns the record of a service, new if there is none.
func (r *rollouts) find(service string) *rollout.Record {
	i := slices.IndexFunc(r.view.Records, func(rec rollout.Record) bool { return rec.Service == service })
	if i < 0 {
		i = len(r.view.Records)
		r.view.Records = append(r.view.Records, rollout.Record{Service: service})
	}
	return &r.view.Records[i]
}

// note takes down that a roll-out has come so far. Where the command is
// applied later than it was given, as after a restart, that time counts, too.
func (r *rollouts) note(service string, given int64) {
	if r.noted == nil {
		r.noted = map[string]time.Time{}
	}
	late := time.Duration(time.Now().UnixMilli()-given) * time.Millisecond
	r.noted[service] = uptime.Now().Add(-min(max(0, late), longestOutage))
}

// elapsed returns how long ago the roll-out of a record was ordered.
func (r *rollouts) elapsed(rec rollout.Record) time.Duration {
	noted, ok := r.noted[rec.Service]
	if !ok {
		return rec.Elapsed
	}
	return rec.Elapsed + uptime.Since(noted)
}

// know notes versions that were there before any roll-out.
func (r *rollouts) know(c *KnownVersions) Result {
	rec := r.find(c.Service)
	if len(rec.InForce) == 0 && rec.Number == 0 {
		rec.InForce = c.Versions
		r.view.Revision++
	}
	return Result{Code: walnutramp.CodeOK}
}

// order begins a roll-out. A repeated order changes nothing.
func (r *rollouts) order(index uint64, c *RolloutOrder, now int64) Result {
	rec := r.find(c.Service)
	if rec.State == rollout.Running {
		return Result{Code: walnutramp.CodeRolloutUnderWay, Rollout: *rec}
	}
	if c.Repeat && rec.OrderedAs(c.Version, c.Duration) {
		return Result{Code: walnutramp.CodeOK, Rollout: *rec}
	}
	before := rec.InForce
	if rec.Number == 0 && len(before) != 1 {
		// What was listed first may hold the new version's targets already.
		before = slices.Compact(slices.Sorted(slices.Values(without(append(slices.Clone(before), c.Listed...), c.Version))))
	}
	if len(before) == 0 || slices.Contains(before, c.Version) {
		return Result{Code: walnutramp.CodeRolloutInForce, Rollout: *rec}
	}
	*rec = rollout.Record{
		Service: c.Service, InForce: before, Number: index, Target: c.Version,
		State: rollout.Running, Duration: c.Duration,
	}
	r.note(c.Service, now)
	r.view.Revision++
	return Result{Code: walnutramp.CodeOK, Rollout: *rec}
}

// step takes a roll-out further. One that has ended stays as it ended.
func (r *rollouts) step(c *RolloutStep, now int64) Result {
	rec := r.find(c.Service)
	if rec.Number != c.Number || rec.State != rollout.Running {
		return Result{Code: walnutramp.CodeOK, Rollout: *rec}
	}
	if c.State != rollout.Running || c.Stage != rec.Stage {
		r.view.Revision++
	}
	rec.State, rec.Stage, rec.Reason = c.State, c.Stage, c.Reason
	rec.Elapsed = max(rec.Elapsed, c.Elapsed)
	r.note(c.Service, now)
	if c.State == rollout.Completed {
		rec.InForce = []string{rec.Target}
	}
	return Result{Code: walnutramp.CodeOK, Rollout: *rec}
}

// copyView returns the view as it is now; what is in it is not changed later.
func (r *rollouts) copyView() rollout.View {
	return rollout.View{Revision: r.view.Revision, Records: slices.Clone(r.view.Records)}
}

// versions returns the view of versions.
func (s *State) versions() rollout.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rollouts.copyView()
}

// versionsSince returns the view of versions, nil where it is not newer than a
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

// rolloutElapsed returns how long ago the roll-out of a record was ordered.
func (s *State) rolloutElapsed(rec rollout.Record) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rollouts.elapsed(rec)
}

// restoreRollouts takes the view of a snapshot, which is as old as its newest
// command at least.
func (s *State) restoreRollouts(v rollout.View) {
	s.rollouts = rollouts{view: v}
	for _, rec := range v.Records {
		s.rollouts.note(rec.Service, time.Now().UnixMilli())
	}
}
