package control

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/duty"
)

var dutyConfig = duty.Config{Lease: 3 * time.Second, Slack: 300 * time.Millisecond, PerSecond: 20}

// fakeGroup is a control group whose log is a counter.
type fakeGroup struct {
	mu       sync.Mutex
	leads    bool
	silent   bool // no majority answers
	record   duty.Record
	index    uint64
	released []duty.Release
	handed   []time.Time
}

func (g *fakeGroup) Leads() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leads
}

func (g *fakeGroup) set(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
}

func (g *fakeGroup) Confirm(ctx context.Context) bool {
	g.mu.Lock()
	ok := g.leads && !g.silent
	g.mu.Unlock()
	if !ok {
		<-ctx.Done()
	}
	return ok
}

func (g *fakeGroup) Agree(ctx context.Context, c Command) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.leads || g.silent || ctx.Err() != nil {
		return false
	}
	g.index++
	if c.Grant != nil {
		g.record = g.record.Granted(duty.Token(g.index), *c.Grant)
		return true
	}
	g.record = g.record.AfterRelease(*c.Release)
	g.released = append(g.released, *c.Release)
	return true
}

func (g *fakeGroup) Record() duty.Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.record
}

// HandOver implements leaderTransfer; the other member leads for a moment only.
func (g *fakeGroup) HandOver(context.Context) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handed = append(g.handed, time.Now())
	return true
}

// fakePlatform answers calls as it is told.
type fakePlatform struct {
	mu       sync.Mutex
	outcomes []duty.Outcome // in turn; the last stays
	calls    []duty.Permission
	at       []time.Time
	takes    time.Duration
	underWay int
	most     int
}

func (p *fakePlatform) send(_ context.Context, perm duty.Permission) duty.Outcome {
	p.mu.Lock()
	p.calls, p.at = append(p.calls, perm), append(p.at, time.Now())
	outcome := p.outcomes[0]
	if len(p.outcomes) > 1 {
		p.outcomes = p.outcomes[1:]
	}
	p.underWay++
	p.most = max(p.most, p.underWay)
	p.mu.Unlock()
	time.Sleep(p.takes)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.underWay--
	return outcome
}

func (p *fakePlatform) call(subject duty.Subject, content string) duty.Call {
	return duty.Call{Subject: subject, Content: content, Send: p.send}
}

// playDuty runs a holder on a leader with a group of its own.
func playDuty(t *testing.T, transfers bool, test func(t *testing.T, h *DutyHolder, g *fakeGroup)) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{leads: true}
		o := dutyOptions{name: "machine"}
		if transfers {
			o.transfer = g
		}
		h := newDutyHolder(g, "n1", dutyConfig, o)
		ctx, cancel := context.WithCancel(context.Background())
		var run sync.WaitGroup
		run.Go(func() { h.Run(ctx) })
		time.Sleep(time.Second + dutyEvery/2) // tests look between two steps of the holder
		test(t, h, g)
		cancel()
		run.Wait()
	})
}

func TestLeaderHoldsTheDuty(t *testing.T) {
	playDuty(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		require.True(t, h.Held())
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Done}}
		require.Equal(t, duty.Done, h.Do(t.Context(), p.call("s", "x")))
		require.Equal(t, "machine", p.calls[0].Holder)
		require.Equal(t, g.Record().Token, p.calls[0].Token)
		require.Greater(t, time.Until(p.calls[0].Until), callLimit)

		g.set(func() { g.leads = false })
		require.False(t, h.Held())
		require.Equal(t, duty.NotSent, h.Do(t.Context(), p.call("s", "x")))
		require.Len(t, p.calls, 1)
	})
}

func TestDutyEndsWithoutAMajority(t *testing.T) {
	playDuty(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		g.set(func() { g.silent = true })
		time.Sleep(dutyConfig.Lease - dutyConfig.Slack)
		require.False(t, h.Held())
		g.set(func() { g.silent = false })
		time.Sleep(time.Second)
		require.True(t, h.Held())
		require.EqualValues(t, 1, g.Record().Token, "nobody else held it")
	})
}

func TestNewLeaderWaitsForALease(t *testing.T) {
	playDuty(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		g.set(func() {
			g.index = 9
			g.record = g.record.Granted(9, duty.Grant{Holder: duty.Holder{Node: "n2", Life: 1}})
		})
		time.Sleep(time.Second) // it learns of it, as a new leader does, and takes a grant
		taken := g.Record()
		require.Equal(t, "n1", taken.Holder.Node)
		require.False(t, h.Held())
		time.Sleep(dutyConfig.Lease - time.Second)
		require.False(t, h.Held())
		time.Sleep(time.Second)
		require.True(t, h.Held())
		require.Greater(t, g.Record().Token, taken.Token)
		require.ElementsMatch(t, []string{"n1", "n2"}, g.Record().Recent)
		time.Sleep(dutyConfig.Lease)
		require.Equal(t, []string{"n1"}, g.Record().Recent)
		require.True(t, h.Held())
	})
}

func TestUnclearCallTakesATokenBeforeOtherContent(t *testing.T) {
	playDuty(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Unclear, duty.Done}}
		do := func(content string) duty.Outcome {
			time.Sleep(time.Second) // over every pause
			return h.Do(t.Context(), p.call("s", content))
		}
		require.Equal(t, duty.Unclear, do("x"))
		require.Equal(t, duty.Done, do("x"))
		require.Equal(t, duty.Done, do("y"))
		require.Equal(t, duty.Done, do("z"))
		require.Equal(t, p.calls[0].Token, p.calls[1].Token, "an exact repeat")
		require.Greater(t, p.calls[2].Token, p.calls[1].Token)
		require.Equal(t, p.calls[2].Token, p.calls[3].Token)
		require.EqualValues(t, 1, g.Record().First, "the holder is the same")
	})
}

func TestRefusedTokenIsNotShownAgain(t *testing.T) {
	playDuty(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Fenced, duty.Done}}
		require.Equal(t, duty.Fenced, h.Do(t.Context(), p.call("s", "x")))
		require.False(t, h.Held(), "the group is asked first")
		time.Sleep(time.Second)
		require.Equal(t, duty.Done, h.Do(t.Context(), p.call("s", "x")))
		require.Greater(t, p.calls[1].Token, p.calls[0].Token)
	})
}

func TestConflictIsResolvedByTheGroup(t *testing.T) {
	playDuty(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Conflict, duty.Done, duty.Conflict}}
		require.Equal(t, duty.Rejected, h.Do(t.Context(), p.call("s", "x")))
		time.Sleep(time.Second)
		require.Equal(t, duty.Done, h.Do(t.Context(), p.call("s", "x")))
		require.Greater(t, p.calls[1].Token, p.calls[0].Token)

		time.Sleep(time.Second)
		g.set(func() { g.silent = true })
		require.Equal(t, duty.Fenced, h.Do(t.Context(), p.call("s", "x")), "nobody can say")
		require.False(t, h.Held())
	})
}

func TestOneCallAtATimeOnASubject(t *testing.T) {
	playDuty(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		for subjects, most := range map[string]int{"s s s": 1, "s t u": 3} {
			p := &fakePlatform{outcomes: []duty.Outcome{duty.Done}, takes: time.Second}
			var calls sync.WaitGroup
			for _, s := range strings.Fields(subjects) {
				calls.Go(func() { require.Equal(t, duty.Done, h.Do(t.Context(), p.call(duty.Subject(s), "x"))) })
			}
			calls.Wait()
			require.Equal(t, most, p.most)
			require.Len(t, p.calls, 3)
		}
	})
}

func TestCallsArePaced(t *testing.T) {
	playDuty(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Done}}
		began := time.Now()
		for range 21 {
			require.Equal(t, duty.Done, h.Do(t.Context(), p.call("s", "x")))
		}
		require.InDelta(t, 20/(dutyConfig.PerSecond*paceShare), time.Since(began).Seconds(), 0.05)
	})
}

// Callers that come again at once do not reach a platform that is busy.
func TestBusyPlatformIsLeftAlone(t *testing.T) {
	playDuty(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Busy}}
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			h.Do(t.Context(), p.call("s", "x"))
		}
		require.LessOrEqual(t, len(p.calls), 16, "pauses of 50 ms to 1 s grow to 1 to 2 s")
		require.GreaterOrEqual(t, len(p.calls), 8)
	})
}

func TestReleaseWaitsForTheCallUnderWay(t *testing.T) {
	for outcome, pending := range map[duty.Outcome]bool{duty.Done: false, duty.Unclear: true} {
		playDuty(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
			p := &fakePlatform{outcomes: []duty.Outcome{outcome}, takes: 500 * time.Millisecond}
			go h.Do(t.Context(), p.call("s", "x"))
			time.Sleep(100 * time.Millisecond)
			h.Release(t.Context())
			require.Zero(t, p.underWay)
			require.Equal(t, []duty.Release{{Token: 1, Pending: pending}}, g.released)
			require.Equal(t, duty.NotSent, h.Do(t.Context(), p.call("s", "x")))
			time.Sleep(time.Second)
			require.EqualValues(t, 1, g.Record().Token, "it takes no grant any more")
		})
	}
}

// A planned stop has little time: a call without an answer must not take all of
// it, so that the group learns of the release.
func TestReleaseLeavesTimeForItsWord(t *testing.T) {
	playDuty(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Unclear}, takes: callLimit}
		go h.Do(t.Context(), p.call("s", "x"))
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		h.Release(ctx)
		require.Equal(t, []duty.Release{{Token: 1, Pending: true}}, g.released)
		time.Sleep(callLimit)
	})
}

// The way to the platform is cut, the way to the group is not: the duty moves,
// and less often the more members can't reach the platform.
func TestHolderThatCanNotReachThePlatformHandsOver(t *testing.T) {
	playDuty(t, true, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Unclear}, takes: callLimit}
		began := time.Now()
		for time.Since(began) < 60*time.Second {
			h.Do(t.Context(), p.call("s", "x"))
			time.Sleep(50 * time.Millisecond)
		}
		require.GreaterOrEqual(t, len(g.handed), 2)
		require.LessOrEqual(t, len(g.handed), 7)
		require.InDelta(t, silentPatience.Seconds(), g.handed[0].Sub(began).Seconds(), 2.5)
		require.Equal(t, []string{"n1"}, g.Record().Unreachable)
		require.True(t, g.released[0].Unreachable)
		require.True(t, g.released[0].Pending)

		time.Sleep(3 * time.Second)
		p.mu.Lock()
		p.outcomes, p.takes = []duty.Outcome{duty.Done}, 0
		p.mu.Unlock()
		require.Equal(t, duty.Done, h.Do(t.Context(), p.call("s", "x")))
		time.Sleep(time.Second)
		require.Empty(t, g.Record().Unreachable)
	})
}

func TestOtherMembersThatTriedInVainMakeAHolderPatient(t *testing.T) {
	playDuty(t, true, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		g.set(func() { g.record.Unreachable = []string{"n2", "n3"} })
		time.Sleep(time.Second)
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Unclear}, takes: callLimit}
		began := time.Now()
		for time.Since(began) < 4*silentPatience-time.Second {
			h.Do(t.Context(), p.call("s", "x"))
			time.Sleep(50 * time.Millisecond)
		}
		for _, at := range g.handed { // the last call may end after that
			t.Logf("handed over after %v, the calls ended after %v", at.Sub(began), time.Since(began))
			require.Greater(t, at.Sub(began), 4*silentPatience)
		}
	})
}

func TestDutyOutlivesASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewState()
		holder := duty.Holder{Node: "n1", Life: 7}
		applyAll(s, 5, Command{Grant: &duty.Grant{Holder: holder}}, Command{Release: &duty.Release{Token: 5, Unreachable: true}})
		restored := NewState()
		require.NoError(t, restored.Restore(s.Snapshot()))
		require.Equal(t, s.dutyRecord(), restored.dutyRecord())
		require.Equal(t, duty.Record{
			Token: 5, First: 5, Holder: holder, Released: true, Recent: []string{"n1"}, Unreachable: []string{"n1"},
		}, restored.dutyRecord())
	})
}

func TestMetricsOfTheDuty(t *testing.T) {
	playDuty(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Done}}
		h.Do(t.Context(), p.call("s", "x"))
		var text strings.Builder
		h.WriteMetrics(&text)
		for _, want := range []string{`walnutramp_duty_calls_total{outcome="done"} 1`, "walnutramp_duty_held 1", "walnutramp_duty_token 1", "walnutramp_duty_lease_left_seconds 2."} {
			require.Contains(t, text.String(), want)
		}
	})
}
