package dutycheck

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/duty"
)

const lease = 3 * time.Second

func at(ms int, node string, token duty.Token, content string) *Call {
	return &Call{Node: node, Subject: "s", Token: token, Content: content, Written: time.UnixMilli(int64(ms))}
}

// seen returns a platform that carried calls out as they were written.
func seen(calls ...*Call) *Platform {
	p := NewPlatform()
	for _, c := range calls {
		p.Write(c)
		p.CarryOut(c)
	}
	return p
}

func TestHoldersInOrderAreFine(t *testing.T) {
	p := seen(at(0, "a", 5, "x"), at(1, "a", 5, "y"), at(2, "b", 6, "x"), at(3001, "a", 7, "z"))
	require.Empty(t, p.Wrong(lease))
	require.Equal(t, 2, p.TookSince(time.UnixMilli(1)))
}

func TestTwoMachinesWithOneToken(t *testing.T) {
	require.NotEmpty(t, seen(at(0, "a", 5, "x"), at(1, "b", 5, "x")).Wrong(lease))
}

func TestMachinesInTurn(t *testing.T) {
	require.NotEmpty(t, seen(at(0, "a", 5, "x"), at(100, "b", 6, "x"), at(200, "b", 6, "x"), at(2999, "a", 7, "x")).Wrong(lease))
	require.NotEmpty(t, seen(at(0, "a", 5, "x"), at(100, "b", 6, "x"), at(200, "c", 7, "x"), at(300, "a", 8, "x")).Wrong(lease))
	require.Empty(t, seen(at(0, "a", 5, "x"), at(100, "b", 6, "x"), at(200, "a", 5, "x")).Wrong(lease), "the platform refused it")
}

func TestCallThatIsUndone(t *testing.T) {
	p := NewPlatform()
	first, second := at(0, "a", 5, "x"), at(100, "a", 5, "y")
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

func TestExactRepeatUndoesNothing(t *testing.T) {
	p := seen(at(0, "a", 5, "x"))
	repeat := at(100, "a", 5, "x")
	p.Write(repeat)
	p.CarryOut(repeat)
	p.CarryOut(repeat)
	require.Empty(t, p.Wrong(lease))
}

func TestTwoContentsOfAWindow(t *testing.T) {
	first, second := at(0, "a", 5, "x"), at(100, "a", 5, "y")
	first.Once, second.Once = "window 1", "window 1"
	require.NotEmpty(t, seen(first, second).Wrong(lease))
	second.Once = "window 2"
	require.Empty(t, seen(first, second).Wrong(lease))
}

func TestCallUnderARefusedToken(t *testing.T) {
	p := seen(at(0, "a", 5, "x"), at(100, "b", 6, "x"))
	p.Told(at(0, "a", 5, "x"))
	p.Write(at(200, "a", 5, "x"))
	require.NotEmpty(t, p.Wrong(lease))
}

func TestManyCallsUnderARefusedToken(t *testing.T) {
	p := seen(at(0, "a", 5, "x"), at(100, "b", 6, "x"), at(200, "a", 5, "x"), at(300, "a", 5, "x"), at(400, "a", 5, "x"))
	require.Empty(t, p.Wrong(lease))
	p.Write(at(500, "a", 5, "x"))
	require.NotEmpty(t, p.Wrong(lease))
}
