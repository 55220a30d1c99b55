package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/duty"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// A machine is suspended for longer than a lease, its steady clock with it.
// When it wakes, what it held is over, though none of its timers has fired.

func TestLeaseEndsWhileTheMachineIsSuspended(t *testing.T) {
	c := &Client{until: uptime.Now().Add(LeaseTime)}
	require.True(t, c.InForce())
	t.Cleanup(uptime.Pretend(LeaseTime + time.Second))
	require.False(t, c.InForce())
}

func TestDutyEndsWhileTheMachineIsSuspended(t *testing.T) {
	playDuty(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		require.True(t, h.Held())
		g.set(func() { g.silent = true }) // the group has another leader by now
		t.Cleanup(uptime.Pretend(dutyConfig.Lease + time.Second))
		require.False(t, h.Held())
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Done}}
		require.Equal(t, duty.NotSent, h.Do(t.Context(), p.call("s", "x")))
		require.Empty(t, p.calls)
	})
}

func TestRelaysWordIsOldAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers, member, relay := newRelayPair()
		peers.leader.roster.Set(targetsNamed(0, 3))
		accept(peers.leader.state, 4)
		accept(member.state, 4)
		require.True(t, relay.ask(t.Context(), "leader"))
		_, ok := askRelay(member, NewestArgs{Entry: "e1"})
		require.True(t, ok)
		t.Cleanup(uptime.Pretend(relayFresh + time.Second))
		_, ok = askRelay(member, NewestArgs{Entry: "e1", Have: 4})
		require.False(t, ok, "entries would count their lease from it")
	})
}

func TestListsAgeWhileTheMachineIsSuspended(t *testing.T) {
	r := NewRoster()
	r.Set(targetsNamed(0, 3))
	t.Cleanup(uptime.Pretend(21 * time.Second))
	require.GreaterOrEqual(t, r.told(0).Age, 20*time.Second)
}
