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

const sharedSpan = 11 * time.Second

// sharingEntry is an entry that holds a part of what the site's entries share.
type sharingEntry struct {
	*control.Client
	part *quota.Holder
}

// share has the group part an amount among entries from now on.
func (g *group) share(ctx context.Context) {
	for _, m := range g.members {
		go control.NewSharing(m.raft, m.server, sharedSpan).Run(ctx)
	}
}

func (g *group) startEntry(i int) *sharingEntry {
	e := &sharingEntry{part: quota.NewHolder(sharedSpan)}
	e.Client = control.NewDocumentClient(peers{g, "client"}, g.names, func(uint64, []byte) error { return nil })
	e.AsEntry(control.EntryPlace{Address: fmt.Sprint("e", i), DataHall: "hall"}, func([]control.EntryPlace, bool) {})
	e.WithQuota(e.part)
	e.Start()
	return e
}

// Entries that wait for the first document have their parts with it. One that comes in
// later or starts again has its own after a span, and the others have less by then. A
// leader that is lost takes no part with it.
func TestEntriesShareWhatTheGroupAgreesOn(t *testing.T) {
	inGroup(t, 3, 5, func(t *testing.T, g *group) {
		defer time.Sleep(5 * time.Second) // for questions that still wait
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		g.share(ctx)
		var entries []*sharingEntry
		defer func() {
			for _, e := range entries {
				e.Close()
			}
		}()
		for i := range 4 {
			entries = append(entries, g.startEntry(i))
		}
		parts := func() (parts []float64) {
			for _, e := range entries {
				parts = append(parts, e.part.Part())
			}
			return parts
		}
		time.Sleep(2 * time.Second)
		require.Equal(t, []float64{0, 0, 0, 0}, parts(), "nothing is served yet")
		g.submitAnywhere(document(1, "a"))
		time.Sleep(2 * time.Second)
		require.Equal(t, []float64{.25, .25, .25, .25}, parts())

		entries = append(entries, g.startEntry(4))
		time.Sleep(5 * time.Second)
		require.Equal(t, []float64{.2, .2, .2, .2, 0}, parts(), "it waits")
		g.kill(g.leader())
		time.Sleep(3 * time.Second)
		require.Equal(t, []float64{.2, .2, .2, .2, 0}, parts(), "another one leads")
		time.Sleep(10 * time.Second)
		require.Equal(t, []float64{.2, .2, .2, .2, .2}, parts())

		entries[0].Close()
		entries[0] = g.startEntry(0)
		time.Sleep(5 * time.Second)
		require.Equal(t, []float64{0, .2, .2, .2, .2}, parts(), "its process before may have used its part")
		entries[1].Close()
		time.Sleep(60 * time.Second)
		require.Equal(t, []float64{.25, 0, .25, .25, .25}, parts(), "one is gone for long")
	})
}
