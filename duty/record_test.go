package duty

import (
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	a  = Holder{Node: "a", Life: 1}
	a2 = Holder{Node: "a", Life: 2} // another process on node a
	b  = Holder{Node: "b", Life: 3}
	c  = Holder{Node: "c", Life: 4}
)

func granted(r Record, token Token, h Holder) Record { return r.Granted(token, Grant{Holder: h}) }

func released(r Record) Record { return r.AfterRelease(Release{Token: r.Token}) }

func TestFirstHolderDoesNotWait(t *testing.T) {
	r := granted(Record{}, 5, a)
	require.Equal(t, Record{Token: 5, First: 5, Holder: a, Recent: []string{"a"}}, r)
}

func TestNextHolderWaits(t *testing.T) {
	r := granted(granted(Record{}, 5, a), 7, b)
	require.True(t, r.Waits)
	require.Equal(t, a, r.Before)
	require.Equal(t, []string{"a", "b"}, r.Recent)

	r = r.Granted(9, Grant{Holder: b, Waited: 7})
	require.False(t, r.Waits)
	require.Equal(t, []string{"a", "b"}, r.Recent, "a may have acted for nearly a lease after b's grant")
	require.Equal(t, Token(9), r.Token)
	require.Equal(t, Token(7), r.First)
	require.Equal(t, a, r.Before)
}

func TestNextHolderDoesNotWaitAfterRelease(t *testing.T) {
	r := granted(released(granted(Record{}, 5, a)), 7, b)
	require.False(t, r.Waits)
	require.False(t, r.Released)
	require.Equal(t, []string{"a", "b"}, r.Recent, "a acted recently")
}

func TestHoldersDoNotAlternate(t *testing.T) {
	r := granted(released(granted(Record{}, 5, a)), 7, b)
	require.True(t, granted(released(r), 9, a).Waits, "a, b, a")
	require.False(t, granted(released(r), 9, c).Waits, "a, b, c")

	r = r.Granted(8, Grant{Holder: b, Waited: 7})
	require.True(t, granted(released(r), 9, a).Waits, "a may have acted less than a lease ago")
	r = r.Granted(9, Grant{Holder: b, Waited: 7, Alone: true})
	require.Equal(t, []string{"b"}, r.Recent)
	require.False(t, granted(released(r), 10, a).Waits, "a has not acted for at least a lease")
}

// A holder that releases the duty while waiting passes the wait on to its
// successor.
func TestWaitIsPassedToSuccessor(t *testing.T) {
	r := granted(released(granted(granted(Record{}, 5, a), 7, b)), 9, c)
	require.True(t, r.Waits)
}

func TestRestartedHolderWaitsForOthersOnly(t *testing.T) {
	r := granted(granted(Record{}, 5, a), 7, a2)
	require.False(t, r.Waits)
	require.Equal(t, Token(7), r.First, "a restarted process is a new holder")

	waiting := granted(granted(Record{}, 5, b), 7, a)
	require.True(t, granted(waiting, 9, a2).Waits, "b may still act")
}

func TestWaitOfAnEarlierGrantDoesNotCount(t *testing.T) {
	r := granted(granted(granted(Record{}, 5, a), 7, b), 9, c)
	require.True(t, r.Granted(11, Grant{Holder: b, Waited: 7}).Waits)
	r = granted(granted(Record{}, 5, b), 7, a)
	require.True(t, r.Granted(9, Grant{Holder: a2, Waited: 7}).Waits, "another process has waited")
	require.True(t, r.Granted(9, Grant{Holder: a}).Waits, "nobody has waited")
}

func TestReleaseWithPendingCallKeepsWait(t *testing.T) {
	r := granted(Record{}, 5, a).AfterRelease(Release{Token: 5, Pending: true})
	require.True(t, granted(r, 7, b).Waits)
}

func TestReleaseOfEarlierGrantHasNoEffect(t *testing.T) {
	r := granted(granted(Record{}, 5, a), 7, a)
	require.Equal(t, r, r.AfterRelease(Release{Token: 5}))
}

func TestUnreachableNodesAreRecorded(t *testing.T) {
	r := granted(Record{}, 5, a).AfterRelease(Release{Token: 5, Unreachable: true})
	r = granted(r, 7, b)
	require.Equal(t, []string{"a"}, r.Unreachable)
	r = r.Granted(9, Grant{Holder: b, Reached: true})
	require.Empty(t, r.Unreachable)
}

// A holder may act for almost a lease after the next holder's grant. It must
// therefore wait when it gets the duty back, even after a release; otherwise
// the two alternate (A, B, A) within a lease.
func TestPreviousHolderWaitsAfterLateCalls(t *testing.T) {
	a, b := Holder{Node: "a", Life: 1}, Holder{Node: "b", Life: 2}
	r := Record{}.Granted(1, Grant{Holder: a})
	r = r.Granted(2, Grant{Holder: b})
	require.True(t, r.Waits)
	r = r.Granted(3, Grant{Holder: b, Waited: 2})
	require.False(t, r.Waits)
	released := r.AfterRelease(Release{Token: 3})
	require.True(t, released.Granted(4, Grant{Holder: a}).Waits)

	r = r.Granted(4, Grant{Holder: b, Waited: 2, Alone: true})
	released = r.AfterRelease(Release{Token: 4})
	require.False(t, released.Granted(5, Grant{Holder: a}).Waits, "two leases have passed")
}
