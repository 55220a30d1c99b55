package duty

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	start  = time.Unix(1000, 0)
	config = Config{Lease: 3 * time.Second, Slack: 300 * time.Millisecond, PerSecond: 4}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// leaseOf returns a lease of holder a with the given record, confirmed at
// start.
func leaseOf(r Record) *Lease {
	l := NewLease(config, a, "node-a")
	l.Learn(r, start)
	l.Confirm(start)
	return l
}

func permitted(l *Lease, now time.Time) bool {
	_, ok := l.Permission(now)
	return ok
}

func TestLeaseRunsFromSendTimeOfCheck(t *testing.T) {
	l := leaseOf(granted(Record{}, 5, a))
	p, ok := l.Permission(at(100))
	require.True(t, ok)
	require.Equal(t, Permission{Holder: "node-a", Token: 5, Until: at(2700)}, p) // Lease less Slack
	require.True(t, permitted(l, at(2699)))
	require.False(t, permitted(l, at(2700)))

	l.Confirm(at(2000))
	l.Confirm(at(1000)) // late answer to an earlier check
	require.True(t, permitted(l, at(4699)))
	require.False(t, permitted(l, at(4700)))
}

func TestNoPermissionWithoutTheNewestGrant(t *testing.T) {
	require.False(t, permitted(NewLease(config, a, "a"), start))
	require.False(t, permitted(leaseOf(Record{}), start))
	require.False(t, permitted(leaseOf(granted(Record{}, 5, b)), start))
	require.False(t, permitted(leaseOf(granted(Record{}, 5, a2)), start), "grant of an earlier process")
	require.False(t, permitted(leaseOf(released(granted(Record{}, 5, a))), start))
}

func TestEndedTokenGivesNoPermission(t *testing.T) {
	l := leaseOf(granted(Record{}, 5, a))
	l.End(5)
	require.False(t, permitted(l, at(1)))
	require.True(t, l.Due(at(1), time.Second), "leadership is confirmed before the next grant")
	g, why := l.Next(at(1), false)
	require.Equal(t, ReasonEnded, why)
	l.Learn(l.Record().Granted(6, g), at(2))
	require.True(t, permitted(l, at(2)))
	require.False(t, l.Due(at(2), time.Second))
}

func TestLeaderRequestsMissingGrant(t *testing.T) {
	for why, r := range map[Reason]Record{
		ReasonFirst:     {},
		ReasonTakenOver: granted(Record{}, 5, b),
		ReasonRestarted: granted(Record{}, 5, a2),
		ReasonReleased:  released(granted(Record{}, 5, b)),
		ReasonNone:      granted(Record{}, 5, a),
	} {
		g, reason := leaseOf(r).Next(start, true)
		require.Equal(t, why, reason)
		require.Equal(t, Grant{Holder: a}, g)
	}
}

func TestHolderWaitsForFullLease(t *testing.T) {
	l := leaseOf(granted(granted(Record{}, 5, b), 7, a))
	require.False(t, permitted(l, at(1)))
	_, why := l.Next(at(2999), false)
	require.Equal(t, ReasonNone, why)

	// A repeated grant does not restart the wait.
	l.Learn(l.Record().Granted(8, Grant{Holder: a}), at(1000))
	g, why := l.Next(at(3000), false)
	require.Equal(t, ReasonWaited, why)
	require.Equal(t, Token(7), g.Waited)
	l.Confirm(at(2900))
	l.Learn(l.Record().Granted(9, g), at(3010))
	require.True(t, permitted(l, at(3010)))

	_, why = l.Next(at(5999), false)
	require.Equal(t, ReasonNone, why)
	g, why = l.Next(at(6000), false)
	require.Equal(t, ReasonAlone, why)
	require.Equal(t, Grant{Holder: a, Waited: 7, Alone: true}, g)
}

// A wait during an earlier tenure does not count for the current one.
func TestWaitRestartsAfterAnotherHolder(t *testing.T) {
	l := leaseOf(granted(granted(Record{}, 5, b), 7, a))
	l.Learn(granted(granted(l.Record(), 8, b), 9, a), at(2000))
	_, why := l.Next(at(4999), false)
	require.Equal(t, ReasonNone, why)
	_, why = l.Next(at(5000), false)
	require.Equal(t, ReasonWaited, why)
}

func TestHolderReportsReachablePlatform(t *testing.T) {
	l := leaseOf(Record{Token: 5, First: 5, Holder: a, Recent: []string{"a"}, Unreachable: []string{"b"}})
	_, why := l.Next(at(1), false)
	require.Equal(t, ReasonNone, why)
	g, why := l.Next(at(1), true)
	require.Equal(t, ReasonReached, why)
	require.True(t, g.Reached)
}
