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

func numberedTargets(first, n int) []discovery.Target {
	var list []discovery.Target
	for i := range n {
		list = append(list, discovery.Target{ID: fmt.Sprint("i-", first+i), Service: "s", Address: fmt.Sprint("10.0.0.1:", first+i), Slots: 24})
	}
	return list
}

// uncompressedReply returns the reply before the full list is compressed.
func (r *TargetList) uncompressedReply(version uint64) TargetListReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reply(version)
}

// A client that polls irregularly, from any version, must end up with the leader's
// list.
func TestClientFollowsTargetList(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	r := NewTargetList()
	var received []discovery.Target
	c := NewDocumentClient(nil, nil, nil)
	defer c.Close()
	c.OnTargets(func(f discovery.FeedUpdate) bool {
		if f.Change != nil {
			received = applyDiff(received, f.Change.Removed, f.Change.Put, targetID)
		} else if f.List != nil {
			received = f.List
		}
		return true
	})
	list := numberedTargets(0, 280)
	for step := range 300 {
		removed, at := rng.IntN(4), rng.IntN(200)
		list = append(append([]discovery.Target{}, list[:at]...), list[at+removed:]...)
		list = append(list, numberedTargets(1000+10*step, removed)...)
		list[rng.IntN(len(list))].State = discovery.TargetDraining
		rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		r.Set(list)
		if rng.IntN(3) == 0 || step == 150 {
			c.applyTargets(r.uncompressedReply(c.targetsVersion))
			require.ElementsMatch(t, list, received)
		}
		if step == 100 {
			c.targetsVersion = 77 // a version that the leader does not keep
		}
	}
}

// An empty target list is delivered, too, since a node without a list does not
// serve.
func TestEmptyTargetListIsDelivered(t *testing.T) {
	r := NewTargetList()
	c := NewDocumentClient(nil, nil, nil)
	defer c.Close()
	var lists, changes int
	c.OnTargets(func(f discovery.FeedUpdate) bool {
		if f.List != nil {
			lists++
		}
		if f.Change != nil {
			changes++
		}
		return true
	})
	r.Set(nil)
	c.applyTargets(r.uncompressedReply(0))
	require.Equal(t, 1, lists, "an empty list is delivered once")
	r.Set(numberedTargets(0, 3))
	c.applyTargets(r.uncompressedReply(c.targetsVersion))
	require.Equal(t, []int{1, 1}, []int{lists, changes})
}

func TestTargetListChangeIsSmall(t *testing.T) {
	r := NewTargetList()
	list := numberedTargets(0, 280)
	r.Set(list)
	whole := r.uncompressedReply(0)
	require.Nil(t, whole.Change)
	r.Set(append(list[1:], numberedTargets(900, 1)...))
	reply := r.uncompressedReply(whole.Version)
	require.Nil(t, reply.List)
	require.Equal(t, []string{"i-0"}, reply.Change.Removed)
	require.Len(t, reply.Change.Put, 1)
	short, err := msgpack.Marshal(reply)
	require.NoError(t, err)
	require.Less(t, len(short)*20, len(whole.List))
	shuffled := append([]discovery.Target{}, list[1:]...)
	shuffled = append(numberedTargets(900, 1), shuffled...)
	r.Set(shuffled)
	require.Equal(t, reply.Version, r.uncompressedReply(0).Version, "the order does not matter")
	_, err = reply.decode(5)
	require.Error(t, err, "a change to another version")
}

func TestEntryNodesAreSentOnlyOnChange(t *testing.T) {
	var e entryRegistry
	poll := func(entry string, version uint64) ([]string, uint64) {
		var reply NewestReply
		e.register(EntryNode{Address: entry})
		e.fillReply(NewestArgs{Entry: entry, Entries: version}, &reply)
		return reply.Entries, reply.EntriesVersion
	}
	first, version := poll("10.0.0.1:1", 0)
	require.Equal(t, []string{"10.0.0.1:1"}, first)
	again, same := poll("10.0.0.1:1", version)
	require.Nil(t, again)
	require.Equal(t, version, same)
	both, other := poll("10.0.0.2:1", version)
	require.Len(t, both, 2)
	require.NotEqual(t, version, other)
	none, zero := poll("", 0)
	require.Nil(t, none)
	require.Zero(t, zero)
}

// Guards against a panic in a member that has no entry nodes yet, such as a new
// leader, when a relay with an older directory asks it.
func TestUnknownDirectoryIsNotSent(t *testing.T) {
	var e entryRegistry
	var reply NewestReply
	e.fillReply(NewestArgs{Relay: "m2", Directory: true, Entries: 77}, &reply)
	require.Zero(t, reply.Directory.Version)
	require.Empty(t, reply.Directory.Joined)
}

// A client that polls irregularly must end up with the leader's directory and
// receive changes only.
func TestClientFollowsDirectory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 1))
		var e entryRegistry
		place := func(i int) EntryNode {
			return EntryNode{Address: fmt.Sprintf("10.0.0.%03d:1", i), DataHall: fmt.Sprint("hall-", i%3), Disk: i%50 == 0}
		}
		for i := range 300 {
			e.register(place(i))
		}
		client := &Client{self: place(0), onEntryNodes: func([]EntryNode, bool) {}}
		changes, polls := 0, 0
		for range 400 {
			time.Sleep(100 * time.Millisecond)
			for i := range 300 {
				if (i+polls)%97 > 2 { // some miss requests for a while
					e.register(place(i))
				}
			}
			if rng.IntN(3) > 0 {
				continue
			}
			e.register(client.self)
			var reply NewestReply
			e.fillReply(client.newestArgs(0), &reply)
			client.applyEntryNodes(&reply)
			polls++
			changes += len(reply.Directory.Joined) + len(reply.Directory.Left)
			have := slices.Clone(client.entryNodes)
			slices.SortFunc(have, compareAddresses)
			e.mu.Lock()
			require.Equal(t, e.current().newest().entries, have)
			e.mu.Unlock()
		}
		require.Less(t, changes, 300+polls*30)
	})
}
