package loadshare

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/rendezvous"
	"github.com/walnutramp/walnutramp/topology"
)

const (
	regionNodes       = 72
	regionHalls       = 6
	regionOneWayDelay = 12 * time.Millisecond
	// propagationTimeout is how long a run takes to become known in all regions.
	propagationTimeout = 300 * time.Millisecond
	// importerFailover is how long a switch to the next importer takes: the importer
	// and its subscribers time out one after the other.
	importerFailover = 2*feedTimeout + 600*time.Millisecond
	// importSettleTime is how long nodes that start together take until each region
	// is imported once: by then the first, surplus subscriptions have expired.
	importSettleTime = settleTime + subscriptionTimeout
)

// threeRegions maps the data halls of a test to regions.
func threeRegions() map[string]string {
	regions := map[string]string{}
	for i := range regionHalls {
		regions[fmt.Sprint("hall-", i)] = fmt.Sprint("region-", i%3)
	}
	return regions
}

// newRegionSite starts nodes in three regions of two halls each.
func newRegionSite(t *testing.T) *siteOf {
	s := &siteOf{t: t, network: newDatagramNet(), regions: threeRegions()}
	for i := range regionNodes {
		s.nodes = append(s.nodes, s.start(i, regionHalls))
	}
	region := map[string]string{}
	for _, n := range s.nodes {
		region[n.conn.address] = n.regions.OwnRegion()
	}
	s.network.mu.Lock()
	s.network.delay = func(from, to string) time.Duration {
		if region[from] == region[to] {
			return datagramDelay
		}
		return regionOneWayDelay
	}
	s.network.mu.Unlock()
	s.setPeers()
	return s
}

func (s *siteOf) region(address string) string { return s.byAddress(address).regions.OwnRegion() }

// dropBetweenRegions drops the datagrams between regions that drop selects.
func (s *siteOf) dropBetweenRegions(drop func(from, to string) bool) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	regions := map[string]string{}
	for _, n := range s.nodes {
		regions[n.conn.address] = n.regions.OwnRegion()
	}
	s.network.drop = func(from, to string) bool { return regions[from] != regions[to] && drop(regions[from], regions[to]) }
}

// importer returns the relay of a region that imports another one.
func (s *siteOf) importer(of, from string) *siteNode {
	i := slices.IndexFunc(s.nodes, func(n *siteNode) bool { return n.regions.OwnRegion() == of })
	return s.byAddress(s.nodes[i].currentLayout().importers(from)[0])
}

// nonRelayIn returns a node of a region that is not a relay.
func (s *siteOf) nonRelayIn(region string) *siteNode {
	i := slices.IndexFunc(s.nodes, func(n *siteNode) bool {
		return n.regions.OwnRegion() == region && !n.currentLayout().isRelay()
	})
	return s.nodes[i]
}

func TestRunsReachAllRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionSite(t)
		defer s.close()
		time.Sleep(settleTime)
		run := s.nodes[7].begin("i-5", "")
		time.Sleep(propagationTimeout)
		require.Equal(t, regionNodes, s.nodesThatSee("i-5"))
		time.Sleep(4 * time.Second) // longer than unrenewed state stays valid
		require.Equal(t, regionNodes, s.nodesThatSee("i-5"))
		run.End(balance.RunEnd{})
		time.Sleep(propagationTimeout)
		require.Zero(t, s.nodesThatSee("i-5"))
	})
}

// Updates must cross between two regions only once, since that traffic is expensive.
func TestEachRegionHasOneImporterPerRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionSite(t)
		defer s.close()
		time.Sleep(importSettleTime)
		crossings := map[string]int{}
		for _, n := range s.nodes {
			n.relayMu.Lock()
			for _, f := range n.feeds {
				if from := s.region(f.source); from != n.regions.OwnRegion() {
					crossings[from+" to "+n.regions.OwnRegion()]++
				}
			}
			n.relayMu.Unlock()
		}
		require.Len(t, crossings, 6)
		for pair, feeds := range crossings {
			require.Equal(t, 1, feeds, pair)
		}
	})
}

// crossRegionBytesPerSecond runs a site under load for five seconds and returns the
// bytes per second sent between regions.
func crossRegionBytesPerSecond(t *testing.T, withTopology bool) int {
	total := 0
	synctest.Test(t, func(t *testing.T) {
		s := newRegionSite(t)
		if !withTopology { // the same regions and delays, unknown to the nodes
			s.close()
			region := s.network.delay
			s = &siteOf{t: t, network: newDatagramNet()}
			for i := range regionNodes {
				s.nodes = append(s.nodes, s.start(i, regionHalls))
			}
			s.network.mu.Lock()
			s.network.delay = region
			s.network.mu.Unlock()
			s.setPeers()
		}
		defer s.close()
		time.Sleep(importSettleTime)
		s.network.mu.Lock()
		s.network.crossRegionBytes = 0
		s.network.mu.Unlock()
		for round := range 50 {
			for i := range 3 {
				n := s.nodes[(3*round+i)%regionNodes]
				run := n.begin(fmt.Sprint("i-", (7*round+i)%siteEngines), fmt.Sprint("key-", round, "-", i))
				time.AfterFunc(time.Second, run.FirstEvent)
				time.AfterFunc(4*time.Second, func() { run.End(balance.RunEnd{Complete: true}) })
			}
			time.Sleep(100 * time.Millisecond)
		}
		s.network.mu.Lock()
		total = s.network.crossRegionBytes / 5
		s.network.mu.Unlock()
	})
	return total
}

func TestTopologyReducesCrossRegionTraffic(t *testing.T) {
	before, now := crossRegionBytesPerSecond(t, false), crossRegionBytesPerSecond(t, true)
	t.Logf("30 runs per second, %d nodes: %d bytes per second between regions without topology, %d with topology",
		regionNodes, before, now)
	require.Less(t, now, before/4)
}

func TestImporterFailover(t *testing.T) {
	failures := map[string]func(s *siteOf, lost *siteNode){
		"cut off": func(s *siteOf, lost *siteNode) { s.isolate(lost) },
		"frozen":  func(_ *siteOf, lost *siteNode) { lost.conn.freeze() },
		"cannot send": func(s *siteOf, lost *siteNode) {
			s.network.drop = func(from, _ string) bool { return from == lost.conn.address }
		},
		"cannot receive from other regions": func(s *siteOf, lost *siteNode) {
			regions := map[string]string{}
			for _, n := range s.nodes {
				regions[n.conn.address] = n.regions.OwnRegion()
			}
			s.network.drop = func(from, to string) bool {
				return to == lost.conn.address && regions[from] != regions[to]
			}
		},
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRegionSite(t)
				defer s.close()
				time.Sleep(settleTime)
				lost := s.importer("region-0", "region-1")
				fail(s, lost)
				time.Sleep(importerFailover)
				run := s.nonRelayIn("region-1").begin("i-5", "")
				time.Sleep(propagationTimeout)
				seenRunning := s.othersThatSee("i-5", lost)
				run.End(balance.RunEnd{})
				time.Sleep(propagationTimeout)
				seenEnded := s.othersThatSee("i-5", lost)
				if name == "frozen" { // otherwise it would not shut down
					lost.conn.thaw()
				}
				require.Equal(t, regionNodes-1, seenRunning)
				require.Zero(t, seenEnded)
				if name == "frozen" {
					time.Sleep(settleTime)
					require.Zero(t, s.nodesThatSee("i-5"), "its stale state is ignored")
				}
			})
		})
	}
}

// A partitioned region keeps working on its own state. State exchanged before the
// partition must expire on both sides and not reappear afterwards.
func TestRegionPartitionAndRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionSite(t)
		defer s.close()
		time.Sleep(settleTime)
		old := s.nonRelayIn("region-1").begin("i-5", "")
		time.Sleep(propagationTimeout)
		require.Equal(t, regionNodes, s.nodesThatSee("i-5"))
		s.dropBetweenRegions(func(from, to string) bool { return from == "region-1" || to == "region-1" })
		time.Sleep(originTimeout + 2*feedTimeout)
		require.Equal(t, regionNodes/3, s.nodesThatSee("i-5"), "expired in the other regions")
		old.End(balance.RunEnd{})
		there := s.nonRelayIn("region-1").begin("i-6", "")
		here := s.nonRelayIn("region-0").begin("i-7", "")
		time.Sleep(propagationTimeout)
		require.Equal(t, regionNodes/3, s.nodesThatSee("i-6"))
		require.Equal(t, 2*regionNodes/3, s.nodesThatSee("i-7"))
		here.End(balance.RunEnd{})
		s.dropBetweenRegions(func(string, string) bool { return false })
		time.Sleep(sourceBackoff + feedTimeout)
		require.Zero(t, s.nodesThatSee("i-5"))
		require.Equal(t, regionNodes, s.nodesThatSee("i-6"))
		require.Zero(t, s.nodesThatSee("i-7"))
		there.End(balance.RunEnd{})
	})
}

func TestRecoveryFromPacketLossBetweenRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionSite(t)
		defer s.close()
		rng := rand.New(rand.NewPCG(1, 2))
		time.Sleep(settleTime)
		s.dropBetweenRegions(func(string, string) bool { return rng.Float64() < 0.05 })
		for range 10 {
			run := s.nonRelayIn("region-1").begin("i-5", "")
			time.Sleep(time.Second)
			require.Equal(t, regionNodes, s.nodesThatSee("i-5"))
			run.End(balance.RunEnd{})
			time.Sleep(time.Second)
			require.Zero(t, s.nodesThatSee("i-5"))
		}
	})
}

// Traces are stored in the region of their run, where only FindAnywhere looks from
// other regions.
func TestFindAnywhereFetchesTraceOfAnotherRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionSite(t)
		defer s.close()
		time.Sleep(settleTime)
		stream := balance.StreamID{Content: 1, Attempt: 1}
		run := s.nonRelayIn("region-1").beginStream("i-5", "part-1", stream)
		run.FirstEvent()
		run.SetCopy("i-6", "run-1")
		time.Sleep(50 * time.Millisecond)
		for _, holder := range s.nonRelayIn("region-1").currentLayout().traceStoresOf("part-1") {
			require.Equal(t, "region-1", s.region(holder))
		}
		remote := s.nonRelayIn("region-1")
		remote.Find(t.Context(), "part-1", stream)
		_, trace := remote.tracker.FindCopy(stream)
		require.Equal(t, "run-1", trace.CopyName)
		local := s.nonRelayIn("region-0")
		local.Find(t.Context(), "part-1", stream)
		at, _ := local.tracker.FindCopy(stream)
		require.Nil(t, at, "Find queries this region only")
		local.FindAnywhere(t.Context(), "part-1", stream)
		_, trace = local.tracker.FindCopy(stream)
		require.Equal(t, "run-1", trace.CopyName)
	})
}

// With one region, relays, trace stores and subscriptions must match those of a site
// without topology.
func TestSingleRegionLayoutMatchesNoTopology(t *testing.T) {
	locations := map[string]location{}
	singleRegion := map[string]string{}
	for i := range regionNodes {
		hall := fmt.Sprint("hall-", i%regionHalls)
		locations[addressOf(i)] = location{dataHall: hall, disk: i%10 == 0}
		singleRegion[hall] = "region"
	}
	own := addressOf(0)
	without, with := newLayout(own, locations, topology.Map{}), newLayout(own, locations, topology.New("hall-0", singleRegion))
	require.Equal(t, without.relays, with.relays)
	require.Empty(t, with.otherRegions())
	var disks []string
	for address, p := range locations {
		if p.disk {
			disks = append(disks, address)
		}
	}
	for i := range 20 {
		key := fmt.Sprint("key-", i)
		rendezvous.Sort(disks, key)
		require.Equal(t, disks[:traceReplicas], with.traceStoresOf(key))
		require.Equal(t, with.traceStoresOf(key), with.traceStoresAnywhere(key))
		require.Equal(t, with.traceStoresOf(key), without.traceStoresOf(key))
	}
	network := newDatagramNet()
	s := New(network.listen(own), balance.NewTracker(balance.WithSeed(1)),
		balance.NewBudgets(balance.BudgetConfig{Ratio: 1, Slack: 10, Window: time.Second}),
		WithDataHall("hall-0"), WithTopology(topology.New("hall-0", singleRegion)))
	require.Empty(t, s.relay.regions)
	relay := newLayout(with.relays["hall-0"][0], locations, topology.New("hall-0", singleRegion))
	s.updateFeeds(relay, time.Now())
	require.Len(t, s.feeds, regionHalls-1, "one feed per other data hall")
	for key := range s.feeds {
		require.Equal(t, scopeHall, key.scope)
	}
}
