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

// fakeGroup is a dutyGroup with a counter for a log.
type fakeGroup struct {
	mu        sync.Mutex
	leads     bool
	noQuorum  bool
	record    duty.Record
	index     uint64
	released  []duty.Release
	transfers []time.Time
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
	ok := g.leads && !g.noQuorum
	g.mu.Unlock()
	if !ok {
		<-ctx.Done()
	}
	return ok
}

func (g *fakeGroup) Commit(ctx context.Context, c Command) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.leads || g.noQuorum || ctx.Err() != nil {
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

// TransferLeadership implements leaderTransfer. The group goes on reporting that this
// member leads.
func (g *fakeGroup) TransferLeadership(context.Context) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.transfers = append(g.transfers, time.Now())
	return true
}

// fakePlatform returns the outcomes it is given.
type fakePlatform struct {
	mu          sync.Mutex
	outcomes    []duty.Outcome // in order; the last one repeats
	calls       []duty.Permission
	sentAt      []time.Time
	latency     time.Duration
	inFlight    int
	maxInFlight int
}

func (p *fakePlatform) send(_ context.Context, perm duty.Permission) duty.Outcome {
	p.mu.Lock()
	p.calls, p.sentAt = append(p.calls, perm), append(p.sentAt, time.Now())
	outcome := p.outcomes[0]
	if len(p.outcomes) > 1 {
		p.outcomes = p.outcomes[1:]
	}
	p.inFlight++
	p.maxInFlight = max(p.maxInFlight, p.inFlight)
	p.mu.Unlock()
	time.Sleep(p.latency)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	return outcome
}

func (p *fakePlatform) call(subject duty.Subject, content string) duty.Call {
	return duty.Call{Subject: subject, Content: content, Send: p.send}
}

// withDutyHolder runs a test on a leader's DutyHolder with a fakeGroup.
func withDutyHolder(t *testing.T, transfers bool, test func(t *testing.T, h *DutyHolder, g *fakeGroup)) {
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
		time.Sleep(time.Second + dutyCheckInterval/2) // between two steps of the holder
		test(t, h, g)
		cancel()
		run.Wait()
	})
}

func TestLeaderHoldsTheDuty(t *testing.T) {
	withDutyHolder(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		require.True(t, h.Held())
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Done}}
		require.Equal(t, duty.Done, h.Do(t.Context(), p.call("s", "x")))
		require.Equal(t, "machine", p.calls[0].Holder)
		require.Equal(t, g.Record().Token, p.calls[0].Token)
		require.Greater(t, time.Until(p.calls[0].Until), callTimeout)

		g.set(func() { g.leads = false })
		require.False(t, h.Held())
		require.Equal(t, duty.NotSent, h.Do(t.Context(), p.call("s", "x")))
		require.Len(t, p.calls, 1)
	})
}

func TestDutyLapsesWithoutMajority(t *testing.T) {
	withDutyHolder(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		g.set(func() { g.noQuorum = true })
		time.Sleep(dutyConfig.Lease - dutyConfig.Slack)
		require.False(t, h.Held())
		g.set(func() { g.noQuorum = false })
		time.Sleep(time.Second)
		require.True(t, h.Held())
		require.EqualValues(t, 1, g.Record().Token, "no other holder in between")
	})
}

func TestNewLeaderWaitsOutPreviousLease(t *testing.T) {
	withDutyHolder(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		g.set(func() {
			g.index = 9
			g.record = g.record.Granted(9, duty.Grant{Holder: duty.Holder{Node: "n2", Life: 1}})
		})
		time.Sleep(time.Second) // reads the record and takes a grant
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

func TestNewContentAfterUnclearCallNeedsNewToken(t *testing.T) {
	withDutyHolder(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Unclear, duty.Done}}
		do := func(content string) duty.Outcome {
			time.Sleep(time.Second) // longer than any backoff
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

func TestFencedTokenIsNotReused(t *testing.T) {
	withDutyHolder(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Fenced, duty.Done}}
		require.Equal(t, duty.Fenced, h.Do(t.Context(), p.call("s", "x")))
		require.False(t, h.Held(), "the record has to be read first")
		time.Sleep(time.Second)
		require.Equal(t, duty.Done, h.Do(t.Context(), p.call("s", "x")))
		require.Greater(t, p.calls[1].Token, p.calls[0].Token)
	})
}

func TestConflictIsResolvedByTheGroup(t *testing.T) {
	withDutyHolder(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Conflict, duty.Done, duty.Conflict}}
		require.Equal(t, duty.Rejected, h.Do(t.Context(), p.call("s", "x")))
		time.Sleep(time.Second)
		require.Equal(t, duty.Done, h.Do(t.Context(), p.call("s", "x")))
		require.Greater(t, p.calls[1].Token, p.calls[0].Token)

		time.Sleep(time.Second)
		g.set(func() { g.noQuorum = true })
		require.Equal(t, duty.Fenced, h.Do(t.Context(), p.call("s", "x")), "no majority can confirm")
		require.False(t, h.Held())
	})
}

func TestCallsOnASubjectAreSerialized(t *testing.T) {
	withDutyHolder(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		for subjects, maxInFlight := range map[string]int{"s s s": 1, "s t u": 3} {
			p := &fakePlatform{outcomes: []duty.Outcome{duty.Done}, latency: time.Second}
			var calls sync.WaitGroup
			for _, s := range strings.Fields(subjects) {
				calls.Go(func() { require.Equal(t, duty.Done, h.Do(t.Context(), p.call(duty.Subject(s), "x"))) })
			}
			calls.Wait()
			require.Equal(t, maxInFlight, p.maxInFlight)
			require.Len(t, p.calls, 3)
		}
	})
}

func TestCallsAreRateLimited(t *testing.T) {
	withDutyHolder(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Done}}
		began := time.Now()
		for range 21 {
			require.Equal(t, duty.Done, h.Do(t.Context(), p.call("s", "x")))
		}
		require.InDelta(t, 20/(dutyConfig.PerSecond*callRateShare), time.Since(began).Seconds(), 0.05)
	})
}

// Callers that retry at once must not overload a busy platform.
func TestCallsBackOffFromBusyPlatform(t *testing.T) {
	withDutyHolder(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Busy}}
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			h.Do(t.Context(), p.call("s", "x"))
		}
		require.LessOrEqual(t, len(p.calls), 16, "backoff grows to 1 to 2 s")
		require.GreaterOrEqual(t, len(p.calls), 8)
	})
}

func TestReleaseWaitsForInFlightCall(t *testing.T) {
	for outcome, pending := range map[duty.Outcome]bool{duty.Done: false, duty.Unclear: true} {
		withDutyHolder(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
			p := &fakePlatform{outcomes: []duty.Outcome{outcome}, latency: 500 * time.Millisecond}
			go h.Do(t.Context(), p.call("s", "x"))
			time.Sleep(100 * time.Millisecond)
			h.Release(t.Context())
			require.Zero(t, p.inFlight)
			require.Equal(t, []duty.Release{{Token: 1, Pending: pending}}, g.released)
			require.Equal(t, duty.NotSent, h.Do(t.Context(), p.call("s", "x")))
			time.Sleep(time.Second)
			require.EqualValues(t, 1, g.Record().Token, "takes no further grant")
		})
	}
}

// A call without an answer must not use up the time of a planned stop before the
// release is committed.
func TestReleaseReservesTimeToCommit(t *testing.T) {
	withDutyHolder(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Unclear}, latency: callTimeout}
		go h.Do(t.Context(), p.call("s", "x"))
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		h.Release(ctx)
		require.Equal(t, []duty.Release{{Token: 1, Pending: true}}, g.released)
		time.Sleep(callTimeout)
	})
}

// With the platform unreachable but the group reachable, leadership moves, and
// less often the more members have failed to reach the platform.
func TestUnreachablePlatformTransfersLeadership(t *testing.T) {
	withDutyHolder(t, true, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Unclear}, latency: callTimeout}
		began := time.Now()
		for time.Since(began) < 60*time.Second {
			h.Do(t.Context(), p.call("s", "x"))
			time.Sleep(50 * time.Millisecond)
		}
		require.GreaterOrEqual(t, len(g.transfers), 2)
		require.LessOrEqual(t, len(g.transfers), 7)
		require.InDelta(t, minTransferDelay.Seconds(), g.transfers[0].Sub(began).Seconds(), 2.5)
		require.Equal(t, []string{"n1"}, g.Record().Unreachable)
		require.True(t, g.released[0].Unreachable)
		require.True(t, g.released[0].Pending)

		time.Sleep(3 * time.Second)
		p.mu.Lock()
		p.outcomes, p.latency = []duty.Outcome{duty.Done}, 0
		p.mu.Unlock()
		require.Equal(t, duty.Done, h.Do(t.Context(), p.call("s", "x")))
		time.Sleep(time.Second)
		require.Empty(t, g.Record().Unreachable)
	})
}

func TestTransferDelayGrowsWithUnreachableMembers(t *testing.T) {
	withDutyHolder(t, true, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		g.set(func() { g.record.Unreachable = []string{"n2", "n3"} })
		time.Sleep(time.Second)
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Unclear}, latency: callTimeout}
		began := time.Now()
		for time.Since(began) < 4*minTransferDelay-time.Second {
			h.Do(t.Context(), p.call("s", "x"))
			time.Sleep(50 * time.Millisecond)
		}
		for _, at := range g.transfers { // the last call may still end after that
			t.Logf("leadership transferred after %v, calls ended after %v", at.Sub(began), time.Since(began))
			require.Greater(t, at.Sub(began), 4*minTransferDelay)
		}
	})
}

func TestDutySurvivesSnapshot(t *testing.T) {
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

func TestDutyMetrics(t *testing.T) {
	withDutyHolder(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Done}}
		h.Do(t.Context(), p.call("s", "x"))
		var text strings.Builder
		h.WriteMetrics(&text)
		for _, want := range []string{`walnutramp_duty_calls_total{outcome="done"} 1`, "walnutramp_duty_held 1", "walnutramp_duty_token 1", "walnutramp_duty_lease_left_seconds 2."} {
			require.Contains(t, text.String(), want)
		}
	})
}
