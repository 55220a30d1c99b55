package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/duty"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// The monotonic clock stops while a machine is suspended, so no timer fires. Leases
// and duties must have ended when the machine resumes.

func TestLeaseExpiresDuringSuspend(t *testing.T) {
	c := &Client{leaseEnd: uptime.Now().Add(LeaseTime)}
	require.True(t, c.InForce())
	t.Cleanup(uptime.Pretend(LeaseTime + time.Second))
	require.False(t, c.InForce())
}

func TestDutyExpiresDuringSuspend(t *testing.T) {
	withDutyHolder(t, false, func(t *testing.T, h *DutyHolder, g *fakeGroup) {
		require.True(t, h.Held())
		g.set(func() { g.noQuorum = true }) // the group has another leader
		t.Cleanup(uptime.Pretend(dutyConfig.Lease + time.Second))
		require.False(t, h.Held())
		p := &fakePlatform{outcomes: []duty.Outcome{duty.Done}}
		require.Equal(t, duty.NotSent, h.Do(t.Context(), p.call("s", "x")))
		require.Empty(t, p.calls)
	})
}

func TestRelayConfirmationExpiresDuringSuspend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers, member, relay := newRelayPair()
		peers.leader.targets.Set(numberedTargets(0, 3))
		accept(peers.leader.state, 4)
		accept(member.state, 4)
		require.True(t, relay.refresh(t.Context(), "leader"))
		_, ok := askRelay(member, NewestArgs{Entry: "e1"})
		require.True(t, ok)
		t.Cleanup(uptime.Pretend(relayMaxAge + time.Second))
		_, ok = askRelay(member, NewestArgs{Entry: "e1", Have: 4})
		require.False(t, ok, "entry nodes would start a lease from the old confirmation")
	})
}

func TestTargetListAgesDuringSuspend(t *testing.T) {
	r := NewTargetList()
	r.Set(numberedTargets(0, 3))
	t.Cleanup(uptime.Pretend(21 * time.Second))
	require.GreaterOrEqual(t, r.compressedReply(0).Age, 20*time.Second)
}
