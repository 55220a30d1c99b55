package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeClock is a manually advanced clock.
type fakeClock struct{ now time.Time }

func (f *fakeClock) read() time.Time              { return f.now }
func (f *fakeClock) advance(d time.Duration)      { f.now = f.now.Add(d) }
func newClock() *fakeClock                        { return &fakeClock{now: time.Unix(1e9, 0)} }
func newLedger(clock *fakeClock) *Ledger          { return New(WithNow(clock.read), WithReportDelay(0)) }
func isQuarantined(l *Ledger, f Fingerprint) bool { _, q := l.Quarantined(f); return q }
func content(n int) Fingerprint                   { return Fingerprint(1000 + n) }
func target(n int) uint32                         { return uint32(n) }
func (f *fakeClock) recordCrash(l *Ledger, c Fingerprint, t uint32, s Standing) {
	f.advance(time.Second)
	l.RecordCrash(Report{Content: c, Target: t, Standing: s, Ran: time.Second})
}

const (
	culprit   Fingerprint = 1
	bystander Fingerprint = 2
)

func TestThreeCrashesQuarantineContent(t *testing.T) {
	clock := newClock()
	var quarantined []Fingerprint
	l := newLedger(clock)
	l.OnQuarantined(func(f Fingerprint) { quarantined = append(quarantined, f) })
	for n := range 2 {
		clock.recordCrash(l, culprit, target(n), Begun)
		require.False(t, isQuarantined(l, culprit), "after %d", n+1)
	}
	require.True(t, l.Suspect(culprit))
	clock.recordCrash(l, culprit, target(2), Begun)
	left, ok := l.Quarantined(culprit)
	require.True(t, ok)
	require.Equal(t, retention-2*time.Second, left, "until the first crash expires")
	require.Equal(t, []Fingerprint{culprit}, quarantined)
	require.Equal(t, 1, l.QuarantinedContents())
	require.False(t, isQuarantined(l, bystander))
	require.False(t, l.Suspect(bystander))
}

// Quarantine expires after the retention time, and one more crash restores it.
func TestQuarantineExpires(t *testing.T) {
	clock := newClock()
	l := newLedger(clock)
	for n := range 3 {
		clock.advance(10 * time.Second)
		clock.recordCrash(l, culprit, target(n), Begun)
	}
	clock.advance(retention - 20*time.Second)
	require.False(t, isQuarantined(l, culprit))
	clock.recordCrash(l, culprit, target(9), Begun)
	require.True(t, isQuarantined(l, culprit))
}

// A request that shares its targets with the culprit, but was mostly waiting or
// settled there, is never quarantined; the culprit is.
func TestBystanderIsNotQuarantined(t *testing.T) {
	clock := newClock()
	l := newLedger(clock)
	for n, s := range []Standing{Waiting, Begun, Waiting, Settled, Waiting, Waiting, Waiting, Waiting, Waiting} {
		clock.advance(time.Second)
		l.RecordCrash(Report{Content: bystander, Target: target(n), Standing: s, Ran: time.Second})
		require.False(t, isQuarantined(l, bystander), "after %d", n)
		l.RecordCrash(Report{Content: culprit, Target: target(n), Standing: Begun, Ran: time.Second})
		require.False(t, isQuarantined(l, bystander), "after %d", n)
	}
	require.True(t, isQuarantined(l, culprit))
}

// Unary requests all have the same standing. The one that was involved in every
// crash is quarantined.
func TestContentAtEveryCrashIsQuarantined(t *testing.T) {
	clock := newClock()
	l := newLedger(clock)
	bystanders := [][]Fingerprint{{content(1), content(2)}, {content(1), content(3)}, {content(1)}, {content(2)}}
	for n, others := range bystanders {
		clock.advance(time.Second)
		for _, f := range append(others, culprit) {
			l.RecordCrash(Report{Content: f, Target: target(n), Standing: Begun, Ran: 30 * time.Millisecond})
		}
	}
	require.True(t, isQuarantined(l, culprit))
	for n := range 3 {
		require.False(t, isQuarantined(l, content(n+1)))
	}
}

// Two contents with the same three crashes cannot be told apart. Another crash of one of
// them separates them; without it, both are quarantined after five shared crashes.
func TestTiedContentsGetOneMoreTry(t *testing.T) {
	clock := newClock()
	l := newLedger(clock)
	both := func(n int) {
		clock.advance(time.Second)
		l.RecordCrash(Report{Content: culprit, Target: target(n), Standing: Begun, Ran: time.Second})
		l.RecordCrash(Report{Content: bystander, Target: target(n), Standing: Begun, Ran: time.Second})
	}
	for n := range 3 {
		both(n)
	}
	require.False(t, isQuarantined(l, culprit))
	require.False(t, isQuarantined(l, bystander))

	separated := newLedger(clock)
	separated.Merge(l.AllReports())
	clock.recordCrash(separated, culprit, target(5), Begun)
	require.True(t, isQuarantined(separated, culprit))
	require.False(t, isQuarantined(separated, bystander))

	both(3)
	both(4)
	require.True(t, isQuarantined(l, culprit))
	require.True(t, isQuarantined(l, bystander))
}

func TestSuccessfulRunClearsContent(t *testing.T) {
	clock := newClock()
	l := newLedger(clock)
	l.RecordSuccess(bystander)
	require.Empty(t, l.AllReports(), "nothing to clear")
	for n := range 8 {
		clock.recordCrash(l, bystander, target(n), Begun)
		if n%2 == 1 {
			clock.advance(time.Second)
			l.RecordSuccess(bystander)
			require.False(t, l.Suspect(bystander))
		}
		require.False(t, isQuarantined(l, bystander))
	}
}

// Several crashes within a data hall failure count as one.
func TestDataHallFailureCountsOnce(t *testing.T) {
	clock := newClock()
	l := newLedger(clock)
	for n := range 6 {
		clock.advance(20 * time.Millisecond)
		l.RecordCrash(Report{Content: bystander, Target: target(n), Standing: Begun, Ran: time.Second})
	}
	require.False(t, isQuarantined(l, bystander))
	for n := range 2 { // runs each sent after the previous crash count separately, even short ones
		clock.advance(20 * time.Millisecond)
		l.RecordCrash(Report{Content: bystander, Target: target(10 + n), Standing: Begun, Ran: 15 * time.Millisecond})
	}
	require.True(t, isQuarantined(l, bystander))
}

// The order of short runs reported by their own node takes precedence over
// imprecise received times.
func TestOrderOfShortRunsIsReported(t *testing.T) {
	clock := newClock()
	here, there := newLedger(clock), newLedger(clock)
	number := uint64(0)
	for n := range 3 {
		clock.advance(20 * time.Millisecond)
		here.RecordCrash(Report{Content: culprit, Target: target(n), Standing: Begun, Ran: 19 * time.Millisecond})
		var reports []Report
		reports, number = here.ReportsAfter(number)
		reports[0].Age += time.Duration(n) * 5 * time.Millisecond // later crashes appear older
		there.Merge(reports)
	}
	require.True(t, isQuarantined(here, culprit))
	require.True(t, isQuarantined(there, culprit))
}

// A Waiting run weighs half: six such crashes reach the threshold.
func TestWaitingRunsWeighLess(t *testing.T) {
	clock := newClock()
	l := newLedger(clock)
	for n := range 5 {
		clock.recordCrash(l, culprit, target(n), Waiting)
	}
	require.False(t, isQuarantined(l, culprit))
	clock.recordCrash(l, culprit, target(5), Waiting)
	require.True(t, isQuarantined(l, culprit))
}

// Repeated crashes of a target that restarts count separately.
func TestRepeatedCrashOfTargetCounts(t *testing.T) {
	clock := newClock()
	l := newLedger(clock)
	for range 3 {
		clock.advance(3 * time.Second)
		l.RecordCrash(Report{Content: culprit, Target: target(1), Standing: Begun, Ran: time.Second})
	}
	require.True(t, isQuarantined(l, culprit))
}

// Expired crashes must not block new ones from being recorded.
func TestExpiredCrashesAreReplaced(t *testing.T) {
	clock := newClock()
	l := newLedger(clock)
	for n := range 2 * maxCrashes {
		clock.recordCrash(l, culprit, target(n), Begun)
	}
	clock.advance(retention)
	require.False(t, isQuarantined(l, culprit))
	for n := range 3 {
		clock.recordCrash(l, culprit, target(100+n), Begun)
	}
	require.True(t, isQuarantined(l, culprit))
}

func TestNodesExchangeReports(t *testing.T) {
	clock := newClock()
	here, there := newLedger(clock), newLedger(clock)
	clock.recordCrash(here, culprit, target(1), Waiting)
	reports, number := here.ReportsAfter(0)
	require.Len(t, reports, 1)
	clock.advance(time.Second)
	require.Len(t, there.Merge(reports), 1)
	require.Empty(t, there.Merge(reports), "a duplicate changes nothing")
	reports, _ = here.ReportsAfter(number)
	require.Empty(t, reports)
	clock.recordCrash(there, culprit, target(2), Begun)
	clock.recordCrash(here, culprit, target(3), Begun)
	clock.recordCrash(here, culprit, target(1), Begun)
	reports, _ = here.ReportsAfter(number)
	there.Merge(reports)
	require.True(t, isQuarantined(there, culprit))
	reports, _ = there.ReportsAfter(0)
	require.Len(t, reports, 1, "received reports are not forwarded")

	late := newLedger(clock)
	clock.advance(time.Minute)
	late.Merge(there.AllReports())
	require.True(t, isQuarantined(late, culprit), "a restarted node learns of it")
}

// A crash reported after a later successful run is ignored.
func TestReportsOutOfOrder(t *testing.T) {
	clock := newClock()
	l := newLedger(clock)
	clock.recordCrash(l, bystander, target(1), Begun)
	clock.advance(time.Second)
	l.RecordSuccess(bystander)
	late := []Report{
		{Content: bystander, Target: 2, Standing: Begun, Age: 3 * time.Second}, {Content: bystander, Target: 3, Standing: Begun, Age: 2 * time.Second},
		{Content: bystander, Target: 4, Standing: Begun, Age: 1500 * time.Millisecond},
	}
	require.Empty(t, l.Merge(late))
	require.False(t, l.Suspect(bystander))
	require.Empty(t, l.Merge([]Report{{Content: bystander, Target: 5, Standing: Begun, Age: 2 * retention}, {Content: 7, Target: 5, Standing: 99}}))
	l.Merge([]Report{{Content: 8, Target: 5, Standing: Begun, Age: -time.Hour, Ran: -time.Hour}})
	require.True(t, l.Suspect(8), "a negative age counts as zero")
}

// Nodes that receive the same reports in any order, with duplicates, reach the
// same result.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var reports []Report
		for range 60 {
			n := Report{Content: content(rng.IntN(6)), Target: target(rng.IntN(8)), Standing: Standing(rng.IntN(3)), Ran: time.Second}
			n.Age = time.Duration(rng.IntN(100)) * 2 * time.Second
			reports = append(reports, n)
		}
		clock := newClock()
		one, two := newLedger(clock), newLedger(clock)
		for _, n := range reports {
			one.Merge([]Report{n})
		}
		rng.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
		two.Merge(append(slices.Clone(reports), reports[:10]...))
		// A successful run is ignored while no crash of its content is known. Merging
		// everything again lets both ledgers see it after the crashes.
		two.Merge(reports)
		one.Merge(reports)
		for n := range 6 {
			require.Equal(t, isQuarantined(one, content(n)), isQuarantined(two, content(n)), "seed %d content %d", seed, n)
		}
	}
}

func TestLedgerSizeIsBounded(t *testing.T) {
	clock := newClock()
	l := newLedger(clock)
	for n := range 3 {
		clock.recordCrash(l, culprit, target(n), Begun)
	}
	var reports []Report
	for n := range 3 * maxContents {
		reports = append(reports, Report{Content: content(n), Target: target(10 + n), Standing: Begun})
	}
	for range 2 {
		clock.advance(time.Minute)
		l.Merge(reports)
	}
	require.LessOrEqual(t, len(l.records), maxContents)
	require.LessOrEqual(t, len(l.atTarget), maxContents+3)
	require.True(t, isQuarantined(l, culprit), "quarantined contents are not evicted")
	require.LessOrEqual(t, len(l.AllReports()), maxCritical)
	for n := range 100 {
		clock.recordCrash(l, culprit, target(100000+n), Begun)
	}
	require.LessOrEqual(t, len(l.records[culprit].crashes), maxCrashes)
	outbox, _ := l.ReportsAfter(0)
	require.LessOrEqual(t, len(outbox), maxOutbox)
}

func TestFingerprintsDistinguishContents(t *testing.T) {
	seen := map[Fingerprint]string{}
	for _, parts := range [][]string{{"a", "b"}, {"ab", ""}, {"", "ab"}, {"a", "b", ""}} {
		for _, body := range []string{"", "x", "b"} {
			f := FingerprintOf([]byte(body), parts...)
			name := fmt.Sprintf("%q %q", parts, body)
			require.Empty(t, seen[f], name)
			seen[f] = name
			require.Equal(t, f, FingerprintOf([]byte(body), parts...))
		}
	}
}

// With partial evidence, a content is quarantined only after reports of other
// nodes had time to arrive.
func TestQuarantineWaitsForReportsOfOtherNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		informed, isolated := New(), New()
		var quarantined []Fingerprint
		isolated.OnQuarantined(func(f Fingerprint) { quarantined = append(quarantined, f) })
		for n := range 3 {
			time.Sleep(time.Second)
			for _, l := range []*Ledger{informed, isolated} {
				l.RecordCrash(Report{Content: bystander, Target: target(n), Standing: Begun, Ran: time.Second})
			}
		}
		time.Sleep(reportDelay / 2)
		require.False(t, isQuarantined(informed, bystander))
		require.False(t, isQuarantined(isolated, bystander))
		require.Equal(t, reportDelay/2, informed.DecisionDelay(bystander))
		var reports []Report
		for n := range 4 { // the same three crashes and an earlier one of another target
			reports = append(reports, Report{Content: culprit, Target: target(n - 1), Standing: Begun, Age: time.Duration(3-n)*time.Second + reportDelay/2, Ran: time.Second})
		}
		informed.Merge(reports)
		require.Zero(t, informed.DecisionDelay(bystander))
		time.Sleep(reportDelay)
		require.False(t, isQuarantined(informed, bystander))
		require.True(t, isQuarantined(informed, culprit))
		require.True(t, isQuarantined(isolated, bystander))
		require.Equal(t, []Fingerprint{bystander}, quarantined)
		require.Zero(t, isolated.DecisionDelay(bystander))
	})
}
