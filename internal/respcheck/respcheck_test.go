package respcheck

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestStatuses(t *testing.T) {
	for status := -1; status <= 1000; status++ {
		require.Equal(t, status >= 100 && status < 200 && status != 101, IsInterim(status), status)
		require.Equal(t, status >= 200 && status < 600, Final(status, nil) == nil, status)
	}
}

func TestInterimResponsesHaveNoBody(t *testing.T) {
	require.NoError(t, Interim(&http.Response{Header: http.Header{"Link": {"</a>"}, "Content-Length": {"0"}}}))
	require.Error(t, Interim(&http.Response{Header: http.Header{"Content-Length": {"1"}}}))
	require.Error(t, Interim(&http.Response{TransferEncoding: []string{"chunked"}}))
	require.Error(t, Interim(&http.Response{Header: http.Header{"A B": {"1"}}}))
}

func TestTrailerIsCheckedAtTheEnd(t *testing.T) {
	bad := &http.Response{Trailer: http.Header{"A ": {"1"}}}
	require.NoError(t, AtEnd(nil, bad))
	other := errors.New("other")
	require.Equal(t, other, AtEnd(other, bad))
	err := AtEnd(io.EOF, bad)
	require.Error(t, err)
	require.NotErrorIs(t, err, io.EOF)
	require.Equal(t, io.EOF, AtEnd(io.EOF, &http.Response{Trailer: http.Header{"A": {"1"}}}))
}
