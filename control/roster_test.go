package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp/discovery"
)

func targetsNamed(first, n int) []discovery.Target {
	var list []discovery.Target
	for i := range n {
		list = append(list, discovery.Target{ID: fmt.Sprint("i-", first+i), Service: "s", Address: fmt.Sprint("10.0.0.1:", first+i), Slots: 24})
	}
	return list
}

// since is what is told before the whole list is compressed.
func (r *Roster) since(version uint64) RosterReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reply(version)
}

// An entry that asks now and then, whatever it holds, always ends up with the
// leader's list.
func TestEntryFollowsTheRoster(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	r := NewRoster()
	var taken []discovery.Target
	c := NewDocumentClient(nil, nil, nil)
	defer c.Close()
	c.FeedTargets(func(f discovery.Feed) bool {
		if f.Change != nil {
			taken = applied(taken, f.Change.Removed, f.Change.Put, targetID)
		} else if f.List != nil {
			taken = f.List
		}
		return true
	})
	list := targetsNamed(0, 280)
	for step := range 300 {
		gone, at := rng.IntN(4), rng.IntN(200)
		list = append(append([]discovery.Target{}, list[:at]...), list[at+gone:]...)
		list = append(list, targetsNamed(1000+10*step, gone)...)
		list[rng.IntN(len(list))].State = discovery.TargetDraining
		rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		r.Set(list)
		if rng.IntN(3) == 0 || step == 150 {
			c.takeRoster(r.since(c.held))
			require.ElementsMatch(t, list, taken)
		}
		if step == 100 {
			c.held = 77 // a version that the leader does not know
		}
	}
}

// A site's list may be empty when it is first read.
func TestEmptyRosterIsTold(t *testing.T) {
	r := NewRoster()
	c := NewDocumentClient(nil, nil, nil)
	defer c.Close()
	var lists, changes int
	c.FeedTargets(func(f discovery.Feed) bool {
		if f.List != nil {
			lists++
		}
		if f.Change != nil {
			changes++
		}
		return true
	})
	r.Set(nil)
	c.takeRoster(r.since(0))
	require.Equal(t, 1, lists, "the node may serve as soon as there is a document")
	r.Set(targetsNamed(0, 3))
	c.takeRoster(r.since(c.held))
	require.Equal(t, []int{1, 1}, []int{lists, changes})
}

func TestChangeOfTheRosterIsShort(t *testing.T) {
	r := NewRoster()
	list := targetsNamed(0, 280)
	r.Set(list)
	whole := r.since(0)
	require.Nil(t, whole.Change)
	r.Set(append(list[1:], targetsNamed(900, 1)...))
	reply := r.since(whole.Version)
	require.Nil(t, reply.List)
	require.Equal(t, []string{"i-0"}, reply.Change.Removed)
	require.Len(t, reply.Change.Put, 1)
	short, err := msgpack.Marshal(reply)
	require.NoError(t, err)
	require.Less(t, len(short)*20, len(whole.List))
	shuffled := append([]discovery.Target{}, list[1:]...)
	shuffled = append(targetsNamed(900, 1), shuffled...)
	r.Set(shuffled)
	require.Equal(t, reply.Version, r.since(0).Version, "the order means nothing")
	_, err = reply.feed(5)
	require.Error(t, err, "a change of another list")
}

func TestEntriesAreToldOnlyWhenTheyChange(t *testing.T) {
	var e entries
	asks := func(entry string, held uint64) ([]string, uint64) {
		var reply NewestReply
		e.note(EntryPlace{Address: entry})
		e.tell(NewestArgs{Entry: entry, Entries: held}, &reply)
		return reply.Entries, reply.EntriesVersion
	}
	first, version := asks("10.0.0.1:1", 0)
	require.Equal(t, []string{"10.0.0.1:1"}, first)
	again, same := asks("10.0.0.1:1", version)
	require.Nil(t, again)
	require.Equal(t, version, same)
	both, other := asks("10.0.0.2:1", version)
	require.Len(t, both, 2)
	require.NotEqual(t, version, other)
	none, zero := asks("", 0)
	require.Nil(t, none)
	require.Zero(t, zero)
}

// A member that has heard no entry yet, as one that has just come to lead, is asked by
// relays that know the entries from another.
func TestWhoHeardNoEntryTellsOfNone(t *testing.T) {
	var e entries
	var reply NewestReply
	e.tell(NewestArgs{Relay: "m2", Directory: true, Entries: 77}, &reply)
	require.Zero(t, reply.Directory.Version)
	require.Empty(t, reply.Directory.Joined)
}

// An entry that asks now and then knows who is there and where, whatever it missed, and
// is told changes only.
func TestEntriesFollowTheDirectory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 1))
		var e entries
		place := func(i int) EntryPlace {
			return EntryPlace{Address: fmt.Sprintf("10.0.0.%03d:1", i), DataHall: fmt.Sprint("hall-", i%3), Disk: i%50 == 0}
		}
		for i := range 300 {
			e.note(place(i))
		}
		asker := &Client{entry: place(0), seen: func([]EntryPlace, bool) {}}
		told, asked := 0, 0
		for range 400 {
			time.Sleep(100 * time.Millisecond)
			for i := range 300 {
				if (i+asked)%97 > 2 { // some are silent for a while
					e.note(place(i))
				}
			}
			if rng.IntN(3) > 0 {
				continue
			}
			e.note(asker.entry)
			var reply NewestReply
			e.tell(asker.question(0), &reply)
			asker.takeEntries(&reply)
			asked++
			told += len(reply.Directory.Joined) + len(reply.Directory.Left)
			have := slices.Clone(asker.entries)
			slices.SortFunc(have, byAddress)
			e.mu.Lock()
			require.Equal(t, e.current().newest().entries, have)
			e.mu.Unlock()
		}
		require.Less(t, told, 300+asked*30)
	})
}
