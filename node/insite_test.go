package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/site"
	"github.com/walnutramp/walnutramp/load"
)

// running is a site in virtual time and a client of its nodes.
type running struct {
	*site.Site
	net    *site.Memory
	client *load.Client
}

// inSite runs f in virtual time against the default site with cfg's changes,
// once its nodes see each other and have heard of their targets.
func inSite(t *testing.T, change func(*site.Config), f func(t *testing.T, s running)) {
	synctest.Test(t, func(t *testing.T) {
		cfg := site.Default()
		net := site.NewMemory()
		cfg.Network = net
		if change != nil {
			change(&cfg)
		}
		s, err := site.Start(cfg)
		require.NoError(t, err)
		defer s.Close()
		require.NoError(t, s.AwaitMembers(t.Context()))
		time.Sleep(time.Second)
		client := load.NewClient(s.Transport(), addressesOf(s))
		defer client.HTTP.CloseIdleConnections()
		f(t, running{s, net, client})
	})
}

func addressesOf(s *site.Site) []string {
	var addresses []string
	for _, n := range s.Nodes {
		addresses = append(addresses, n.Callers)
	}
	return addresses
}
