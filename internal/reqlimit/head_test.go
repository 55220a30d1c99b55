package reqlimit

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const testLimit = 16 << 10

const (
	commonHead = "GET / HTTP/1.1\r\nHost: a\r\nAccept: */*\r\n\r\n"
	shortLine  = "abc:\r\n"
)

// headOf returns a head of many short lines.
func headOf(lines int) string {
	return "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat(shortLine, lines) + "\r\n"
}

// send passes bytes to a meter in reads of a size.
func send(m *HeadMeter, data string, size int) *Refusal {
	for len(data) > 0 {
		n := min(size, len(data))
		if refusal := m.Read([]byte(data[:n]), false); refusal != nil {
			return refusal
		}
		data = data[n:]
	}
	return nil
}

func newTestMeter(b *Budget) *HeadMeter { return NewHeadMeter(b, func() int { return testLimit }) }

func TestCommonHeadTakesNothing(t *testing.T) {
	b := NewBudget(1)
	require.Nil(t, send(newTestMeter(b), commonHead, 3))
	require.Zero(t, b.Used())
}

func TestMemoryIsGivenBack(t *testing.T) {
	for name, end := range map[string]func(*HeadMeter){"next head": (*HeadMeter).Next, "close": (*HeadMeter).Close} {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(1 << 20)
			m := newTestMeter(b)
			require.Nil(t, send(m, headOf(1000), readSize))
			require.Greater(t, b.Used(), int64(1000*lineCost-freeCost))
			end(m)
			require.Zero(t, b.Used())
		})
	}
}

func TestNothingIsTakenAfterClose(t *testing.T) {
	b := NewBudget(1 << 20)
	m := newTestMeter(b)
	m.Close()
	m.Next()
	require.Nil(t, send(m, headOf(1000), readSize))
	require.Nil(t, m.Pipelined())
	require.Zero(t, b.Used())
}

func TestHeadsBeyondTheBudgetAreRefused(t *testing.T) {
	b := NewBudget(1000 * lineCost)
	first, second := newTestMeter(b), newTestMeter(b)
	require.Nil(t, send(first, headOf(1000), readSize))
	refusal := send(second, headOf(1000), readSize)
	require.NotNil(t, refusal)
	require.Equal(t, http.StatusServiceUnavailable, refusal.Status)
	require.Positive(t, refusal.RetryAfter)
	require.EqualValues(t, 1, b.Refused())
	second.Close()
	require.Nil(t, send(newTestMeter(b), commonHead, readSize), "common heads are still read")
	first.Next()
	require.Nil(t, send(second, headOf(1000), readSize))
	require.Zero(t, b.Used(), "a closed meter takes nothing")
}

// The largest head within the limit is read by a process with little memory.
func TestHeadThatIsAloneFindsRoom(t *testing.T) {
	b := NewBudget(1)
	require.Nil(t, send(newTestMeter(b), headOf((testLimit-100)/len(shortLine)), readSize))
}

func TestTooLargeHeadIsRefused(t *testing.T) {
	for name, data := range map[string]string{
		"lines":    headOf(2 * testLimit / len(shortLine)),
		"one line": strings.Repeat("x", 2*testLimit),
		"folded":   "GET / HTTP/1.1\r\nabc: x\r\n" + strings.Repeat(" \r\n", testLimit),
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(64 << 20)
			refusal := send(newTestMeter(b), data, readSize)
			require.NotNil(t, refusal)
			require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, refusal.Status)
			require.Zero(t, refusal.RetryAfter)
			require.EqualValues(t, 1, b.TooLarge())
		})
	}
}

// A body does not belong to the head, whether it arrives with it or later.
func TestBodyTakesNothing(t *testing.T) {
	for _, size := range []int{1, 7, readSize} {
		b := NewBudget(1)
		m := newTestMeter(b)
		require.Nil(t, send(m, commonHead+strings.Repeat("\n", 4*testLimit), size))
		m.Parsed()
		require.Nil(t, send(m, strings.Repeat("\n", 4*testLimit), size))
		require.Zero(t, b.Used())
	}
}

// A head that was read together with the request before is counted, up to the size of a read.
func TestPipelinedHeadIsCounted(t *testing.T) {
	b := NewBudget(1 << 20)
	m := newTestMeter(b)
	require.Nil(t, send(m, (commonHead + headOf(1000))[:readSize], readSize))
	m.Parsed()
	require.Nil(t, m.Read([]byte("a"), true))
	require.Zero(t, b.Used())
	m.Next()
	require.Nil(t, m.Pipelined())
	require.Greater(t, b.Used(), int64(500*lineCost))
}

func TestPipelinedHeadBeyondTheBudgetIsRefused(t *testing.T) {
	b := NewBudget(1)
	other, m := newTestMeter(b), newTestMeter(b)
	require.Nil(t, send(other, headOf(1000), readSize))
	require.Nil(t, send(m, (commonHead + headOf(1000))[:readSize], readSize))
	m.Next()
	require.NotNil(t, m.Pipelined())
}

func TestHeaderOfAnotherNodeIsCounted(t *testing.T) {
	h := http.Header{}
	for i := range 1000 {
		h.Set("A"+strconv.Itoa(i), "")
	}
	b := NewBudget(1)
	giveBack, refusal := b.TakeHeader(h)
	require.Nil(t, refusal)
	require.Greater(t, b.Used(), int64(1000*lineCost-freeCost))
	_, refusal = b.TakeHeader(h)
	require.NotNil(t, refusal)
	giveCommonBack, refusal := b.TakeHeader(http.Header{"Host": {"a"}})
	require.Nil(t, refusal)
	giveCommonBack()
	giveBack()
	require.Zero(t, b.Used())
}

// How a head is cut into reads must not change what is counted, nor take anything that is not
// given back.
func FuzzHeadMeter(f *testing.F) {
	f.Add([]byte(commonHead), uint8(3))
	f.Add([]byte("\r\n\r\n"+commonHead+"\n\n"), uint8(1))
	f.Add([]byte(headOf(400)), uint8(200))
	f.Fuzz(func(t *testing.T, data []byte, size uint8) {
		b := NewBudget(math.MaxInt64)
		whole, parts := newTestMeter(b), newTestMeter(b)
		wholeRefusal := send(whole, string(data), max(1, len(data)))
		partsRefusal := send(parts, string(data), max(1, int(size)))
		require.Equal(t, wholeRefusal == nil, partsRefusal == nil)
		if wholeRefusal == nil {
			require.Equal(t, whole.lines, parts.lines)
			require.Equal(t, whole.bytes, parts.bytes)
			require.Equal(t, whole.phase, parts.phase)
		}
		whole.Close()
		parts.Next()
		parts.Pipelined()
		parts.Close()
		require.Zero(t, b.Used())
	})
}
