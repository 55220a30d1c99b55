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

// fakeTime is a clock that a test moves on.
type fakeTime struct{ now time.Time }

func (f *fakeTime) read() time.Time        { return f.now }
func (f *fakeTime) pass(d time.Duration)   { f.now = f.now.Add(d) }
func newTime() *fakeTime                   { return &fakeTime{now: time.Unix(1e9, 0)} }
func newLedger(clock *fakeTime) *Ledger    { return New(WithNow(clock.read), WithHear(0)) }
func isHeld(l *Ledger, f Fingerprint) bool { _, held := l.Held(f); return held }
func content(n int) Fingerprint            { return Fingerprint(1000 + n) }
func target(n int) uint32                  { return uint32(n) }
func (f *fakeTime) end(l *Ledger, c Fingerprint, t uint32, s Standing) {
	f.pass(time.Second)
	l.Ended(Note{Content: c, Target: t, Standing: s, Ran: time.Second})
}

const (
	fatal Fingerprint = 1
	other Fingerprint = 2
)

func TestThreeEndsHoldAContentBack(t *testing.T) {
	clock := newTime()
	var held []Fingerprint
	l := newLedger(clock)
	l.OnHeld(func(f Fingerprint) { held = append(held, f) })
	for n := range 2 {
		clock.end(l, fatal, target(n), Begun)
		require.False(t, isHeld(l, fatal), "after %d", n+1)
	}
	require.True(t, l.Suspect(fatal))
	clock.end(l, fatal, target(2), Begun)
	left, ok := l.Held(fatal)
	require.True(t, ok)
	require.Equal(t, memoryTime-2*time.Second, left, "until the first end is forgotten")
	require.Equal(t, []Fingerprint{fatal}, held)
	require.Equal(t, 1, l.HeldContents())
	require.False(t, isHeld(l, other))
	require.False(t, l.Suspect(other))
}

// A content that is held back is tried again after an hour, and held back
// again by one more end.
func TestHeldContentIsTriedAgainAfterAnHour(t *testing.T) {
	clock := newTime()
	l := newLedger(clock)
	for n := range 3 {
		clock.pass(10 * time.Second)
		clock.end(l, fatal, target(n), Begun)
	}
	clock.pass(memoryTime - 20*time.Second)
	require.False(t, isHeld(l, fatal))
	clock.end(l, fatal, target(9), Begun)
	require.True(t, isHeld(l, fatal))
}

// The account in the incident of a request that lost four engines in 11 s to
// another one: it waited at some, had just begun at one, and was well under way
// at the others. It is never held back, the other is.
func TestRequestThatSharedTargetsIsServed(t *testing.T) {
	clock := newTime()
	l := newLedger(clock)
	for n, s := range []Standing{Waiting, Begun, Waiting, Settled, Waiting, Waiting, Waiting, Waiting, Waiting} {
		clock.pass(time.Second)
		l.Ended(Note{Content: other, Target: target(n), Standing: s, Ran: time.Second})
		require.False(t, isHeld(l, other), "after %d", n)
		l.Ended(Note{Content: fatal, Target: target(n), Standing: Begun, Ran: time.Second})
		require.False(t, isHeld(l, other), "after %d", n)
	}
	require.True(t, isHeld(l, fatal))
}

// Nothing tells plain requests at a target apart: all have been sent, none has
// an answer. The one that was at every end did it.
func TestWhoWasAtEveryEndDidIt(t *testing.T) {
	clock := newTime()
	l := newLedger(clock)
	beside := [][]Fingerprint{{content(1), content(2)}, {content(1), content(3)}, {content(1)}, {content(2)}}
	for n, others := range beside {
		clock.pass(time.Second)
		for _, f := range append(others, fatal) {
			l.Ended(Note{Content: f, Target: target(n), Standing: Begun, Ran: 30 * time.Millisecond})
		}
	}
	require.True(t, isHeld(l, fatal))
	for n := range 3 {
		require.False(t, isHeld(l, content(n+1)))
	}
}

// Two that were at the same three ends can't be told apart. Both are tried
// once more; where that does not part them, both are held back.
func TestTiedContentsAreTriedOnceMore(t *testing.T) {
	clock := newTime()
	l := newLedger(clock)
	both := func(n int) {
		clock.pass(time.Second)
		l.Ended(Note{Content: fatal, Target: target(n), Standing: Begun, Ran: time.Second})
		l.Ended(Note{Content: other, Target: target(n), Standing: Begun, Ran: time.Second})
	}
	for n := range 3 {
		both(n)
	}
	require.False(t, isHeld(l, fatal))
	require.False(t, isHeld(l, other))

	parted := newLedger(clock)
	parted.Take(l.Everything())
	clock.end(parted, fatal, target(5), Begun)
	require.True(t, isHeld(parted, fatal))
	require.False(t, isHeld(parted, other))

	both(3)
	both(4)
	require.True(t, isHeld(l, fatal))
	require.True(t, isHeld(l, other))
}

func TestRunThatWentOnWellClearsItsContent(t *testing.T) {
	clock := newTime()
	l := newLedger(clock)
	l.Sound(other)
	require.Empty(t, l.Everything(), "there was nothing to clear")
	for n := range 8 {
		clock.end(l, other, target(n), Begun)
		if n%2 == 1 {
			clock.pass(time.Second)
			l.Sound(other)
			require.False(t, l.Suspect(other))
		}
		require.False(t, isHeld(l, other))
	}
}

// One content that many clients ask for is under way at several targets of a
// data hall that is lost: that is one end, not three.
func TestLossOfADataHallCountsOnce(t *testing.T) {
	clock := newTime()
	l := newLedger(clock)
	for n := range 6 {
		clock.pass(20 * time.Millisecond)
		l.Ended(Note{Content: other, Target: target(n), Standing: Begun, Ran: time.Second})
	}
	require.False(t, isHeld(l, other))
	for n := range 2 { // while runs that were sent one after the other's end count, however short
		clock.pass(20 * time.Millisecond)
		l.Ended(Note{Content: other, Target: target(10 + n), Standing: Begun, Ran: 15 * time.Millisecond})
	}
	require.True(t, isHeld(l, other))
}

// What a node says of the order of its own runs holds at another, though times
// that were told are off by some milliseconds.
func TestOrderOfShortRunsIsTold(t *testing.T) {
	clock := newTime()
	here, there := newLedger(clock), newLedger(clock)
	number := uint64(0)
	for n := range 3 {
		clock.pass(20 * time.Millisecond)
		here.Ended(Note{Content: fatal, Target: target(n), Standing: Begun, Ran: 19 * time.Millisecond})
		var notes []Note
		notes, number = here.News(number)
		notes[0].Age += time.Duration(n) * 5 * time.Millisecond // the later ones seem older
		there.Take(notes)
	}
	require.True(t, isHeld(here, fatal))
	require.True(t, isHeld(there, fatal))
}

// Streams that get no answer before their targets end are held back later: six
// ends of such weigh as much as three.
func TestRunsThatWaitedCountLess(t *testing.T) {
	clock := newTime()
	l := newLedger(clock)
	for n := range 5 {
		clock.end(l, fatal, target(n), Waiting)
	}
	require.False(t, isHeld(l, fatal))
	clock.end(l, fatal, target(5), Waiting)
	require.True(t, isHeld(l, fatal))
}

// A target that starts again under its name and ends again has ended twice.
func TestTargetThatEndsTwiceCountsTwice(t *testing.T) {
	clock := newTime()
	l := newLedger(clock)
	for range 3 {
		clock.pass(3 * time.Second)
		l.Ended(Note{Content: fatal, Target: target(1), Standing: Begun, Ran: time.Second})
	}
	require.True(t, isHeld(l, fatal))
}

// However many targets have ended under a content, the next one counts.
func TestOldEndsMakeRoomForNewOnes(t *testing.T) {
	clock := newTime()
	l := newLedger(clock)
	for n := range 2 * mostEnds {
		clock.end(l, fatal, target(n), Begun)
	}
	clock.pass(memoryTime)
	require.False(t, isHeld(l, fatal))
	for n := range 3 {
		clock.end(l, fatal, target(100+n), Begun)
	}
	require.True(t, isHeld(l, fatal))
}

func TestNodesTellEachOther(t *testing.T) {
	clock := newTime()
	here, there := newLedger(clock), newLedger(clock)
	clock.end(here, fatal, target(1), Waiting)
	notes, number := here.News(0)
	require.Len(t, notes, 1)
	clock.pass(time.Second)
	require.Len(t, there.Take(notes), 1)
	require.Empty(t, there.Take(notes), "told twice, it is nothing new")
	notes, _ = here.News(number)
	require.Empty(t, notes)
	clock.end(there, fatal, target(2), Begun)
	clock.end(here, fatal, target(3), Begun)
	clock.end(here, fatal, target(1), Begun)
	notes, _ = here.News(number)
	there.Take(notes)
	require.True(t, isHeld(there, fatal))
	notes, _ = there.News(0)
	require.Len(t, notes, 1, "what others told is told on by them alone")

	late := newLedger(clock)
	clock.pass(time.Minute)
	late.Take(there.Everything())
	require.True(t, isHeld(late, fatal), "a node that starts learns of it")
}

// An end that is told after a later good run does not undo it.
func TestNewsOutOfOrder(t *testing.T) {
	clock := newTime()
	l := newLedger(clock)
	clock.end(l, other, target(1), Begun)
	clock.pass(time.Second)
	l.Sound(other)
	late := []Note{
		{Content: other, Target: 2, Standing: Begun, Age: 3 * time.Second}, {Content: other, Target: 3, Standing: Begun, Age: 2 * time.Second},
		{Content: other, Target: 4, Standing: Begun, Age: 1500 * time.Millisecond},
	}
	require.Empty(t, l.Take(late))
	require.False(t, l.Suspect(other))
	require.Empty(t, l.Take([]Note{{Content: other, Target: 5, Standing: Begun, Age: 2 * memoryTime}, {Content: 7, Target: 5, Standing: 99}}))
	l.Take([]Note{{Content: 8, Target: 5, Standing: Begun, Age: -time.Hour, Ran: -time.Hour}})
	require.True(t, l.Suspect(8), "a time to come counts as now")
}

// Nodes that are told the same in any order, and parts of it twice, come to the
// same.
func TestOrderOfNewsDoesNotMatter(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var notes []Note
		for range 60 {
			n := Note{Content: content(rng.IntN(6)), Target: target(rng.IntN(8)), Standing: Standing(rng.IntN(3)), Ran: time.Second}
			n.Age = time.Duration(rng.IntN(100)) * 2 * time.Second
			notes = append(notes, n)
		}
		clock := newTime()
		one, two := newLedger(clock), newLedger(clock)
		for _, n := range notes {
			one.Take([]Note{n})
		}
		rng.Shuffle(len(notes), func(i, j int) { notes[i], notes[j] = notes[j], notes[i] })
		two.Take(append(slices.Clone(notes), notes[:10]...))
		// A good run of a content that nothing is known of yet is not kept.
		two.Take(notes)
		one.Take(notes)
		for n := range 6 {
			require.Equal(t, isHeld(one, content(n)), isHeld(two, content(n)), "seed %d content %d", seed, n)
		}
	}
}

func TestWhatIsKeptIsBounded(t *testing.T) {
	clock := newTime()
	l := newLedger(clock)
	for n := range 3 {
		clock.end(l, fatal, target(n), Begun)
	}
	var notes []Note
	for n := range 3 * mostContents {
		notes = append(notes, Note{Content: content(n), Target: target(10 + n), Standing: Begun})
	}
	for range 2 {
		clock.pass(time.Minute)
		l.Take(notes)
	}
	require.LessOrEqual(t, len(l.records), mostContents)
	require.LessOrEqual(t, len(l.atTarget), mostContents+3)
	require.True(t, isHeld(l, fatal), "what is held back stays")
	require.LessOrEqual(t, len(l.Everything()), mostGrave)
	for n := range 100 {
		clock.end(l, fatal, target(100000+n), Begun)
	}
	require.LessOrEqual(t, len(l.records[fatal].ends), mostEnds)
	news, _ := l.News(0)
	require.LessOrEqual(t, len(news), mostNews)
}

func TestFingerprintsTellContentsApart(t *testing.T) {
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

// A node sees its own request lose three targets. It waits for what others say
// of these ends before it holds the request back; nothing else speaks against
// the request then.
func TestContentIsHeldOnceOthersWereHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		heard, alone := New(), New()
		var held []Fingerprint
		alone.OnHeld(func(f Fingerprint) { held = append(held, f) })
		for n := range 3 {
			time.Sleep(time.Second)
			for _, l := range []*Ledger{heard, alone} {
				l.Ended(Note{Content: other, Target: target(n), Standing: Begun, Ran: time.Second})
			}
		}
		time.Sleep(hearTime / 2)
		require.False(t, isHeld(heard, other))
		require.False(t, isHeld(alone, other))
		require.Equal(t, hearTime/2, heard.Undecided(other))
		var word []Note
		for n := range 4 { // it was at one more before
			word = append(word, Note{Content: fatal, Target: target(n - 1), Standing: Begun, Age: time.Duration(3-n)*time.Second + hearTime/2, Ran: time.Second})
		}
		heard.Take(word)
		require.Zero(t, heard.Undecided(other))
		time.Sleep(hearTime)
		require.False(t, isHeld(heard, other))
		require.True(t, isHeld(heard, fatal))
		require.True(t, isHeld(alone, other))
		require.Equal(t, []Fingerprint{other}, held)
		require.Zero(t, alone.Undecided(other))
	})
}
