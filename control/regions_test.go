package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/memfs"
	"github.com/walnutramp/walnutramp/internal/pause"
)

// A site of three regions, with two members in each.
const (
	siteRegions   = 3
	siteMembers   = 6
	regionDelay   = 12 * time.Millisecond // one way between regions
	startSpread   = 300 * time.Millisecond
	serveAgain    = 2 * time.Second         // after all processes are back
	listReadAfter = 10 * time.Millisecond   // by a new leader, at the soonest
	nextAck       = 1500 * time.Millisecond // after a member ended
)

// regionOfHost spreads the hosts over the regions by their numbers.
func regionOfHost(host string) int {
	n, _ := strconv.Atoi(host[1:])
	return n % siteRegions
}

// inRegions runs f on a fleet in several regions.
func inRegions(t *testing.T, entries int, f func(*testing.T, *fleet)) {
	inFleet(t, siteMembers, 0, func(t *testing.T, fl *fleet) {
		fl.net.Delay = func(a, b string) time.Duration {
			if regionOfHost(a) != regionOfHost(b) {
				return regionDelay
			}
			return hostDelay
		}
		for i := range entries {
			fl.startEntry(i)
		}
		f(t, fl)
	})
}

// keepList has whichever member leads hold the site's list of targets, as the
// task does that reads it from the platform.
func (fl *fleet) keepList(list []discovery.Target) {
	fl.spawn(func(ctx context.Context) {
		for pause.For(ctx, listReadAfter) {
			if leader := fl.leader(); leader != nil {
				leader.roster.Set(list)
			}
		}
	})
}

// siteList returns a list of targets.
func siteList(n int) []discovery.Target {
	list := make([]discovery.Target, 0, n)
	for i := range n {
		list = append(list, discovery.Target{
			ID: fmt.Sprintf("i-%016x", uint64(i)*0x9e3779b97f4a7c15), Service: "engines", DataHall: hallOf(i),
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i%4, i/250, i%250), Slots: 24,
		})
	}
	return list
}

// killAll ends all processes; the disks stay.
func (fl *fleet) killAll() []*memfs.FS {
	var disks []*memfs.FS
	for _, m := range fl.members {
		m.stop()
		disks = append(disks, m.disk)
	}
	for _, e := range fl.entries {
		e.client.Close()
		e.peers.Close()
	}
	fl.members, fl.entries = nil, nil
	return disks
}

// After all processes were killed at one moment, each entry can serve again two
// seconds after they are back: it holds the document, the list of targets and
// the word that both are the newest.
func TestAllServeAgainAfterAllWereKilled(t *testing.T) {
	const version = 3
	for _, size := range []struct{ entries, targets int }{{30, 300}, {101, 1002}, {300, 3000}} {
		t.Run(fmt.Sprint(size.entries), func(t *testing.T) {
			inRegions(t, size.entries, func(t *testing.T, fl *fleet) {
				fl.offer(version, routesDocument(version, 100))
				fl.restart(size.entries, siteList(size.targets))
				back := time.Now()
				for fl.serving(version, size.targets) < size.entries {
					require.Less(t, time.Since(back), serveAgain, "entries that can serve: %d", fl.serving(version, size.targets))
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("%d entries and %d targets: all can serve %v after the last is back", size.entries, size.targets, time.Since(back))
			})
		})
	}
}

// restart kills all processes and starts them anew, in any order.
func (fl *fleet) restart(entries int, list []discovery.Target) {
	disks := fl.killAll()
	time.Sleep(time.Second)
	starts := entries + len(disks)
	for _, i := range rand.New(rand.NewPCG(1, 1)).Perm(starts) {
		if i < entries {
			fl.startEntry(i)
		} else {
			fl.startMember(memberName(i-entries), disks[i-entries])
		}
		time.Sleep(startSpread / time.Duration(starts))
	}
	fl.keepList(list)
}

// serving counts the entries that hold all they need.
func (fl *fleet) serving(version uint64, targets int) int {
	n := 0
	for _, e := range fl.entries {
		e.mu.Lock()
		if e.client.InForce() && e.client.Version() == version && e.targets == targets {
			n++
		}
		e.mu.Unlock()
	}
	return n
}

// An operator's next change is acknowledged soon after the leader was killed,
// whichever member it is handed to.
func TestNextChangeIsAcknowledgedAfterTheLeaderEnds(t *testing.T) {
	inRegions(t, 12, func(t *testing.T, fl *fleet) {
		version := uint64(1)
		fl.offer(version, routesDocument(version, 40))
		for range 2 {
			old := fl.leader()
			old.stop()
			fl.members = without(fl.members, old)
			ended := time.Now()
			version++
			fl.offer(version, routesDocument(version, 40))
			require.Less(t, time.Since(ended), nextAck)
			t.Logf("acknowledged %v after the leader's end", time.Since(ended))
			time.Sleep(5 * time.Second)
		}
	})
}

// A planned stop of the leader keeps no change waiting for an election.
func TestChangeDuringAHandOver(t *testing.T) {
	const most = 300 * time.Millisecond
	inRegions(t, 12, func(t *testing.T, fl *fleet) {
		fl.offer(1, routesDocument(1, 40))
		for version := uint64(2); version < 8; version++ {
			leader := fl.leader()
			fl.spawn(func(ctx context.Context) { leader.raft.HandOver(ctx) })
			asked := time.Now()
			fl.offer(version, routesDocument(version, 40))
			require.Less(t, time.Since(asked), most)
			time.Sleep(time.Second)
		}
	})
}

// between cuts or joins every pair of hosts of which one is on the side.
func (fl *fleet) between(side func(host string) bool, change func(a, b string)) {
	var hosts []string
	for _, m := range fl.members {
		hosts = append(hosts, string(m.name))
	}
	for i := range fl.entries {
		hosts = append(hosts, entryName(i))
	}
	for _, a := range hosts {
		for _, b := range hosts {
			if side(a) && !side(b) {
				change(a, b)
			}
		}
	}
}

// offerAt hands a document to a member, as an operator does.
func (fl *fleet) offerAt(m *fleetMember, version uint64) error {
	ctx, cancel := context.WithTimeout(fl.ctx, nextAck)
	defer cancel()
	_, err := m.client.Offer(ctx, version, routesDocument(version, 40))
	return err
}

// Two members of different regions end at the same moment, the leader among
// them.
func TestTwoMembersOfDifferentRegionsEnd(t *testing.T) {
	inRegions(t, 12, func(t *testing.T, fl *fleet) {
		fl.offer(1, routesDocument(1, 40))
		lost := []*fleetMember{fl.leader()}
		for _, m := range fl.members {
			if len(lost) == 1 && regionOfHost(string(m.name)) != regionOfHost(string(lost[0].name)) {
				lost = append(lost, m)
			}
		}
		for _, m := range lost {
			m.stop()
			fl.members = without(fl.members, m)
		}
		ended := time.Now()
		fl.offer(2, routesDocument(2, 40))
		require.Less(t, time.Since(ended), nextAck)
		time.Sleep(inForceTime)
		require.Zero(t, fl.late(2, ended.Add(nextAck)))
	})
}

// The leader is cut off with one other member: the four others elect, and the
// entries, which reach both sides, follow them.
func TestSplitWithTheLeaderInTheSmallerHalf(t *testing.T) {
	inRegions(t, 12, func(t *testing.T, fl *fleet) {
		fl.offer(1, routesDocument(1, 40))
		old := fl.leader()
		others := without(fl.members, old)
		small := func(host string) bool { return host == string(old.name) || host == string(others[0].name) }
		members := func(change func(a, b string)) {
			fl.between(small, func(a, b string) {
				if b[0] == 'm' {
					change(a, b)
				}
			})
		}
		members(fl.net.Cut)
		cut := time.Now()
		require.NoError(t, fl.offerAt(others[1], 2))
		acknowledged := time.Now()
		require.Less(t, acknowledged.Sub(cut), nextAck)
		require.Error(t, fl.offerAt(old, 3), "the smaller half takes nothing")
		time.Sleep(inForceTime)
		require.Zero(t, fl.late(2, acknowledged))
		members(fl.net.Heal)
		healed := time.Now()
		require.NoError(t, fl.offerAt(old, 4))
		require.Less(t, time.Since(healed), nextAck)
		time.Sleep(inForceTime)
		require.Zero(t, fl.late(4, healed.Add(nextAck)))
	})
}

// A region that is cut off keeps what it has, says that it can't confirm it,
// and is right again soon after the cut.
func TestRegionThatIsCutOff(t *testing.T) {
	const region = 1
	inRegions(t, 12, func(t *testing.T, fl *fleet) {
		fl.offer(1, routesDocument(1, 40))
		time.Sleep(inForceTime)
		inside := func(host string) bool { return regionOfHost(host) == region }
		fl.between(inside, fl.net.Cut)
		time.Sleep(control.LeaseTime + time.Second)
		rest := fl.members[1]
		require.NotEqual(t, region, regionOfHost(string(rest.name)))
		require.NoError(t, fl.offerAt(rest, 2))
		time.Sleep(inForceTime)
		for i, e := range fl.entries {
			if regionOfHost(entryName(i)) == region {
				require.Equal(t, uint64(1), e.client.Version())
				require.False(t, e.client.InForce(), "it can't know what is the newest")
				continue
			}
			require.Equal(t, uint64(2), e.client.Version())
			require.True(t, e.client.InForce())
		}
		fl.between(inside, fl.net.Heal)
		time.Sleep(inForceTime)
		for _, e := range fl.entries {
			require.Equal(t, uint64(2), e.client.Version())
			require.True(t, e.client.InForce())
		}
	})
}

// What the busiest member sends and gets for documents, the list of targets and
// the group, while the configuration changes every 3 s.
func TestBytesAtTheBusiestMember(t *testing.T) {
	const (
		entries = 300
		every   = 3 * time.Second
		changes = 6
		most    = 60e3 // bytes a second; a member's link of 100 Mbit/s carries 12.5 MB
	)
	inRegions(t, entries, func(t *testing.T, fl *fleet) {
		fl.offer(1, routesDocument(1, 40))
		fl.keepList(siteList(10 * entries))
		time.Sleep(10 * time.Second)
		before := fl.memberBytes()
		for version := range uint64(changes) {
			fl.offer(version+2, routesDocument(version+2, 40))
			time.Sleep(every)
		}
		busiest := 0.0
		for name, bytes := range fl.memberBytes() {
			busiest = max(busiest, float64(bytes-before[name])/(changes*every.Seconds()))
		}
		t.Logf("%d entries, a change every %v: %.0f kB a second at the busiest member", entries, every, busiest/1e3)
		require.Less(t, busiest, most)
	})
}

// After a start of all, entries read the long list of targets at the members of
// their data halls, not at the leader.
func TestStartOfAllSparesTheLeader(t *testing.T) {
	const (
		entries = 300
		watched = 3 * time.Second
		most    = 4 << 20 // bytes
	)
	inRegions(t, entries, func(t *testing.T, fl *fleet) {
		fl.offer(1, routesDocument(1, 40))
		fl.restart(entries, siteList(10*entries))
		time.Sleep(watched)
		carried := fl.memberBytes()[string(fl.leader().name)]
		t.Logf("%.1f MB at the leader within %v", float64(carried)/1e6, watched)
		require.Less(t, carried, int64(most))
	})
}

// memberBytes returns what each member has sent and received.
func (fl *fleet) memberBytes() map[string]int64 {
	all := map[string]int64{}
	for _, m := range fl.members {
		all[string(m.name)] = m.bytes.Sent.Load() + m.bytes.Received.Load()
	}
	return all
}

func entryName(i int) string { return fmt.Sprintf("e%d", i+1) }

// without returns a list without one of its elements.
func without[T comparable](list []T, left T) []T {
	var kept []T
	for _, e := range list {
		if e != left {
			kept = append(kept, e)
		}
	}
	return kept
}
