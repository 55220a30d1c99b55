package control_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/quota"
)

// shareSpan is the period of time that the quota is for.
const shareSpan = 11 * time.Second

// quotaEntry is an entry node with a share of the quota.
type quotaEntry struct {
	*control.Client
	holder *quota.Holder
}

// startQuota runs a QuotaController on each member.
func (g *group) startQuota(ctx context.Context) {
	for _, m := range g.members {
		go control.NewQuotaController(m.raft, m.server, shareSpan).Run(ctx)
	}
}

func (g *group) startEntry(i int) *quotaEntry {
	e := &quotaEntry{holder: quota.NewHolder(shareSpan)}
	e.Client = control.NewDocumentClient(peers{g, "client"}, g.names, func(uint64, []byte) error { return nil })
	e.RegisterEntryNode(control.EntryNode{Address: fmt.Sprint("e", i), DataHall: "hall"}, func([]control.EntryNode, bool) {})
	e.WithQuota(e.holder)
	e.Start()
	return e
}

// Entry nodes that wait for the first document get their shares with it. One that
// joins or restarts gets its share after shareSpan, when the others have reduced
// theirs. A leader change loses no share.
func TestEntriesShareCommittedQuota(t *testing.T) {
	inGroup(t, 3, 5, func(t *testing.T, g *group) {
		defer time.Sleep(5 * time.Second) // for pending queries
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		g.startQuota(ctx)
		var entries []*quotaEntry
		defer func() {
			for _, e := range entries {
				e.Close()
			}
		}()
		for i := range 4 {
			entries = append(entries, g.startEntry(i))
		}
		shares := func() (parts []float64) {
			for _, e := range entries {
				parts = append(parts, e.holder.Share())
			}
			return parts
		}
		time.Sleep(2 * time.Second)
		require.Equal(t, []float64{0, 0, 0, 0}, shares(), "nothing is served yet")
		g.submitAnywhere(document(1, "a"))
		time.Sleep(2 * time.Second)
		require.Equal(t, []float64{.25, .25, .25, .25}, shares())

		entries = append(entries, g.startEntry(4))
		time.Sleep(5 * time.Second)
		require.Equal(t, []float64{.2, .2, .2, .2, 0}, shares(), "the new entry node waits")
		g.crash(g.leader())
		time.Sleep(3 * time.Second)
		require.Equal(t, []float64{.2, .2, .2, .2, 0}, shares(), "after a leader change")
		time.Sleep(10 * time.Second)
		require.Equal(t, []float64{.2, .2, .2, .2, .2}, shares())

		entries[0].Close()
		entries[0] = g.startEntry(0)
		time.Sleep(5 * time.Second)
		require.Equal(t, []float64{0, .2, .2, .2, .2}, shares(), "its previous process may have used its share")
		entries[1].Close()
		time.Sleep(60 * time.Second)
		require.Equal(t, []float64{.25, 0, .25, .25, .25}, shares(), "a removed entry node's share is redistributed")
	})
}
