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
	fleetpkg "github.com/walnutramp/walnutramp/fleet"
	"github.com/walnutramp/walnutramp/metering"
	"github.com/walnutramp/walnutramp/peer"
)

// usageConfig is that of the users' site.
var usageConfig = metering.Config{Span: 5 * time.Second, Due: 10 * time.Second}

// usagePlatform takes the counts of windows, and checks that no window is told
// of with two different counts.
type usagePlatform struct {
	steps []time.Duration // by which members' times of day are off

	mu       sync.Mutex
	told     map[metering.Window]metering.Counts
	at       map[metering.Window]time.Time
	order    []metering.Window
	broken   []string
	calls    int
	down     bool
	noAnswer func(metering.Window) bool // the answer to a call is lost; nil for none
	demand   map[string]uint64          // as the leader was told, by node
}

func newUsagePlatform(steps ...time.Duration) *usagePlatform {
	return &usagePlatform{steps: steps, told: map[metering.Window]metering.Counts{}, at: map[metering.Window]time.Time{}, demand: map[string]uint64{}}
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
	before, again := p.told[w]
	if again && !maps.Equal(before, c) {
		p.broken = append(p.broken, fmt.Sprintf("window %d: %v, then %v", w, before, c))
	}
	if !again {
		p.told[w], p.at[w] = maps.Clone(c), time.Now()
		p.order = append(p.order, w)
	}
	if p.noAnswer != nil && p.noAnswer(w) {
		return duty.Unclear
	}
	return duty.Done
}

func (p *usagePlatform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// leaderCalls is a duty that the member holds which leads.
type leaderCalls struct{ raft *consensus.Member }

func (l leaderCalls) Held() bool { return l.raft.Leads() }

func (l leaderCalls) Do(ctx context.Context, c duty.Call) duty.Outcome {
	if !l.raft.Leads() {
		return duty.NotSent
	}
	return c.Send(ctx, duty.Permission{})
}

// meter has a member keep the time, pass reports on and close windows.
func (fl *fleet) meter(m *fleetMember, peers *peer.Client, answers *control.Server) []func(context.Context) {
	var step time.Duration
	if i := len(fl.members); i < len(fl.platform.steps) {
		step = fl.platform.steps[i]
	}
	wall := func() time.Time { return time.Now().Add(step) }
	m.timekeeper = control.NewTimekeeper(peers, m.name, m.raft, answers, control.WithTimeOfDay(wall))
	reports := control.NewReports(peers, m.raft, answers)
	controller := control.NewUsageController(m.raft, answers, leaderCalls{m.raft}, fl.platform, usageConfig)
	reports.SetDemandSink(func(node string, _ uint64, rows []fleetpkg.Demand) { fl.platform.noteDemand(node, rows) })
	return []func(context.Context){m.timekeeper.Run, reports.Run, controller.Run}
}

// noteDemand notes what the leader was told of a node's demand.
func (p *usagePlatform) noteDemand(node string, rows []fleetpkg.Demand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range rows {
		p.demand[node] = row.Requests
	}
}

// usage is what entries have counted in truth.
type usage struct {
	mu     sync.Mutex
	counts map[metering.Window]metering.Counts
}

// use has every entry see so many requests a second begin, of some accounts.
func (fl *fleet) use(perSecond float64, accounts int) *usage {
	u := &usage{counts: map[metering.Window]metering.Counts{}}
	for i := range fl.entries {
		fl.useAt(u, i, perSecond, accounts)
	}
	return u
}

func (fl *fleet) useAt(u *usage, i int, perSecond float64, accounts int) {
	rng := rand.New(rand.NewPCG(uint64(i), 6))
	counter := fl.entries[i].counter
	fl.tasks.Go(func() {
		for fl.ctx.Err() == nil {
			time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
			account := fmt.Sprintf("account-%d", rng.IntN(accounts))
			u.note(account, time.Now())
			counter.Count(account, time.Now())
		}
	})
}

func (u *usage) note(account string, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w := usageConfig.Window(at)
	if u.counts[w] == nil {
		u.counts[w] = metering.Counts{}
	}
	u.counts[w][account]++
}

// off returns by how much the told counts of a window are off the truth: the
// worst share of an account's requests.
func (u *usage) off(w metering.Window, told metering.Counts) (worst float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for account, truth := range u.counts[w] {
		diff := float64(told[account]) - float64(truth)
		worst = max(worst, max(diff, -diff)/float64(truth))
	}
	return worst
}

// check checks each window between two times: told once, in time, in order,
// and no further off than said. Windows in except may be off.
func (fl *fleet) check(u *usage, from, to time.Time, off float64, except ...metering.Window) {
	p := fl.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Empty(fl.t, p.broken)
	require.IsIncreasing(fl.t, p.order)
	for w := usageConfig.Window(from) + 1; !usageConfig.End(w).Add(usageConfig.Due).After(to); w++ {
		told, ok := p.told[w]
		require.True(fl.t, ok, "window %d is missing", w)
		late := p.at[w].Sub(usageConfig.End(w))
		require.Less(fl.t, late, usageConfig.Due, "window %d", w)
		isOff := u.off(w, told)
		fl.t.Logf("window %d: told after %v, off by %.3f", w, late, isOff)
		excepted := false
		for _, e := range except {
			excepted = excepted || e == w
		}
		if !excepted {
			require.LessOrEqual(fl.t, isOff, off, "window %d", w)
		}
	}
}

// inUse runs f on a fleet with a document in force and requests under way.
func inUse(t *testing.T, platform *usagePlatform, f func(*fleet, *usage)) {
	inFleetOf(t, 6, 12, platform, func(t *testing.T, fl *fleet) {
		fl.offer(1, routesDocument(1, 3))
		time.Sleep(2 * time.Second)
		f(fl, fl.use(20, 8))
	})
}

// nearlyExact bears what the clock's error puts into the next window: an
// account has some 150 requests in each here, and the site's bound is 0.05.
const nearlyExact = 0.02

func TestUsageIsToldInTimeAndExactly(t *testing.T) {
	for name, steps := range map[string][]time.Duration{
		"good clocks": nil,
		"ahead":       {3 * time.Second, 3 * time.Second},
		"behind":      {0, -3 * time.Second, 0, -3 * time.Second},
		"apart":       {-3 * time.Second, 0, 0, 0, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			inUse(t, newUsagePlatform(steps...), func(fl *fleet, u *usage) {
				began := time.Now()
				time.Sleep(60 * time.Second)
				fl.check(u, began, time.Now(), nearlyExact)
				for _, e := range fl.entries {
					now, within, known := e.clock.Now()
					require.True(t, known)
					require.Less(t, time.Until(now).Abs(), 5*time.Millisecond)
					require.Less(t, within, 10*time.Millisecond)
				}
			})
		})
	}
}

// between waits for a time within the next window, and returns the window.
func between(into time.Duration) metering.Window {
	w := usageConfig.Window(time.Now()) + 1
	time.Sleep(time.Until(usageConfig.End(w - 1).Add(into)))
	return w
}

// A leader that is killed at any time costs no window.
func TestUsageOutlivesLeaders(t *testing.T) {
	for _, into := range []time.Duration{time.Second, 4900 * time.Millisecond, 6400 * time.Millisecond, 6550 * time.Millisecond} {
		t.Run(into.String(), func(t *testing.T) {
			inUse(t, newUsagePlatform(), func(fl *fleet, u *usage) {
				began := time.Now()
				between(into)
				fl.leave(fl.leader())
				between(into)
				fl.leave(fl.leader())
				time.Sleep(30 * time.Second)
				fl.check(u, began, time.Now(), nearlyExact)
			})
		})
	}
}

// Between the close and the call, between the call and its answer: the next
// leader tells the same counts.
func TestUsageIsTheSameWhoeverTellsIt(t *testing.T) {
	for name, lost := range map[string]bool{"before it is carried out": false, "before its answer": true} {
		t.Run(name, func(t *testing.T) {
			p := newUsagePlatform()
			inUse(t, p, func(fl *fleet, u *usage) {
				began := time.Now()
				p.mu.Lock()
				p.down = !lost
				p.noAnswer = func(metering.Window) bool { return lost }
				p.mu.Unlock()
				between(7 * time.Second)
				fl.leave(fl.leader())
				p.mu.Lock()
				p.down, p.noAnswer = false, nil
				p.mu.Unlock()
				time.Sleep(30 * time.Second)
				fl.check(u, began, time.Now(), nearlyExact)
			})
		})
	}
}

// What the platform could not be told of follows in order.
func TestUsageFollowsAfterThePlatformWasDown(t *testing.T) {
	p := newUsagePlatform()
	inUse(t, p, func(fl *fleet, u *usage) {
		began := time.Now()
		p.setDown(true)
		time.Sleep(40 * time.Second)
		fl.leave(fl.leader())
		time.Sleep(5 * time.Second)
		p.setDown(false)
		up := time.Now()
		time.Sleep(5 * time.Second)
		p.mu.Lock()
		require.IsIncreasing(t, p.order)
		require.GreaterOrEqual(t, len(p.order), 8)
		for _, w := range p.order {
			if usageConfig.End(w).After(began.Add(usageConfig.Span)) {
				require.LessOrEqual(t, u.off(w, p.told[w]), nearlyExact)
			}
		}
		p.mu.Unlock()
		time.Sleep(20 * time.Second)
		fl.check(u, up, time.Now(), nearlyExact)
	})
}

// An entry that is cut off from all members delivers its counts if it is back
// before the window is closed; after that they change nothing.
func TestEntryThatWasCutOffDeliversWhatItCounted(t *testing.T) {
	for name, c := range map[string]struct {
		length time.Duration
		off    float64
	}{
		"back before the close": {6 * time.Second, nearlyExact},
		"back after the close":  {8 * time.Second, 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			inUse(t, newUsagePlatform(), func(fl *fleet, u *usage) {
				began := time.Now()
				w := between(2 * time.Second)
				for _, m := range fl.members {
					fl.net.Cut("e1", string(m.name))
				}
				time.Sleep(c.length)
				for _, m := range fl.members {
					fl.net.Heal("e1", string(m.name))
				}
				time.Sleep(30 * time.Second)
				if c.off > nearlyExact {
					fl.check(u, began, time.Now(), nearlyExact, w, w+1)
					return
				}
				fl.check(u, began, time.Now(), nearlyExact)
			})
		})
	}
}

// The member that entries of a data hall tell may be lost with words it has
// not passed on: it is told again to another.
func TestMemberThatPassesReportsOnIsLost(t *testing.T) {
	inUse(t, newUsagePlatform(), func(fl *fleet, u *usage) {
		began := time.Now()
		between(4900 * time.Millisecond)
		leader := fl.leader()
		for _, m := range fl.members {
			if m != leader {
				fl.leave(m)
				break
			}
		}
		time.Sleep(30 * time.Second)
		fl.check(u, began, time.Now(), nearlyExact)
	})
}

// An entry that is killed loses what it counted since its last report.
func TestKilledEntryLosesLittle(t *testing.T) {
	inUse(t, newUsagePlatform(), func(fl *fleet, u *usage) {
		began := time.Now()
		const account, every = "of one entry", 10 * time.Millisecond
		w := between(0)
		counted := 0
		for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(every) {
			fl.entries[0].counter.Count(account, time.Now())
			counted++
		}
		for _, m := range fl.members {
			fl.net.Cut("e1", string(m.name)) // it says nothing more
		}
		time.Sleep(15 * time.Second)
		fl.platform.mu.Lock()
		told := fl.platform.told[w][account]
		fl.platform.mu.Unlock()
		t.Logf("told of %d of %d", told, counted)
		require.LessOrEqual(t, time.Duration(counted-int(told))*every, 250*time.Millisecond)
		fl.check(u, began, time.Now(), 1)
	})
}

// All members without power at once: the open window is closed with what
// entries tell again, and those after it follow.
func TestUsageOutlivesALossOfPower(t *testing.T) {
	inUse(t, newUsagePlatform(), func(fl *fleet, u *usage) {
		began := time.Now()
		between(4 * time.Second)
		members := fl.members
		fl.members = nil
		for _, m := range members {
			m.stop()
			m.disk.Crash(0)
		}
		time.Sleep(2 * time.Second)
		for _, m := range members {
			fl.startMember(m.name, m.disk)
		}
		time.Sleep(30 * time.Second)
		fl.check(u, began, time.Now(), nearlyExact)
	})
}

// The demand of every node reaches the leader, and the next one.
func TestDemandReachesEachLeader(t *testing.T) {
	p := newUsagePlatform()
	inUse(t, p, func(fl *fleet, u *usage) {
		demanded := func() int {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.demand)
		}
		time.Sleep(time.Second)
		require.Equal(t, len(fl.entries), demanded())
		fl.leave(fl.leader())
		p.mu.Lock()
		clear(p.demand)
		p.mu.Unlock()
		time.Sleep(3 * time.Second)
		require.Equal(t, len(fl.entries), demanded(), "though none has changed")
	})
}

// What metering may cost a node, in bytes a second beside what the control
// group costs it anyway.
const (
	fewAccountsBytes  = 500
	manyAccountsBytes = 3000
)

// TestReportsAreSmall measures what an entry sends and receives for metering.
// Its requests come as on a site of 74 entries: 2.9 a second of 24 accounts
// each, or 60 a second of 10,000.
func TestReportsAreSmall(t *testing.T) {
	const length = 30 * time.Second
	perSecond := func(requests float64, accounts int, platform *usagePlatform) int64 {
		var bytes int64
		inFleetOf(t, 6, 3, platform, func(t *testing.T, fl *fleet) {
			fl.offer(1, routesDocument(1, 3))
			if platform != nil {
				fl.use(requests, accounts)
			}
			time.Sleep(3 * time.Second)
			before := fl.entries[0].bytes()
			time.Sleep(length)
			bytes = (fl.entries[0].bytes() - before) / int64(length/time.Second)
		})
		return bytes
	}
	without := perSecond(0, 0, nil)
	few := perSecond(2.9, 24, newUsagePlatform()) - without
	many := perSecond(60, 10_000, newUsagePlatform()) - without
	t.Logf("bytes a second beside %d without metering: %d with 24 accounts, %d with 10,000", without, few, many)
	require.Less(t, few, int64(fewAccountsBytes))
	require.Less(t, many, int64(manyAccountsBytes))
}
