package peer_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/keys"
	"github.com/walnutramp/walnutramp/peer"
)

// Echo is a test service.
type Echo struct{}

// Say returns its argument.
func (Echo) Say(args string, reply *string) error {
	*reply = args
	return nil
}

type oneAddress string

func (a oneAddress) Address(walnutramp.NodeName) (string, bool) { return string(a), true }

// serve runs a server and returns its address and traffic counters.
func serve(t *testing.T, id peer.Identity) (string, *peer.Traffic) {
	traffic := &peer.Traffic{}
	s := peer.NewServer(id, traffic)
	require.NoError(t, s.Register("Echo", Echo{}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go s.Serve(l)
	t.Cleanup(s.Close)
	return l.Addr().String(), traffic
}

func say(t *testing.T, id peer.Identity, address string, to walnutramp.NodeName) error {
	var d net.Dialer
	c := peer.NewClient(id, d.DialContext, oneAddress(address), &peer.Traffic{})
	t.Cleanup(c.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var reply string
	err := c.Call(ctx, to, "Echo.Say", "hello", &reply)
	if err == nil {
		require.Equal(t, "hello", reply)
	}
	return err
}

// identity returns a node's identity with the keys in dir.
func identity(t *testing.T, dir string, n walnutramp.NodeName) peer.Identity {
	cfg, err := keys.Load(dir, n)
	require.NoError(t, err)
	return peer.Identity{Site: "s", Node: n, Incarnation: 1, TLS: cfg}
}

func TestCallWithMutualTLS(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, keys.MakeSite(dir, "s", []walnutramp.NodeName{"a", "b"}))
	address, traffic := serve(t, identity(t, dir, "a"))
	require.NoError(t, say(t, identity(t, dir, "b"), address, "a"))
	require.Zero(t, traffic.Rejected.Load())
	require.Error(t, say(t, identity(t, dir, "b"), address, "c"), "the server is another node than the one called")
}

func TestUnauthenticatedPeersAreRejected(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	require.NoError(t, keys.MakeSite(dir, "s", []walnutramp.NodeName{"a", "b"}))
	require.NoError(t, keys.MakeSite(other, "s", []walnutramp.NodeName{"b"}))
	impostor := identity(t, dir, "b")
	impostor.Node = "a"
	identities := map[string]peer.Identity{
		"no keys":              {Site: "s", Node: "b", Incarnation: 1},
		"another site's keys":  identity(t, other, "b"),
		"another node's name":  impostor,
		"another site by name": {Site: "x", Node: "b", Incarnation: 1, TLS: impostor.TLS},
	}
	for name, id := range identities {
		t.Run(name, func(t *testing.T) {
			address, traffic := serve(t, identity(t, dir, "a"))
			require.Error(t, say(t, id, address, "a"))
			require.Eventually(t, func() bool { return traffic.Rejected.Load() > 0 }, 5*time.Second, time.Millisecond)
		})
	}
}

func TestOversizedHelloIsRejected(t *testing.T) {
	address, traffic := serve(t, peer.Identity{Site: "s", Node: "a"})
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	c.Write([]byte(strings.Repeat("x", 1<<16)))
	require.Eventually(t, func() bool { return traffic.Rejected.Load() == 1 }, 5*time.Second, time.Millisecond)
}
