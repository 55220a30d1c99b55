package loadshare

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/rendezvous"
	"github.com/walnutramp/walnutramp/origins"
	"github.com/walnutramp/walnutramp/topology"
)

// originSite is a simulated site whose nodes keep the origins of streams. Targets of several
// software versions come and go, and nodes learn of that late.
type originSite struct {
	*siteOf
	halls      int
	dir        string
	rng        *rand.Rand
	registries []*origins.Registry
	alive      []bool
	cutOff     []bool // from all other nodes
	loss       float64
	contents   int // that clients send in turn; 0 for one of each stream's own
	disks      bool

	mu       sync.Mutex // guards what streams record
	versions []string   // with targets
	begun    int
	resumed  resumeCounts // at nodes that are not cut off
	isolated resumeCounts // at nodes that are
}

// resumeCounts counts streams that clients took up.
type resumeCounts struct {
	wentOn, rejected, mixed int
}

func (c resumeCounts) share() float64 {
	return float64(c.wentOn) / float64(max(1, c.wentOn+c.rejected))
}

// Times of the model.
const (
	originWindow = 7 * time.Second // in which a stream may be taken up
	streamTime   = 6 * time.Second // a client's deadline
	maxListLag   = 3 * time.Second
	restartAfter = time.Second
)

func newOriginSite(t *testing.T, nodes, halls int, seed uint64) *originSite {
	return newOriginSiteWithDisks(t, nodes, halls, seed, true)
}

// newOriginSiteWithDisks is newOriginSite with or without the nodes' disks.
func newOriginSiteWithDisks(t *testing.T, nodes, halls int, seed uint64, disks bool) *originSite {
	s := &originSite{siteOf: &siteOf{t: t, network: newDatagramNet()}, halls: halls, dir: t.TempDir(), rng: rand.New(rand.NewPCG(seed, 3)), versions: []string{"v1"}, disks: disks}
	s.network.drop = func(from, to string) bool {
		return s.cutOff[nodeIndex(from)] || s.cutOff[nodeIndex(to)] || s.loss > 0 && rand.Float64() < s.loss
	}
	s.alive, s.cutOff = make([]bool, nodes), make([]bool, nodes)
	s.registries = make([]*origins.Registry, nodes)
	s.nodes = make([]*siteNode, nodes)
	for i := range nodes {
		s.startNode(i)
	}
	for i := range nodes {
		s.setPeersOf(i)
	}
	return s
}

// nodeIndex is the inverse of addressOf.
func nodeIndex(address string) int {
	var hi, lo, port int
	fmt.Sscanf(address, "10.0.%d.%d:%d", &hi, &lo, &port)
	return hi*250 + lo - 1
}

func (s *originSite) hall(i int) string { return fmt.Sprint("hall-", i%s.halls) }

func hasDisk(i int) bool { return i%10 == 0 }

// startNode starts a node without any memory but its disk's.
func (s *originSite) startNode(i int) {
	opts := []Option{}
	if s.disks && hasDisk(i) {
		opts = append(opts, WithStateFile(filepath.Join(s.dir, strconv.Itoa(i))))
	}
	var tracker registryVersions
	s.registries[i] = origins.New(&tracker)
	s.nodes[i] = s.start(i, s.halls, append(opts, WithOrigins(s.registries[i]))...)
	tracker.Tracker = s.nodes[i].tracker
	s.registries[i].SetNetwork(s.nodes[i].Origins())
	s.nodes[i].tracker.Update(enginesOf(s.versions))
	s.alive[i] = true
}

// registryVersions is a tracker that is set later.
type registryVersions struct{ *balance.Tracker }

// setPeersOf gives a node the list of all others, as the control group does.
func (s *originSite) setPeersOf(i int) {
	var peers []Peer
	for j := range s.nodes {
		peers = append(peers, Peer{Address: addressOf(j), DataHall: s.hall(j), Disk: s.disks && hasDisk(j)})
	}
	s.nodes[i].SetPeers(peers)
}

// enginesOf lists two targets of each version.
func enginesOf(versions []string) (list []discovery.Target) {
	for _, version := range versions {
		for n := range 2 {
			id := fmt.Sprint(version, "-", n)
			list = append(list, discovery.Target{ID: id, Service: "s", Address: "10.1.0.1:" + strconv.Itoa(1000+len(list)), Version: version, Slots: 8})
		}
	}
	return list
}

// setVersions changes the versions that have targets. Nodes learn of it within maxListLag.
func (s *originSite) setVersions(versions ...string) {
	s.mu.Lock()
	s.versions = versions
	s.mu.Unlock()
	for i, n := range s.nodes {
		time.AfterFunc(time.Duration(s.rng.Int64N(int64(maxListLag))), func() {
			if s.nodes[i] == n {
				n.tracker.Update(enginesOf(versions))
			}
		})
	}
}

// crash kills nodes at once, and starts them again after a while.
func (s *originSite) crash(nodes []int) {
	for _, i := range nodes {
		s.alive[i] = false
		s.nodes[i].conn.Close()
	}
	for _, i := range nodes {
		s.nodes[i].kill()
	}
	time.AfterFunc(restartAfter, func() {
		for _, i := range nodes {
			s.startNode(i)
			s.setPeersOf(i)
		}
	})
}

// freeze suspends nodes for a while.
func (s *originSite) freeze(nodes []int, d time.Duration) {
	for _, i := range nodes {
		if !s.alive[i] {
			continue
		}
		n := s.nodes[i]
		s.alive[i] = false
		n.conn.freeze()
		time.AfterFunc(d, func() {
			n.conn.thaw()
			s.alive[i] = true
		})
	}
}

// some returns a random part of the nodes.
func (s *originSite) some(part float64) []int {
	return s.rng.Perm(len(s.nodes))[:int(part*float64(len(s.nodes)))]
}

// pick returns a random node that is alive, other than one; -1 if there is none.
func (s *originSite) pick(other int) int {
	for _, i := range s.rng.Perm(len(s.nodes)) {
		if s.alive[i] && i != other {
			return i
		}
	}
	return -1
}

// stream is a client's stream that is taken up whenever its node ends.
func (s *originSite) stream(number int, named bool) {
	node := s.pick(-1)
	if node < 0 {
		return
	}
	versions, _ := s.nodes[node].tracker.VersionsWithin("s", 0)
	if len(versions) == 0 {
		return
	}
	version := versions[s.rng.IntN(len(versions))]
	deadline := time.Now().Add(streamTime)
	content := number
	if s.contents > 0 {
		content = number % s.contents
	}
	record := origins.Record{Key: origins.KeyOf("a", uint64(content)), Attempt: origins.AttemptOf("a", strconv.Itoa(number)),
		Origin: origins.Origin{Service: "s", Software: version}, TTL: originWindow}
	life := time.Second + time.Duration(s.rng.Int64N(int64(streamTime-time.Second)))
	on := s.nodes[node]
	s.registries[node].Remember(s.t.Context(), record, originWindow)
	if s.nodes[node] != on || !s.alive[node] {
		return // it ended before the first event
	}
	s.mu.Lock()
	s.begun++
	s.mu.Unlock()
	for end := time.Now().Add(life); time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
		if s.nodes[node] == on && s.alive[node] {
			continue
		}
		time.Sleep(time.Duration(s.rng.IntN(400)) * time.Millisecond)
		for node = s.pick(node); node < 0; node = s.pick(node) {
			time.Sleep(50 * time.Millisecond)
		}
		on = s.nodes[node]
		q := origins.Question{Key: record.Key, Service: "s", Window: originWindow}
		if named {
			q.Attempt = record.Attempt
		}
		isolated := s.cutOff[node]
		origin, _, known := s.registries[node].Find(s.t.Context(), q)
		s.count(isolated || s.cutOff[node], known, known && origin.Software != version)
		if !known {
			return
		}
		record.TTL = time.Until(deadline) + time.Second
		s.registries[node].Renew(s.t.Context(), record)
	}
}

func (s *originSite) count(isolated, wentOn, mixed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.resumed
	if isolated {
		c = &s.isolated
	}
	switch {
	case mixed:
		c.mixed++
	case wentOn:
		c.wentOn++
	default:
		c.rejected++
	}
}

// play begins a stream every pause for the duration of span, while fault runs each second.
func (s *originSite) play(pause, span time.Duration, fault func(second int)) {
	var wait sync.WaitGroup
	began := time.Now()
	for number, second := 0, 0; time.Since(began) < span; number++ {
		if elapsed := int(time.Since(began) / time.Second); elapsed > second {
			second = elapsed
			fault(second)
		}
		wait.Go(func() { s.stream(number, number%2 == 0) })
		time.Sleep(pause)
	}
	wait.Wait()
	time.Sleep(2 * restartAfter)
	for i, n := range s.nodes {
		s.alive[i] = false
		n.kill()
	}
}

// originFaults are what befalls a site while versions change, by name.
var originFaults = map[string]struct {
	fault func(s *originSite, second int)
	share float64 // that goes on at least, at nodes that are not cut off
}{
	"nodes are killed in series": {func(s *originSite, second int) {
		if second%2 == 0 {
			s.crash(s.some(0.2))
		}
	}, 0.95},
	"half of the nodes are killed at once, twice": {func(s *originSite, second int) {
		if second == 8 || second == 12 || second == 21 {
			s.crash(s.some(0.5))
		}
	}, 0.75},
	"nodes restart one after the other": {func(s *originSite, second int) {
		s.crash([]int{second % len(s.nodes)})
	}, 0.95},
	"a data hall is killed": {func(s *originSite, second int) {
		if second == 8 || second == 14 {
			hall := second % s.halls
			var nodes []int
			for i := range s.nodes {
				if i%s.halls == hall {
					nodes = append(nodes, i)
				}
			}
			s.crash(nodes)
		}
	}, 0.95},
	"messages are lost": {func(s *originSite, second int) {
		s.loss = 0.2
		if second%3 == 0 {
			s.crash(s.some(0.2))
		}
	}, 0.9},
	"nodes are cut off from the others": {func(s *originSite, second int) {
		clear(s.cutOff)
		if second%4 != 0 {
			for _, i := range s.some(0.3) {
				s.cutOff[i] = true
			}
		}
		if second%3 == 0 {
			s.crash(s.some(0.2))
		}
	}, 0.5},
	"nodes are frozen": {func(s *originSite, second int) {
		if second%3 == 0 {
			s.freeze(s.some(0.25), 2*time.Second)
		}
	}, 0.9},
}

// originSeedsVariable sets the number of seeds, and originNodesVariable that of the nodes.
const (
	originSeedsVariable = "WALNUTRAMP_ORIGIN_SEEDS"
	originNodesVariable = "WALNUTRAMP_ORIGIN_NODES"
)

func numberFrom(variable string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(variable)); err == nil {
		return n
	}
	return otherwise
}

// Versions come and go while nodes, data halls and messages are lost: no node may ever take a
// stream for one of another version, and most must go on.
func TestOriginsAreNeverConfused(t *testing.T) {
	seeds, nodes := numberFrom(originSeedsVariable, 2), numberFrom(originNodesVariable, 12)
	for name, c := range originFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var total, isolated resumeCounts
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					s := newOriginSite(t, nodes, 3, seed)
					time.Sleep(originWindow + time.Second)
					s.play(25*time.Millisecond, 26*time.Second, func(second int) {
						switch second {
						case 3:
							s.setVersions("v1", "v2")
						case 9:
							s.setVersions("v1", "v2", "v3")
						case 11:
							s.setVersions("v3")
						case 19:
							s.setVersions("v4", "v3")
						case 22:
							s.setVersions("v4")
						}
						c.fault(s, second)
					})
					total.wentOn, total.rejected, total.mixed = total.wentOn+s.resumed.wentOn, total.rejected+s.resumed.rejected, total.mixed+s.resumed.mixed
					isolated.wentOn, isolated.rejected, isolated.mixed = isolated.wentOn+s.isolated.wentOn, isolated.rejected+s.isolated.rejected, isolated.mixed+s.isolated.mixed
				})
			}
			t.Logf("in touch: %+v, cut off: %+v", total, isolated)
			require.Zero(t, total.mixed+isolated.mixed)
			require.Greater(t, total.wentOn+total.rejected, 50*seeds, "streams are taken up")
			require.GreaterOrEqual(t, total.share(), c.share)
		})
	}
}

// Of all nodes that lose power, those with disks must still know the streams.
func TestOriginsSurvivePowerLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOriginSite(t, 12, 3, 1)
		time.Sleep(originWindow + time.Second)
		s.setVersions("v1", "v2")
		time.Sleep(maxListLag)
		all := s.rng.Perm(len(s.nodes))
		s.play(25*time.Millisecond, 12*time.Second, func(second int) {
			if second == 8 {
				s.crash(all)
			}
		})
		t.Logf("%+v", s.resumed)
		require.Zero(t, s.resumed.mixed)
		require.GreaterOrEqual(t, s.resumed.share(), 0.5)
	})
}

// Clients send the same contents again and again, and half of them name no attempt. After a loss of
// all nodes, a stream begun since must not stand for one whose record was lost.
func TestOriginsOfRepeatedContentsAreNeverConfused(t *testing.T) {
	for _, nodes := range []int{1, 2, 5, 12} {
		t.Run(strconv.Itoa(nodes), func(t *testing.T) {
			t.Parallel()
			var total resumeCounts
			for seed := range uint64(numberFrom(originSeedsVariable, 4)) {
				synctest.Test(t, func(t *testing.T) {
					s := newOriginSiteWithDisks(t, nodes, min(nodes, 3), seed, false)
					s.contents = 20
					time.Sleep(originWindow + time.Second)
					all := s.rng.Perm(nodes)
					s.play(25*time.Millisecond, 24*time.Second, func(second int) {
						switch second {
						case 2:
							s.setVersions("v1", "v2")
						case 6:
							s.setVersions("v2")
						case 15:
							s.setVersions("v2", "v3")
						}
						if second%4 == 2 {
							s.crash(all)
						}
					})
					total.wentOn, total.rejected, total.mixed = total.wentOn+s.resumed.wentOn, total.rejected+s.resumed.rejected, total.mixed+s.resumed.mixed
				})
			}
			t.Logf("%+v", total)
			require.Positive(t, total.wentOn+total.rejected)
			require.Zero(t, total.mixed)
		})
	}
}

// Once all that began before a loss has ended, clients that name no attempt must be served again.
func TestRepeatedContentsGoOnAfterALoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOriginSiteWithDisks(t, 12, 3, 1, false)
		s.contents = 20
		time.Sleep(originWindow + time.Second)
		s.setVersions("v1", "v2")
		time.Sleep(maxListLag)
		s.crash(s.rng.Perm(len(s.nodes)))
		time.Sleep(restartAfter + originWindow + time.Second)
		for i := range s.registries {
			s.registries[i].Put(origins.Record{Key: origins.KeyOf("a", 1), Attempt: 1, Origin: origins.Origin{Service: "s", Software: "v2"}, TTL: originWindow})
		}
		origin, _, known := s.registries[3].Find(t.Context(), origins.Question{Key: origins.KeyOf("a", 1), Service: "s", Window: originWindow})
		require.True(t, known)
		require.Equal(t, "v2", origin.Software)
		s.close()
	})
}

// Nodes with the same list must agree on who keeps a record, in several data halls.
func TestOriginHolders(t *testing.T) {
	locations := map[string]location{}
	for i := range 40 {
		locations[addressOf(i)] = location{dataHall: fmt.Sprint("hall-", i%4), disk: hasDisk(i)}
	}
	key := origins.KeyOf("a", 7)
	for i := range 40 {
		l := newLayout(addressOf(i), locations, topology.Map{})
		holders := l.originHolders(key, originReplicas)
		require.Len(t, holders, originReplicas)
		require.NotContains(t, holders, addressOf(i))
		if best := rendezvous.First(l.traceStores[l.region], string(key[:])); best != addressOf(i) {
			require.Equal(t, best, holders[0])
			require.True(t, hasDisk(nodeIndex(best)))
		}
		halls := map[string]bool{}
		for _, h := range holders {
			halls[locations[h].dataHall] = true
		}
		require.GreaterOrEqual(t, len(halls), 3)
		require.Subset(t, newLayout(addressOf(39), locations, topology.Map{}).originHolders(key, originLookups), without(holders, addressOf(39)))
	}
}

// The nodes that keep a record may all restart while its stream runs; each must be given it
// again by those that have it.
func TestOriginsAreHandedToNodesThatRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOriginSite(t, 12, 3, 1)
		time.Sleep(originWindow)
		s.setVersions("v1", "v2")
		time.Sleep(maxListLag)
		record := origins.Record{Key: origins.KeyOf("a", 1), Attempt: 1, Origin: origins.Origin{Service: "s", Software: "v2"}, TTL: time.Minute}
		require.True(t, s.registries[1].Remember(t.Context(), record, originWindow))
		for _, holder := range s.nodes[1].currentLayout().originHolders(record.Key, originReplicas) {
			s.crash([]int{nodeIndex(holder)})
			time.Sleep(restartAfter + 500*time.Millisecond)
		}
		s.crash([]int{1})
		for i := range s.nodes {
			if i == 1 {
				continue
			}
			origin, _, known := s.registries[i].Find(t.Context(), origins.Question{Key: record.Key, Attempt: 1, Service: "s", Window: originWindow})
			require.True(t, known)
			require.Equal(t, record.Origin, origin)
		}
		time.Sleep(2 * restartAfter)
		s.close()
	})
}

// What a stream costs that is never taken up is one datagram to each node that keeps its record.
func TestOriginMessagesAreSmall(t *testing.T) {
	const headers, most = 28, 128 // bytes of a datagram
	record := origins.Record{Key: origins.KeyOf("a", 1), Attempt: 1 << 63, Origin: origins.Origin{Service: "redactor-lm", Software: "v1.12.3"}, TTL: 50 * time.Second}
	for _, m := range []message{
		{OriginStore: &originStore{ID: 1 << 40, Record: encodeOrigin(record)}},
		{OriginQuestion: &originQuestion{ID: 1 << 40, Key: record.Key[:], Attempt: 1 << 63, Service: record.Service, WindowMS: 50_000}},
		{OriginReply: encodeOriginAnswer(1<<40, origins.Answer{Known: true, Origin: record.Origin, View: origins.View{Versions: []string{"v1.12.3"}, Covered: time.Hour}})},
	} {
		datagram, err := msgpack.Marshal(m)
		require.NoError(t, err)
		require.LessOrEqual(t, len(datagram)+headers, most, "%+v", m)
		t.Logf("%d bytes", len(datagram)+headers)
	}
}

func BenchmarkOriginHolders(b *testing.B) {
	for _, nodes := range []int{12, 79, 300, 996} {
		b.Run(strconv.Itoa(nodes), func(b *testing.B) {
			locations := map[string]location{}
			for i := range nodes {
				locations[addressOf(i)] = location{dataHall: fmt.Sprint("hall-", i%5), disk: hasDisk(i)}
			}
			l := newLayout(addressOf(0), locations, topology.Map{})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				l.originHolders(origins.KeyOf("a", uint64(i)), originReplicas)
			}
		})
	}
}
