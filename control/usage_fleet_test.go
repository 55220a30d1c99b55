package control_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/duty"
	"github.com/walnutramp/walnutramp/fleet"
	"github.com/walnutramp/walnutramp/metering"
	"github.com/walnutramp/walnutramp/peer"
)

var usageConfig = metering.Config{Span: 5 * time.Second, Due: 10 * time.Second}

// usagePlatform is a fake platform that records the reported counts and checks that
// repeated reports of a window are equal.
type usagePlatform struct {
	clockOffsets []time.Duration // of the members' wall clocks

	mu          sync.Mutex
	reported    map[metering.Window]metering.Counts
	reportedAt  map[metering.Window]time.Time
	order       []metering.Window
	mismatches  []string
	calls       int
	down        bool
	losesAnswer func(metering.Window) bool // whether the answer about a window is lost; may be nil
	demand      map[string]uint64          // as reported to the leader, by node
}

func newUsagePlatform(clockOffsets ...time.Duration) *usagePlatform {
	return &usagePlatform{clockOffsets: clockOffsets, reported: map[metering.Window]metering.Counts{}, reportedAt: map[metering.Window]time.Time{}, demand: map[string]uint64{}}
}

// ReportUsage implements metering.Reporter.
func (p *usagePlatform) ReportUsage(_ context.Context, _ duty.Permission, w metering.Window, c metering.Counts) duty.Outcome {
	time.Sleep(2 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.down {
		return duty.Unclear
	}
	before, again := p.reported[w]
	if again && !maps.Equal(before, c) {
		p.mismatches = append(p.mismatches, fmt.Sprintf("window %d: %v, then %v", w, before, c))
	}
	if !again {
		p.reported[w], p.reportedAt[w] = maps.Clone(c), time.Now()
		p.order = append(p.order, w)
	}
	if p.losesAnswer != nil && p.losesAnswer(w) {
		return duty.Unclear
	}
	return duty.Done
}

func (p *usagePlatform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// usageCaller is a duty.Caller that makes calls while its member leads.
type usageCaller struct{ raft *consensus.Member }

func (l usageCaller) Held() bool { return l.raft.Leads() }

func (l usageCaller) Do(ctx context.Context, c duty.Call) duty.Outcome {
	if !l.raft.Leads() {
		return duty.NotSent
	}
	return c.Send(ctx, duty.Permission{})
}

// meter returns the tasks of a member that synchronizes time, forwards reports and
// closes windows.
func (site *testSite) meter(m *testMember, peers *peer.Client, answers *control.Server) []func(context.Context) {
	var offset time.Duration
	if i := len(site.members); i < len(site.platform.clockOffsets) {
		offset = site.platform.clockOffsets[i]
	}
	wall := func() time.Time { return time.Now().Add(offset) }
	m.timekeeper = control.NewTimekeeper(peers, m.name, m.raft, answers, control.WithWallClock(wall))
	reports := control.NewReportCollector(peers, m.raft, answers)
	controller := control.NewUsageController(m.raft, answers, usageCaller{m.raft}, site.platform, usageConfig)
	reports.SetDemandSink(func(node string, _ uint64, rows []fleet.Demand) { site.platform.recordDemand(node, rows) })
	return []func(context.Context){m.timekeeper.Run, reports.Run, controller.Run}
}

// recordDemand records the demand of a node as reported to the leader.
func (p *usagePlatform) recordDemand(node string, rows []fleet.Demand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range rows {
		p.demand[node] = row.Requests
	}
}

// actualUsage is the true number of requests.
type actualUsage struct {
	mu     sync.Mutex
	counts map[metering.Window]metering.Counts
}

// generateUsage makes every entry node count requests at random times.
func (site *testSite) generateUsage(perSecond float64, accounts int) *actualUsage {
	u := &actualUsage{counts: map[metering.Window]metering.Counts{}}
	for i := range site.entries {
		site.generateUsageAt(u, i, perSecond, accounts)
	}
	return u
}

func (site *testSite) generateUsageAt(u *actualUsage, i int, perSecond float64, accounts int) {
	rng := rand.New(rand.NewPCG(uint64(i), 6))
	counter := site.entries[i].counter
	site.tasks.Go(func() {
		for site.ctx.Err() == nil {
			time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
			account := fmt.Sprintf("account-%d", rng.IntN(accounts))
			u.record(account, time.Now())
			counter.Count(account, time.Now())
		}
	})
}

func (u *actualUsage) record(account string, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w := usageConfig.Window(at)
	if u.counts[w] == nil {
		u.counts[w] = metering.Counts{}
	}
	u.counts[w][account]++
}

// relativeError returns the largest relative error of the reported counts of a
// window, over all accounts.
func (u *actualUsage) relativeError(w metering.Window, reported metering.Counts) (worst float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for account, actual := range u.counts[w] {
		diff := float64(reported[account]) - float64(actual)
		worst = max(worst, max(diff, -diff)/float64(actual))
	}
	return worst
}

// checkWindows checks each window between two times: reported once, in order, before
// it is due, and with a relative error of at most limit. Windows in except may have a
// larger error.
func (site *testSite) checkWindows(u *actualUsage, from, to time.Time, limit float64, except ...metering.Window) {
	p := site.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Empty(site.t, p.mismatches)
	require.IsIncreasing(site.t, p.order)
	for w := usageConfig.Window(from) + 1; !usageConfig.End(w).Add(usageConfig.Due).After(to); w++ {
		reported, ok := p.reported[w]
		require.True(site.t, ok, "window %d is missing", w)
		late := p.reportedAt[w].Sub(usageConfig.End(w))
		require.Less(site.t, late, usageConfig.Due, "window %d", w)
		relativeError := u.relativeError(w, reported)
		site.t.Logf("window %d: reported after %v, relative error %.3f", w, late, relativeError)
		excepted := false
		for _, e := range except {
			excepted = excepted || e == w
		}
		if !excepted {
			require.LessOrEqual(site.t, relativeError, limit, "window %d", w)
		}
	}
}

// withUsage runs f on a test site with a document in force and requests being counted.
func withUsage(t *testing.T, platform *usagePlatform, f func(*testSite, *actualUsage)) {
	inTestSiteWithPlatform(t, 6, 12, platform, func(t *testing.T, site *testSite) {
		site.offer(1, routesDocument(1, 3))
		time.Sleep(2 * time.Second)
		f(site, site.generateUsage(20, 8))
	})
}

// maxRelativeError allows for requests that the clock error moves to the next window;
// an account has some 150 requests in each. The site's bound is 0.05.
const maxRelativeError = 0.02

func TestUsageIsReportedInTimeAndAccurately(t *testing.T) {
	for name, clockOffsets := range map[string][]time.Duration{
		"good clocks": nil,
		"ahead":       {3 * time.Second, 3 * time.Second},
		"behind":      {0, -3 * time.Second, 0, -3 * time.Second},
		"apart":       {-3 * time.Second, 0, 0, 0, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			withUsage(t, newUsagePlatform(clockOffsets...), func(site *testSite, u *actualUsage) {
				began := time.Now()
				time.Sleep(60 * time.Second)
				site.checkWindows(u, began, time.Now(), maxRelativeError)
				for _, e := range site.entries {
					now, within, known := e.clock.Now()
					require.True(t, known)
					require.Less(t, time.Until(now).Abs(), 5*time.Millisecond)
					require.Less(t, within, 10*time.Millisecond)
				}
			})
		})
	}
}

// waitIntoNextWindow waits until a given time into the next window, and returns that
// window.
func waitIntoNextWindow(offset time.Duration) metering.Window {
	w := usageConfig.Window(time.Now()) + 1
	time.Sleep(time.Until(usageConfig.End(w - 1).Add(offset)))
	return w
}

// No window is lost when leaders are killed at critical times.
func TestUsageSurvivesLeaderChanges(t *testing.T) {
	for _, into := range []time.Duration{time.Second, 4900 * time.Millisecond, 6400 * time.Millisecond, 6550 * time.Millisecond} {
		t.Run(into.String(), func(t *testing.T) {
			withUsage(t, newUsagePlatform(), func(site *testSite, u *actualUsage) {
				began := time.Now()
				waitIntoNextWindow(into)
				site.removeMember(site.leader())
				waitIntoNextWindow(into)
				site.removeMember(site.leader())
				time.Sleep(30 * time.Second)
				site.checkWindows(u, began, time.Now(), maxRelativeError)
			})
		})
	}
}

// A leader that is lost between the close and the call, or between the call and its
// answer, is followed by one that reports the same counts.
func TestNewLeaderReportsSameCounts(t *testing.T) {
	for name, lost := range map[string]bool{"before it is carried out": false, "before its answer": true} {
		t.Run(name, func(t *testing.T) {
			p := newUsagePlatform()
			withUsage(t, p, func(site *testSite, u *actualUsage) {
				began := time.Now()
				p.mu.Lock()
				p.down = !lost
				p.losesAnswer = func(metering.Window) bool { return lost }
				p.mu.Unlock()
				waitIntoNextWindow(7 * time.Second)
				site.removeMember(site.leader())
				p.mu.Lock()
				p.down, p.losesAnswer = false, nil
				p.mu.Unlock()
				time.Sleep(30 * time.Second)
				site.checkWindows(u, began, time.Now(), maxRelativeError)
			})
		})
	}
}

// Windows that were closed during a platform outage are reported in order afterwards.
func TestUsageIsReportedAfterPlatformOutage(t *testing.T) {
	p := newUsagePlatform()
	withUsage(t, p, func(site *testSite, u *actualUsage) {
		began := time.Now()
		p.setDown(true)
		time.Sleep(40 * time.Second)
		site.removeMember(site.leader())
		time.Sleep(5 * time.Second)
		p.setDown(false)
		up := time.Now()
		time.Sleep(5 * time.Second)
		p.mu.Lock()
		require.IsIncreasing(t, p.order)
		require.GreaterOrEqual(t, len(p.order), 8)
		for _, w := range p.order {
			if usageConfig.End(w).After(began.Add(usageConfig.Span)) {
				require.LessOrEqual(t, u.relativeError(w, p.reported[w]), maxRelativeError)
			}
		}
		p.mu.Unlock()
		time.Sleep(20 * time.Second)
		site.checkWindows(u, up, time.Now(), maxRelativeError)
	})
}

// The counts of an entry node that was partitioned are included if it is back before
// the window is closed, and are dropped otherwise.
func TestPartitionedEntryReportsAfterHeal(t *testing.T) {
	for name, c := range map[string]struct {
		length time.Duration
		off    float64
	}{
		"back before the close": {6 * time.Second, maxRelativeError},
		"back after the close":  {8 * time.Second, 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			withUsage(t, newUsagePlatform(), func(site *testSite, u *actualUsage) {
				began := time.Now()
				w := waitIntoNextWindow(2 * time.Second)
				for _, m := range site.members {
					site.net.Cut("e1", string(m.name))
				}
				time.Sleep(c.length)
				for _, m := range site.members {
					site.net.Heal("e1", string(m.name))
				}
				time.Sleep(30 * time.Second)
				if c.off > maxRelativeError {
					site.checkWindows(u, began, time.Now(), maxRelativeError, w, w+1)
					return
				}
				site.checkWindows(u, began, time.Now(), maxRelativeError)
			})
		})
	}
}

// Entry nodes resend their reports when the member that forwards them is lost.
func TestUsageSurvivesLossOfForwardingMember(t *testing.T) {
	withUsage(t, newUsagePlatform(), func(site *testSite, u *actualUsage) {
		began := time.Now()
		waitIntoNextWindow(4900 * time.Millisecond)
		leader := site.leader()
		for _, m := range site.members {
			if m != leader {
				site.removeMember(m)
				break
			}
		}
		time.Sleep(30 * time.Second)
		site.checkWindows(u, began, time.Now(), maxRelativeError)
	})
}

func TestKilledEntryLosesOnlyUnreportedCounts(t *testing.T) {
	withUsage(t, newUsagePlatform(), func(site *testSite, u *actualUsage) {
		began := time.Now()
		const account, every = "of one entry", 10 * time.Millisecond
		w := waitIntoNextWindow(0)
		counted := 0
		for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(every) {
			site.entries[0].counter.Count(account, time.Now())
			counted++
		}
		for _, m := range site.members {
			site.net.Cut("e1", string(m.name))
		}
		time.Sleep(15 * time.Second)
		site.platform.mu.Lock()
		reported := site.platform.reported[w][account]
		site.platform.mu.Unlock()
		t.Logf("reported %d of %d", reported, counted)
		require.LessOrEqual(t, time.Duration(counted-int(reported))*every, 250*time.Millisecond)
		site.checkWindows(u, began, time.Now(), 1)
	})
}

// After a power loss of all members the open window is closed with the counts that
// entry nodes resend, and later windows follow.
func TestUsageSurvivesPowerLoss(t *testing.T) {
	withUsage(t, newUsagePlatform(), func(site *testSite, u *actualUsage) {
		began := time.Now()
		waitIntoNextWindow(4 * time.Second)
		members := site.members
		site.members = nil
		for _, m := range members {
			m.stop()
			m.disk.Crash(0)
		}
		time.Sleep(2 * time.Second)
		for _, m := range members {
			site.startMember(m.name, m.disk)
		}
		time.Sleep(30 * time.Second)
		site.checkWindows(u, began, time.Now(), maxRelativeError)
	})
}

// The demand of every entry node reaches the leader, and each new leader.
func TestDemandReachesEachLeader(t *testing.T) {
	p := newUsagePlatform()
	withUsage(t, p, func(site *testSite, u *actualUsage) {
		demanded := func() int {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.demand)
		}
		time.Sleep(time.Second)
		require.Equal(t, len(site.entries), demanded())
		site.removeMember(site.leader())
		p.mu.Lock()
		clear(p.demand)
		p.mu.Unlock()
		time.Sleep(3 * time.Second)
		require.Equal(t, len(site.entries), demanded(), "resent although unchanged")
	})
}

// Bounds of the traffic of metering at an entry node, in bytes per second.
const (
	maxFewAccountsBytes  = 500
	maxManyAccountsBytes = 3000
)

// TestMeteringTrafficIsBounded measures the traffic of metering at an entry node.
// Requests arrive as on a site of 74 entry nodes: 2.9 a second of 24 accounts each,
// or 60 a second of 10,000.
func TestMeteringTrafficIsBounded(t *testing.T) {
	const length = 30 * time.Second
	perSecond := func(requests float64, accounts int, platform *usagePlatform) int64 {
		var bytes int64
		inTestSiteWithPlatform(t, 6, 3, platform, func(t *testing.T, site *testSite) {
			site.offer(1, routesDocument(1, 3))
			if platform != nil {
				site.generateUsage(requests, accounts)
			}
			time.Sleep(3 * time.Second)
			before := site.entries[0].bytes()
			time.Sleep(length)
			bytes = (site.entries[0].bytes() - before) / int64(length/time.Second)
		})
		return bytes
	}
	without := perSecond(0, 0, nil)
	few := perSecond(2.9, 24, newUsagePlatform()) - without
	many := perSecond(60, 10_000, newUsagePlatform()) - without
	t.Logf("bytes per second: %d without metering, %d more with 24 accounts, %d more with 10,000", without, few, many)
	require.Less(t, few, int64(maxFewAccountsBytes))
	require.Less(t, many, int64(maxManyAccountsBytes))
}
