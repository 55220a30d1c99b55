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

// A site of three regions with two members each.
const (
	siteRegions        = 3
	siteMembers        = 6
	regionDelay        = 12 * time.Millisecond // one way between regions
	startSpread        = 300 * time.Millisecond
	restartTimeout     = 2 * time.Second         // after all processes have started
	targetSetInterval  = 10 * time.Millisecond   // between settings of the target list on the leader
	failoverAckTimeout = 1500 * time.Millisecond // after a member was stopped
)

// regionOfHost assigns hosts to regions by their numbers.
func regionOfHost(host string) int {
	n, _ := strconv.Atoi(host[1:])
	return n % siteRegions
}

// inRegions runs f on a test site in several regions.
func inRegions(t *testing.T, entries int, f func(*testing.T, *testSite)) {
	inTestSite(t, siteMembers, 0, func(t *testing.T, site *testSite) {
		site.net.Delay = func(a, b string) time.Duration {
			if regionOfHost(a) != regionOfHost(b) {
				return regionDelay
			}
			return hostDelay
		}
		for i := range entries {
			site.startEntry(i)
		}
		f(t, site)
	})
}

// keepTargetList sets the site's target list on the current leader, as the discovery
// task does.
func (site *testSite) keepTargetList(list []discovery.Target) {
	site.spawn(func(ctx context.Context) {
		for pause.For(ctx, targetSetInterval) {
			if leader := site.leader(); leader != nil {
				leader.targets.Set(list)
			}
		}
	})
}

func siteTargets(n int) []discovery.Target {
	list := make([]discovery.Target, 0, n)
	for i := range n {
		list = append(list, discovery.Target{
			ID: fmt.Sprintf("i-%016x", uint64(i)*0x9e3779b97f4a7c15), Service: "engines", DataHall: hallOf(i),
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i%4, i/250, i%250), Slots: 24,
		})
	}
	return list
}

// stopAll stops all processes and returns the members' disks.
func (site *testSite) stopAll() []*memfs.FS {
	var disks []*memfs.FS
	for _, m := range site.members {
		m.stop()
		disks = append(disks, m.disk)
	}
	for _, e := range site.entries {
		e.client.Close()
		e.peers.Close()
	}
	site.members, site.entries = nil, nil
	return disks
}

// After a simultaneous restart of all processes, each entry node must hold a leased
// document and the target list within restartTimeout.
func TestAllEntryNodesServeAfterFullRestart(t *testing.T) {
	const version = 3
	for _, size := range []struct{ entries, targets int }{{30, 300}, {101, 1002}, {300, 3000}} {
		t.Run(fmt.Sprint(size.entries), func(t *testing.T) {
			inRegions(t, size.entries, func(t *testing.T, site *testSite) {
				site.offer(version, routesDocument(version, 100))
				site.restart(size.entries, siteTargets(size.targets))
				restarted := time.Now()
				for site.countServing(version, size.targets) < size.entries {
					require.Less(t, time.Since(restarted), restartTimeout, "entry nodes that can serve: %d", site.countServing(version, size.targets))
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("%d entry nodes and %d targets: all can serve %v after the last start", size.entries, size.targets, time.Since(restarted))
			})
		})
	}
}

// restart stops all processes and starts them in random order.
func (site *testSite) restart(entries int, list []discovery.Target) {
	disks := site.stopAll()
	time.Sleep(time.Second)
	starts := entries + len(disks)
	for _, i := range rand.New(rand.NewPCG(1, 1)).Perm(starts) {
		if i < entries {
			site.startEntry(i)
		} else {
			site.startMember(memberName(i-entries), disks[i-entries])
		}
		time.Sleep(startSpread / time.Duration(starts))
	}
	site.keepTargetList(list)
}

// countServing returns the number of entry nodes that hold a leased document and the
// target list.
func (site *testSite) countServing(version uint64, targets int) int {
	n := 0
	for _, e := range site.entries {
		e.mu.Lock()
		if e.client.InForce() && e.client.Version() == version && e.targets == targets {
			n++
		}
		e.mu.Unlock()
	}
	return n
}

// A change is acknowledged soon after the leader was stopped, through any member.
func TestChangeIsAcknowledgedAfterLeaderStops(t *testing.T) {
	inRegions(t, 12, func(t *testing.T, site *testSite) {
		version := uint64(1)
		site.offer(version, routesDocument(version, 40))
		for range 2 {
			leader := site.leader()
			leader.stop()
			site.members = without(site.members, leader)
			stoppedAt := time.Now()
			version++
			site.offer(version, routesDocument(version, 40))
			require.Less(t, time.Since(stoppedAt), failoverAckTimeout)
			t.Logf("acknowledged %v after the leader stopped", time.Since(stoppedAt))
			time.Sleep(5 * time.Second)
		}
	})
}

// A planned stop of the leader must not delay changes by an election.
func TestChangeDuringLeadershipTransfer(t *testing.T) {
	const maxAckTime = 300 * time.Millisecond
	inRegions(t, 12, func(t *testing.T, site *testSite) {
		site.offer(1, routesDocument(1, 40))
		for version := uint64(2); version < 8; version++ {
			leader := site.leader()
			site.spawn(func(ctx context.Context) { leader.raft.TransferLeadership(ctx) })
			start := time.Now()
			site.offer(version, routesDocument(version, 40))
			require.Less(t, time.Since(start), maxAckTime)
			time.Sleep(time.Second)
		}
	})
}

// eachPairAcross applies change to every pair of hosts for which side holds for the
// first only.
func (site *testSite) eachPairAcross(side func(host string) bool, change func(a, b string)) {
	var hosts []string
	for _, m := range site.members {
		hosts = append(hosts, string(m.name))
	}
	for i := range site.entries {
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

// offerAt submits a document through a member's client.
func (site *testSite) offerAt(m *testMember, version uint64) error {
	ctx, cancel := context.WithTimeout(site.ctx, failoverAckTimeout)
	defer cancel()
	_, err := m.client.Offer(ctx, version, routesDocument(version, 40))
	return err
}

// Two members of different regions stop at the same time, one of them the leader.
func TestTwoMembersOfDifferentRegionsStop(t *testing.T) {
	inRegions(t, 12, func(t *testing.T, site *testSite) {
		site.offer(1, routesDocument(1, 40))
		stopped := []*testMember{site.leader()}
		for _, m := range site.members {
			if len(stopped) == 1 && regionOfHost(string(m.name)) != regionOfHost(string(stopped[0].name)) {
				stopped = append(stopped, m)
			}
		}
		for _, m := range stopped {
			m.stop()
			site.members = without(site.members, m)
		}
		stoppedAt := time.Now()
		site.offer(2, routesDocument(2, 40))
		require.Less(t, time.Since(stoppedAt), failoverAckTimeout)
		time.Sleep(inForceTime)
		require.Zero(t, site.countLate(2, stoppedAt.Add(failoverAckTimeout)))
	})
}

// The leader is partitioned together with one other member. The majority elects a
// leader, and the entry nodes, which reach both sides, follow it.
func TestPartitionWithLeaderInMinority(t *testing.T) {
	inRegions(t, 12, func(t *testing.T, site *testSite) {
		site.offer(1, routesDocument(1, 40))
		oldLeader := site.leader()
		others := without(site.members, oldLeader)
		minority := func(host string) bool { return host == string(oldLeader.name) || host == string(others[0].name) }
		betweenMembers := func(change func(a, b string)) {
			site.eachPairAcross(minority, func(a, b string) {
				if b[0] == 'm' {
					change(a, b)
				}
			})
		}
		betweenMembers(site.net.Cut)
		partitioned := time.Now()
		require.NoError(t, site.offerAt(others[1], 2))
		acknowledged := time.Now()
		require.Less(t, acknowledged.Sub(partitioned), failoverAckTimeout)
		require.Error(t, site.offerAt(oldLeader, 3), "the minority accepts nothing")
		time.Sleep(inForceTime)
		require.Zero(t, site.countLate(2, acknowledged))
		betweenMembers(site.net.Heal)
		healed := time.Now()
		require.NoError(t, site.offerAt(oldLeader, 4))
		require.Less(t, time.Since(healed), failoverAckTimeout)
		time.Sleep(inForceTime)
		require.Zero(t, site.countLate(4, healed.Add(failoverAckTimeout)))
	})
}

// A partitioned region keeps its document but loses the lease, and catches up soon
// after the partition heals.
func TestPartitionedRegion(t *testing.T) {
	const region = 1
	inRegions(t, 12, func(t *testing.T, site *testSite) {
		site.offer(1, routesDocument(1, 40))
		time.Sleep(inForceTime)
		inRegion := func(host string) bool { return regionOfHost(host) == region }
		site.eachPairAcross(inRegion, site.net.Cut)
		time.Sleep(control.LeaseTime + time.Second)
		outside := site.members[1]
		require.NotEqual(t, region, regionOfHost(string(outside.name)))
		require.NoError(t, site.offerAt(outside, 2))
		time.Sleep(inForceTime)
		for i, e := range site.entries {
			if regionOfHost(entryName(i)) == region {
				require.Equal(t, uint64(1), e.client.Version())
				require.False(t, e.client.InForce(), "the newest version cannot be confirmed")
				continue
			}
			require.Equal(t, uint64(2), e.client.Version())
			require.True(t, e.client.InForce())
		}
		site.eachPairAcross(inRegion, site.net.Heal)
		time.Sleep(inForceTime)
		for _, e := range site.entries {
			require.Equal(t, uint64(2), e.client.Version())
			require.True(t, e.client.InForce())
		}
	})
}

// Bounds the traffic of the busiest member during regular changes of the
// configuration.
func TestTrafficAtBusiestMember(t *testing.T) {
	const (
		entries  = 300
		interval = 3 * time.Second
		changes  = 6
		maxRate  = 60e3 // bytes per second
	)
	inRegions(t, entries, func(t *testing.T, site *testSite) {
		site.offer(1, routesDocument(1, 40))
		site.keepTargetList(siteTargets(10 * entries))
		time.Sleep(10 * time.Second)
		before := site.memberBytes()
		for version := range uint64(changes) {
			site.offer(version+2, routesDocument(version+2, 40))
			time.Sleep(interval)
		}
		busiest := 0.0
		for name, bytes := range site.memberBytes() {
			busiest = max(busiest, float64(bytes-before[name])/(changes*interval.Seconds()))
		}
		t.Logf("%d entry nodes, a change every %v: %.0f kB a second at the busiest member", entries, interval, busiest/1e3)
		require.Less(t, busiest, maxRate)
	})
}

// After a full restart, entry nodes must read the target list from the members of
// their data halls, not from the leader.
func TestFullRestartDoesNotLoadLeader(t *testing.T) {
	const (
		entries  = 300
		period   = 3 * time.Second
		maxBytes = 4 << 20
	)
	inRegions(t, entries, func(t *testing.T, site *testSite) {
		site.offer(1, routesDocument(1, 40))
		site.restart(entries, siteTargets(10*entries))
		time.Sleep(period)
		transferred := site.memberBytes()[string(site.leader().name)]
		t.Logf("%.1f MB at the leader within %v", float64(transferred)/1e6, period)
		require.Less(t, transferred, int64(maxBytes))
	})
}

// memberBytes returns the bytes that each member has sent and received.
func (site *testSite) memberBytes() map[string]int64 {
	all := map[string]int64{}
	for _, m := range site.members {
		all[string(m.name)] = m.traffic.Sent.Load() + m.traffic.Received.Load()
	}
	return all
}

func entryName(i int) string { return fmt.Sprintf("e%d", i+1) }

// without returns a copy of a list without one of its elements.
func without[T comparable](list []T, excluded T) []T {
	var kept []T
	for _, e := range list {
		if e != excluded {
			kept = append(kept, e)
		}
	}
	return kept
}
