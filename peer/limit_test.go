package peer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/peer"
)

func TestReplyWithoutEndIsNotReadWhole(t *testing.T) {
	const (
		limit    = 64 << 20
		inFlight = 16 << 20
		end      = 512 << 20 // keeps a reply that is read to its end from using up the memory
	)
	id := peer.Identity{Site: "s", Node: "n", Incarnation: 1}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	var written atomic.Int64
	go func() {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		defer raw.Close()
		c, err := id.Accept(raw, &peer.Traffic{})
		if err != nil {
			return
		}
		c.Write([]byte{0xfc, 0x40, 0, 0, 0}) // the length of a gob message: 1 GiB
		filler := make([]byte, 64<<10)
		for written.Load() < end {
			n, err := c.Write(filler)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	var d net.Dialer
	c := peer.NewClient(id, d.DialContext, oneAddress(l.Addr().String()), &peer.Traffic{})
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	var reply string
	require.Error(t, c.Call(ctx, "n", "Echo.Say", "hello", &reply))
	require.Less(t, written.Load(), int64(limit+inFlight))
}
