package loadshare

import (
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/shortname"
	"github.com/walnutramp/walnutramp/quarantine"
)

const fatal = quarantine.Fingerprint(77)

func endAt(target string) quarantine.Note {
	return quarantine.Note{Content: fatal, Target: shortname.Of(target), Standing: quarantine.Begun, Ran: 100 * time.Millisecond}
}

// held returns how many nodes hold the content back.
func (s *siteOf) held() int {
	n := 0
	for _, node := range s.nodes {
		if _, held := node.ledger.Held(fatal); held {
			n++
		}
	}
	return n
}

// Three nodes each see one target end under the same content: each tells the
// others, directly on a small site and through relays on a large one, also where
// one datagram in five is lost.
func TestEndsAreKnownEverywhere(t *testing.T) {
	for _, site := range []struct {
		name         string
		nodes, halls int
		lost         int // one datagram in so many; 0 for none
		within       time.Duration
	}{
		{"small", 12, 4, 0, 200 * time.Millisecond},
		{"small, lossy", 12, 4, 5, 4 * time.Second},
		{"large", 120, 6, 0, 500 * time.Millisecond},
		// Who missed too much asks for everything once a second, and question and
		// answer come through together in two of three times.
		{"large, lossy", 120, 6, 5, 10 * time.Second},
	} {
		t.Run(site.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, site.nodes, site.halls)
				defer s.close()
				time.Sleep(3 * time.Second)
				sent := 0
				s.network.mu.Lock()
				s.network.drop = func(string, string) bool {
					sent++
					return site.lost > 0 && sent%site.lost == 0
				}
				s.network.mu.Unlock()
				for i := range 3 {
					s.nodes[i].ledger.Ended(endAt(engines(site.halls)[i].ID))
					time.Sleep(300 * time.Millisecond)
				}
				time.Sleep(site.within)
				require.Equal(t, site.nodes, s.held())
			})
		})
	}
}

// Nodes of each region see one end each.
func TestEndsAreKnownInAllRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionSite(t)
		defer s.close()
		time.Sleep(4 * time.Second)
		for i, region := range []string{"region-0", "region-1", "region-2"} {
			s.nodeIn(region).ledger.Ended(endAt(engines(regionHalls)[i].ID))
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, len(s.nodes), s.held())
	})
}

// A node that starts is told what is held back, and one with a disk knows it
// though all have started at the same time.
func TestHeldContentOutlivesRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 12, 4)
		defer s.close()
		file := filepath.Join(t.TempDir(), "memory")
		s.nodes[0].file = file
		for i := range 3 {
			time.Sleep(time.Second)
			s.nodes[0].ledger.Ended(endAt(engines(4)[i].ID))
		}
		time.Sleep(time.Second)
		s.nodes[5].kill()
		s.nodes[5] = s.start(5, 4)
		s.setPeers()
		time.Sleep(10 * time.Millisecond)
		_, held := s.nodes[5].ledger.Held(fatal)
		require.True(t, held, "it asks, and is told")

		text, err := s.nodes[0].encodeMemory()
		require.NoError(t, err)
		require.NoError(t, writeSynced(file, text))
		time.Sleep(memoryLife + time.Second)
		alone := newSite(t, 1, 1)
		defer alone.close()
		alone.nodes[0].file = file
		alone.nodes[0].recall()
		left, held := alone.nodes[0].ledger.Held(fatal)
		require.True(t, held, "it is read")
		require.Less(t, left, time.Hour-memoryLife, "and as old as it is")
	})
}

// What is wrong in a note that another node tells changes nothing else.
func TestGarbledEndsChangeNothing(t *testing.T) {
	s, _ := newNode(t)
	s.SetPeers(peersAt([]string{"127.0.0.1:9"}))
	s.take("127.0.0.1:9", message{Sequence: 5, Ends: []endNote{
		{Content: uint64(fatal), Target: 1, Standing: 99, AgeMS: 1}, {Content: uint64(fatal), Target: 2, Standing: -1, AgeMS: -1 << 63, RanMS: 1<<63 - 1},
		{Content: uint64(fatal), Target: 3, Standing: int(quarantine.Begun), AgeMS: 1<<63 - 1},
	}})
	require.False(t, s.ledger.Suspect(fatal))
}
