package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/site"
	"github.com/walnutramp/walnutramp/load"
)

// runningSite is a site in virtual time with a client for its nodes.
type runningSite struct {
	*site.Site
	net    *site.Memory
	client *load.Client
}

// withSite runs f in virtual time against the default site, modified by change, once
// the nodes have discovered each other and received their targets' load reports.
func withSite(t *testing.T, change func(*site.Config), f func(t *testing.T, s runningSite)) {
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
		client := load.NewClient(s.Transport(), callerAddresses(s))
		defer client.HTTP.CloseIdleConnections()
		f(t, runningSite{s, net, client})
	})
}

func callerAddresses(s *site.Site) []string {
	var addresses []string
	for _, n := range s.Nodes {
		addresses = append(addresses, n.Callers)
	}
	return addresses
}
