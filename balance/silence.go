package balance

import (
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// A target that loses power or is cut off answers nothing any more. Runs whose
// events come show it within half a second; runs that wait for their first
// event, or another node's, do not. So nodes tell each other.

// OnSilence sets what is called when a target fell silent.
func (t *Tracker) OnSilence(f func()) { t.silence = f }

// FellSilent notes that the target does not answer. Dark says that it answers
// nothing at all; a run whose events stop may only have been put back.
func (t *Target) FellSilent(dark bool) {
	t.tracker.mu.Lock()
	t.noteSilent()
	t.mute = uptime.Now()
	t.silent = t.mute
	if dark {
		t.dark = t.mute
	}
	t.tracker.mu.Unlock()
	t.Broke()
	t.tracker.silence()
}

// SilentTargets returns the lives of the targets that lately fell silent to this node.
func (t *Tracker) SilentTargets() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	var ids []string
	t.eachFailed(now, func(target *Target) {
		if now.Sub(target.mute) < hallDoubtTime {
			ids = append(ids, target.life)
		}
	})
	return ids
}

// SetSilent takes another node's word that targets fell silent to it.
func (t *Tracker) SetSilent(ids []string) {
	if len(ids) == 0 {
		return
	}
	t.mu.Lock()
	now := uptime.Now()
	for _, id := range ids {
		if target := t.byLife[id]; target != nil && now.Sub(target.silent) > hallDoubtTime {
			target.noteSilent()
			target.silent = now
		}
	}
	t.mu.Unlock()
	t.silence()
}

// SilentSince reports whether the target has gone dark since then, or most
// likely has with its data hall, and has not been heard by this node.
func (t *Target) SilentSince(since time.Time) bool {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	if t.heard.After(since) {
		return false
	}
	return t.dark.After(since) || t.tracker.hallSilent(t, since)
}

// hallSilent reports whether so many of the service's targets in a target's
// data hall have fallen silent since then that the others have, too, most
// likely. The caller holds the mutex.
func (t *Tracker) hallSilent(of *Target, since time.Time) bool {
	if of.hall == nil {
		return false
	}
	silent := 0
	for _, target := range of.pool.silent {
		if target.hall == of.hall && !target.gone && target.silent.After(since) {
			silent++
		}
	}
	return silent >= hallDoubtLeast && float64(silent) >= hallDoubtShare*float64(of.hall.present)
}
