package loadshare

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/shortname"
)

// settleTime is how long nodes of a test that start together take to know each
// other's data halls and to subscribe.
const settleTime = 3 * time.Second

// byAddress returns the node at an address.
func (s *siteOf) byAddress(address string) *siteNode {
	i := slices.IndexFunc(s.nodes, func(n *siteNode) bool { return n.conn.address == address })
	return s.nodes[i]
}

// relayOf returns the relay that a node subscribes to.
func (s *siteOf) relayOf(n *siteNode) *siteNode {
	l := n.layoutNow()
	return s.byAddress(l.sources(l.hall)[0])
}

// plain returns a node of a hall that relays nothing.
func (s *siteOf) plain() *siteNode {
	i := slices.IndexFunc(s.nodes, func(n *siteNode) bool { return !n.layoutNow().isRelay() })
	return s.nodes[i]
}

// cutOff has a node say and hear nothing any more, as after a loss of power.
func (s *siteOf) cutOff(n *siteNode) {
	lost := n.conn.address
	before := s.network.drop
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	s.network.drop = func(from, to string) bool { return from == lost || to == lost || before(from, to) }
}

// othersSee returns how many nodes but one know of work at an engine.
func (s *siteOf) othersSee(engine string, but *siteNode) int {
	count := s.see(engine)
	if but.sees(engine) {
		count--
	}
	return count
}

func TestNextRelayTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 60, 3)
		defer s.close()
		time.Sleep(settleTime)
		lost := s.relayOf(s.plain())
		s.cutOff(lost)
		time.Sleep(feedSilence + 300*time.Millisecond)
		run := s.plain().begin("i-5", "")
		time.Sleep(150 * time.Millisecond)
		require.Equal(t, 59, s.othersSee("i-5", lost))
		run.End(balance.RunEnd{})
		time.Sleep(150 * time.Millisecond)
		require.Zero(t, s.othersSee("i-5", lost))
	})
}

// A relay that was frozen wakes with old timers, old subscribers and a queue of
// datagrams. Nobody takes its old word for new, and it learns what it missed.
func TestRelayThatWakesUndoesNothing(t *testing.T) {
	for _, frozen := range []time.Duration{100 * time.Millisecond, time.Second, 6 * time.Second} {
		t.Run(frozen.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 60, 3)
				defer s.close()
				time.Sleep(settleTime)
				node := s.plain()
				relay := s.relayOf(node)
				old := node.begin("i-5", "")
				time.Sleep(200 * time.Millisecond)
				relay.conn.freeze()
				old.End(balance.RunEnd{})
				node.begin("i-6", "")
				time.Sleep(frozen)
				relay.conn.thaw()
				for range 30 {
					time.Sleep(50 * time.Millisecond)
					if frozen > time.Second {
						require.Zero(t, s.othersSee("i-5", relay), "an old word counts for nothing")
					}
				}
				require.Zero(t, s.see("i-5"))
				require.Equal(t, 60, s.see("i-6"))
			})
		})
	}
}

// A relay that hears but is not heard is left, too.
func TestRelayThatIsNotHeardIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 60, 3)
		defer s.close()
		time.Sleep(settleTime)
		mute := s.relayOf(s.plain()).conn.address
		s.network.mu.Lock()
		s.network.drop = func(from, _ string) bool { return from == mute }
		s.network.mu.Unlock()
		time.Sleep(feedSilence + 300*time.Millisecond)
		s.plain().begin("i-5", "")
		time.Sleep(150 * time.Millisecond)
		require.Equal(t, 60, s.see("i-5"))
	})
}

func TestLostDatagramsAreMadeGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 60, 3)
		defer s.close()
		rng := rand.New(rand.NewPCG(1, 2))
		s.network.mu.Lock()
		s.network.drop = func(string, string) bool { return rng.Float64() < 0.03 }
		s.network.mu.Unlock()
		time.Sleep(settleTime)
		for range 10 {
			run := s.plain().begin("i-5", "")
			time.Sleep(2500 * time.Millisecond) // two reports in full
			require.GreaterOrEqual(t, s.see("i-5"), 59, "one may just be asking again")
			run.End(balance.RunEnd{})
			time.Sleep(2500 * time.Millisecond)
			require.LessOrEqual(t, s.see("i-5"), 1)
		}
	})
}

func TestAllNodesStartAgainTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 120, 6)
		time.Sleep(settleTime)
		s.nodes[5].begin("i-5", "")
		time.Sleep(200 * time.Millisecond)
		s.close()
		for i := range s.nodes {
			s.nodes[i] = s.start(i, 6)
		}
		defer s.close()
		s.setPeers()
		time.Sleep(1500 * time.Millisecond)
		require.Zero(t, s.see("i-5"))
		s.nodes[6].begin("i-6", "")
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, 120, s.see("i-6"))
	})
}

// A data hall of engines ends, and everybody finds out. A node's link carries
// 10 Mbit/s: telling that to all must not fill it.
func TestEndOfAHallOfEnginesFillsNoLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 300, 6)
		defer s.close()
		time.Sleep(settleTime + 2*time.Second)
		s.network.limit(800_000, 64_000)
		rng := rand.New(rand.NewPCG(5, 6))
		s.network.mu.Lock()
		s.network.drop = func(string, string) bool { return rng.Float64() < 0.02 }
		s.network.mu.Unlock()
		for i, n := range s.nodes { // as many runs as engines have
			for e := range 3 {
				n.begin(fmt.Sprint("i-", (i+e*7)%siteEngines), "")
			}
		}
		for range 4 {
			for i, n := range s.nodes {
				for e := 0; e < siteEngines; e += 6 {
					if (i+e)%5 > 0 {
						continue
					}
					id := fmt.Sprint("i-", e)
					if t := n.tracker.Pick(balance.Choice{Service: "s", Exclude: func(t *balance.Target) bool { return t.ID != id }}); t != nil {
						t.Refused()
						t.Broke()
					}
				}
			}
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(time.Second)
		s.network.startCounting()
		time.Sleep(2 * time.Second)
		s.network.mu.Lock()
		most := 0
		for _, bytes := range s.network.out {
			most = max(most, bytes/2)
		}
		s.network.mu.Unlock()
		t.Logf("the busiest node sends %d bytes a second", most)
		require.Less(t, most, 400<<10, "a third of its link")
	})
}

// A node that becomes a relay gives up the feed that told it of all nodes. What
// only that feed knew must not stay for ever: nobody says any more that it is
// over.
func TestNodeThatBecomesARelayForgetsWhatOnlyItsFeedTold(t *testing.T) {
	network := newDatagramNet()
	tracker := balance.NewTracker(balance.WithSeed(1))
	tracker.Update(engines(1))
	s := New(network.listen(addressOf(0)), tracker,
		balance.NewBudgets(balance.BudgetConfig{Ratio: 1, Slack: 10, Window: time.Second}), WithDataHall("a"))
	now := time.Now()
	f := newFeed(scopeSite, "a")
	f.source, f.heard = addressOf(1), now
	s.feeds[feedKey{scopeSite, "a"}] = f
	s.takeFeed(f.source, &feedPart{Scope: scopeSite, Parts: 1, Sections: []section{{
		Node: 7, Runs: []shortRun{{Number: 1, Target: shortname.Of("i-5"), Read: 90000, Hold: 8000}},
	}}})
	n := &siteNode{Sharer: s, tracker: tracker}
	require.True(t, n.sees("i-5"))
	l := s.layoutNow()
	require.True(t, l.isRelay())
	s.tendRelayed(l, now)
	require.Empty(t, s.relay.origins)
	require.False(t, n.sees("i-5"))
}

// What is garbled, or told by who was not asked, changes nothing.
func TestGarbledAndLyingDatagramsChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 60, 3)
		defer s.close()
		time.Sleep(settleTime)
		victim := s.plain()
		liar := s.nodes[slices.IndexFunc(s.nodes, func(n *siteNode) bool { return n != victim && n != s.relayOf(victim) })]
		lie := message{Feed: &feedPart{Scope: scopeSite, Parts: 1, Sections: []section{{
			Node: 7, Runs: []shortRun{{Number: 1, Target: shortname.Of("i-5"), Read: 1 << 40, Hold: -5}},
		}}}}
		victim.take(liar.conn.address, lie)
		require.False(t, victim.sees("i-5"))
		text, err := msgpack.Marshal(lie)
		require.NoError(t, err)
		rng := rand.New(rand.NewPCG(3, 4))
		for range 2000 {
			garbled := slices.Clone(text)
			garbled[rng.IntN(len(garbled))] = byte(rng.IntN(256))
			if m, err := decode(garbled[:1+rng.IntN(len(garbled))]); err == nil {
				victim.take(liar.conn.address, m)
			}
		}
		run := liar.begin("i-6", "")
		time.Sleep(300 * time.Millisecond)
		require.True(t, victim.sees("i-6"))
		run.End(balance.RunEnd{})
	})
}

// FuzzDatagram has a node take any datagram without harm.
func FuzzDatagram(f *testing.F) {
	for _, m := range []message{
		{Sequence: 1, Full: true, DataHall: "a", Runs: []run{{Number: 1, Target: "1", Read: 5}}, Over: []uint64{2}, Asks: true},
		{Feed: &feedPart{Scope: scopeSite, Number: 1, Parts: 2, Part: 1, Sections: []section{{Node: 1, Gone: true}, {Node: 2, Runs: []shortRun{{Number: 1}}}}}},
		{Subscribe: &subscribe{Scope: scopeHall, Whole: true}},
		{Traces: []traceNote{{Key: "k", Over: true}}, Lookup: &lookup{ID: 1, Key: "k"}, Found: &found{ID: 1}},
	} {
		text, err := msgpack.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	kept, err := filepath.Glob("testdata/kept/*/*")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range kept {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	network := newDatagramNet()
	s := New(network.listen(addressOf(0)), balance.NewTracker(balance.WithSeed(1)),
		balance.NewBudgets(balance.BudgetConfig{Ratio: 1, Slack: 10, Window: time.Second}), WithDataHall("a"))
	peer := addressOf(1)
	s.SetPeers(peersAt([]string{peer}))
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := decode(text)
		if err != nil {
			return
		}
		s.take(peer, m)
		s.relayMu.Lock()
		s.feeds[feedKey{scopeSite, "a"}] = &feed{scope: scopeSite, hall: "a", source: peer, nodes: map[uint32]bool{}, synced: true}
		s.relayMu.Unlock()
		s.take(peer, m)
		s.flush(s.relay.site)
		s.tendRelayed(s.layoutNow(), time.Now())
	})
}
