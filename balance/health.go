package balance

import (
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Told takes a load that an answer brought.
func (t *Target) Told(l Load) {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.told, t.toldAt, t.own = l, uptime.Now(), len(t.runs)
	t.heard = t.toldAt
}

// errorMemory is the weight of the newest answer in the share of failures.
const errorMemory = 0.1

// Succeeded notes a whole answer.
func (t *Target) Succeeded() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.row = 0
	t.avoid = time.Time{}
	t.broke, t.rumour = time.Time{}, time.Time{}
	t.heard = uptime.Now()
	t.setErrors(t.errors * (1 - errorMemory))
}

// Broke notes that the target did not answer, or broke off: it is avoided for
// a while that doubles with each failure in a row, and is a suspect until it
// is heard of again.
func (t *Target) Broke() {
	t.tracker.mu.Lock()
	cfg := &t.tracker.cfg
	pause := min(cfg.AvoidFirst<<min(t.row, 5), cfg.AvoidLongest)
	t.row++
	now := uptime.Now()
	t.avoid = now.Add(pause)
	t.broke = now
	t.noteBroken()
	t.tracker.failed[t] = struct{}{}
	t.tracker.mu.Unlock()
	t.tracker.changed()
}

// suspectLife is how long a target that broke off is a suspect if nothing is
// heard of it: longer than a list still holds a target that crashed.
const suspectLife = 10 * time.Second

// suspect reports whether the target may have ended. The caller holds the
// mutex.
func (t *Target) suspect(now time.Time) bool {
	return now.Sub(t.broke) < suspectLife || now.Sub(t.rumour) < suspectLife
}

// unheard reports whether the target's data hall was in doubt, and the target
// has not answered this node since. The caller holds the mutex.
func (t *Target) unheard(now time.Time) bool {
	return now.Sub(t.doubted) < suspectLife && t.heard.Before(t.doubted)
}

// Lost reports whether what the target kept is lost, most likely: it has ended
// or leaves, broke off, or its data hall is in doubt and it has not answered
// this node since.
func (t *Target) Lost() bool {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	now := uptime.Now()
	if !t.there(now) || t.suspect(now) || t.unheard(now) {
		return true
	}
	return t.hallInDoubt(now) && now.Sub(t.heard) > hallDoubtTime
}

// HallInDoubt reports whether so many targets of a target's service and data
// hall broke off just now that all of them may have.
func (t *Tracker) HallInDoubt(of *Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return of.hallInDoubt(uptime.Now())
}

// hallInDoubt reports the same of the target's own data hall. The caller holds the mutex.
func (t *Target) hallInDoubt(now time.Time) bool {
	if t.hall == nil {
		return false
	}
	t.pool.findDoubt(now)
	return t.hall.inDoubt
}

// Suspects returns the lives of targets that lately broke off to this node.
func (t *Tracker) Suspects() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	var ids []string
	t.eachFailed(now, func(target *Target) {
		if now.Sub(target.broke) < suspectLife/2 {
			ids = append(ids, target.life)
		}
	})
	return ids
}

// SetSuspects takes another node's word that targets broke off.
func (t *Tracker) SetSuspects(ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	for _, id := range ids {
		if target := t.byLife[id]; target != nil && now.Sub(target.rumour) > suspectLife {
			target.rumour = now
			target.noteBroken()
		}
	}
}

// A data hall is in doubt when this share of a service's targets there broke
// off within a short time.
const (
	hallDoubtTime  = 1500 * time.Millisecond
	hallDoubtShare = 0.25
	hallDoubtLeast = 2
)

// Erred notes an answer that tells of a failure. A target that fails far more
// often than its peers is avoided for a while.
func (t *Target) Erred() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.setErrors(t.errors + errorMemory*(1-t.errors))
	if t.errors > t.tracker.peerErrors(t)+t.tracker.cfg.ErrorTolerate {
		t.avoid = uptime.Now().Add(t.tracker.cfg.ErrorAvoid)
		t.setErrors(t.errors / 2)
	}
}

// peerErrors is the mean share of failures of a target's peers. The caller
// holds the mutex.
func (t *Tracker) peerErrors(of *Target) float64 {
	if of.pool == nil || of.pool.size < 2 {
		return 1
	}
	return max(0, of.pool.errors-of.errors) / float64(of.pool.size-1)
}

// Gone notes that the target has ended: its address is another's now.
func (t *Target) Gone() {
	t.tracker.mu.Lock()
	t.setGone()
	t.tracker.mu.Unlock()
	t.tracker.changed()
}

// Refused notes that nobody answers at the target's address. The target has
// ended, most likely, and the list still holds it; a target that only had too
// many connections is asked again after a while.
func (t *Target) Refused() {
	t.tracker.mu.Lock()
	t.refused = uptime.Now()
	t.tracker.failed[t] = struct{}{}
	t.tracker.mu.Unlock()
	t.tracker.changed()
}

// eachFailed calls f for each listed target that failed this node lately, and forgets
// the others. The caller holds the mutex.
func (t *Tracker) eachFailed(now time.Time, f func(*Target)) {
	for target := range t.failed {
		newest := slices.MaxFunc([]time.Time{target.broke, target.refused, target.mute}, time.Time.Compare)
		listed := target.hall != nil
		if now.Sub(newest) > suspectLife && !(target.gone && listed) {
			delete(t.failed, target)
		} else if listed {
			f(target)
		}
	}
}

// Ended returns the lives of targets that this node lately found to have ended.
func (t *Tracker) Ended() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	var ended []string
	t.eachFailed(now, func(target *Target) {
		if target.gone || now.Sub(target.refused) < refusedLife/2 {
			ended = append(ended, target.life)
		}
	})
	return ended
}

// SetEnded takes another node's word that targets have ended. It counts for
// a shorter time than what this node found itself.
func (t *Tracker) SetEnded(ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	told := uptime.Now().Add(-refusedLife / 2)
	for _, id := range ids {
		if target := t.byLife[id]; target != nil && target.refused.Before(told) {
			target.refused = told
		}
	}
}

// refusedLife is how long a target counts as ended after nobody answered at
// its address: longer than the list lags behind.
const refusedLife = 5 * time.Second

// Full notes that the target turned a request away for want of room.
func (t *Target) Full() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.avoid = uptime.Now().Add(t.tracker.cfg.AvoidFirst / 2)
}

// Leaves reports whether the target is to end, by the site's list or its own word.
func (t *Target) Leaves() bool {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	return t.State == discovery.TargetDraining
}

// Usable reports whether the target may be asked.
func (t *Target) Usable() bool {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	now := uptime.Now()
	return t.open(now) && now.After(t.avoid)
}
