package dutycheck

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/duty"
)

const lease = 3 * time.Second

// newCall returns a call that was written the given number of milliseconds after the
// epoch.
func newCall(writtenMS int, node string, token duty.Token, content string) *Call {
	return &Call{Node: node, Subject: "s", Token: token, Content: content, Written: time.UnixMilli(int64(writtenMS))}
}

// platformWith returns a platform that applied the calls in order.
func platformWith(calls ...*Call) *Platform {
	p := NewPlatform()
	for _, c := range calls {
		p.Write(c)
		p.CarryOut(c)
	}
	return p
}

func TestSuccessiveHoldersAccepted(t *testing.T) {
	p := platformWith(newCall(0, "a", 5, "x"), newCall(1, "a", 5, "y"), newCall(2, "b", 6, "x"), newCall(3001, "a", 7, "z"))
	require.Empty(t, p.Wrong(lease))
	require.Equal(t, 2, p.TookSince(time.UnixMilli(1)))
}

func TestSharedTokenDetected(t *testing.T) {
	require.NotEmpty(t, platformWith(newCall(0, "a", 5, "x"), newCall(1, "b", 5, "x")).Wrong(lease))
}

func TestInterleavedHoldersDetected(t *testing.T) {
	require.NotEmpty(t, platformWith(newCall(0, "a", 5, "x"), newCall(100, "b", 6, "x"), newCall(200, "b", 6, "x"), newCall(2999, "a", 7, "x")).Wrong(lease))
	require.NotEmpty(t, platformWith(newCall(0, "a", 5, "x"), newCall(100, "b", 6, "x"), newCall(200, "c", 7, "x"), newCall(300, "a", 8, "x")).Wrong(lease))
	require.Empty(t, platformWith(newCall(0, "a", 5, "x"), newCall(100, "b", 6, "x"), newCall(200, "a", 5, "x")).Wrong(lease), "the platform rejected the last call")
}

func TestOverwriteByOlderCallDetected(t *testing.T) {
	p := NewPlatform()
	first, second := newCall(0, "a", 5, "x"), newCall(100, "a", 5, "y")
	p.Write(first)
	p.Write(second)
	require.True(t, p.CarryOut(second))
	require.True(t, p.CarryOut(first))
	require.NotEmpty(t, p.Wrong(lease))

	p = NewPlatform()
	second.Token = 6
	p.Write(first)
	p.Write(second)
	require.True(t, p.CarryOut(second))
	require.False(t, p.CarryOut(first))
	require.Empty(t, p.Wrong(lease))
}

func TestDuplicateCallAccepted(t *testing.T) {
	p := platformWith(newCall(0, "a", 5, "x"))
	repeat := newCall(100, "a", 5, "x")
	p.Write(repeat)
	p.CarryOut(repeat)
	p.CarryOut(repeat)
	require.Empty(t, p.Wrong(lease))
}

func TestConflictingContentDetected(t *testing.T) {
	first, second := newCall(0, "a", 5, "x"), newCall(100, "a", 5, "y")
	first.Once, second.Once = "window 1", "window 1"
	require.NotEmpty(t, platformWith(first, second).Wrong(lease))
	second.Once = "window 2"
	require.Empty(t, platformWith(first, second).Wrong(lease))
}

func TestCallAfterRejectionDetected(t *testing.T) {
	p := platformWith(newCall(0, "a", 5, "x"), newCall(100, "b", 6, "x"))
	p.Told(newCall(0, "a", 5, "x"))
	p.Write(newCall(200, "a", 5, "x"))
	require.NotEmpty(t, p.Wrong(lease))
}

func TestTooManyStaleCallsDetected(t *testing.T) {
	p := platformWith(newCall(0, "a", 5, "x"), newCall(100, "b", 6, "x"), newCall(200, "a", 5, "x"), newCall(300, "a", 5, "x"), newCall(400, "a", 5, "x"))
	require.Empty(t, p.Wrong(lease))
	p.Write(newCall(500, "a", 5, "x"))
	require.NotEmpty(t, p.Wrong(lease))
}
