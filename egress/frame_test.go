package egress

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// response returns the frames of an answer, with an End frame unless it is zero.
func response(t testing.TB, data []string, end End) []byte {
	b, err := appendMessage(nil, frameHead, Head{Status: 200, Header: http.Header{"X-Seal": {"s"}}, Length: -1, Target: "i-1"})
	require.NoError(t, err)
	for _, d := range data {
		b = append(appendFrameHeader(b, frameData, len(d)), d...)
	}
	if end.Result != 0 {
		b, err = appendMessage(b, frameEnd, end)
		require.NoError(t, err)
	}
	return b
}

func read(b []byte) (*Answer, *End, string, error) {
	a, end, err := readHead(io.NopCloser(bytes.NewReader(b)), &Sent{})
	if a == nil {
		return nil, end, "", err
	}
	body, err := io.ReadAll(a)
	return a, end, string(body), err
}

func TestAnswerIsCompleteOnlyWithItsEnd(t *testing.T) {
	whole := response(t, []string{"one ", "two"}, End{Result: Answered})
	a, _, body, err := read(whole)
	require.NoError(t, err)
	require.Equal(t, "one two", body)
	require.Equal(t, "i-1", a.Target)
	require.Equal(t, Answered, a.End().Result)
	for n := range len(whole) - 1 {
		_, _, _, err := read(whole[:n+1])
		require.Error(t, err, "truncated after %d bytes", n+1)
	}
	a, _, body, err = read(response(t, []string{"one "}, End{Result: Failed, Copy: &Copy{Holder: "i-2", Name: "c"}}))
	require.ErrorIs(t, err, errBroken)
	require.Equal(t, "one ", body)
	require.Equal(t, &Copy{Holder: "i-2", Name: "c"}, a.End().Copy)
}

// Whatever a peer sends must be an error, never a crash, a huge allocation or an answer that
// looks complete.
func FuzzResponse(f *testing.F) {
	f.Add(response(f, []string{"one"}, End{Result: Answered}))
	f.Add(response(f, nil, End{Result: NotSent}))
	f.Add([]byte{byte(frameData), 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, b []byte) {
		a, _, _, err := read(b)
		if a != nil && err == nil {
			require.Equal(t, Answered, a.End().Result)
		}
	})
}

// FuzzRequest does the same for what an egress receives.
func FuzzRequest(f *testing.F) {
	b, err := appendMessage(nil, frameRequest, Request{ID: "a", Service: "s", Header: http.Header{"A": {"b"}}})
	require.NoError(f, err)
	f.Add(append(b, "body"...))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, _, err := readRequest(bytes.NewReader(b), 1<<10)
		require.True(t, err != nil || r != nil)
	})
}
