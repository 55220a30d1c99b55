package node_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/site"
	"github.com/walnutramp/walnutramp/load"
	"github.com/walnutramp/walnutramp/standin"
)

// sendIncomplete sends text to a node and keeps the connection open. It returns the
// response, nil if the node closed the connection, and the time until then.
func sendIncomplete(t *testing.T, s runningSite, text string) (*http.Response, time.Duration) {
	c, err := s.net.Dialer(site.ClientHost)(context.Background(), "tcp", s.Nodes[0].Callers)
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte(text))
	require.NoError(t, err)
	c.SetReadDeadline(time.Now().Add(time.Minute))
	start := time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, time.Since(start)
	}
	body, _ := io.ReadAll(resp.Body)
	resp.Header.Set("Test-Body", string(body))
	return resp, time.Since(start)
}

// TestSlowCallersAreDisconnected guards against connections held open by incomplete
// headers or bodies; other callers must not be affected.
func TestSlowCallersAreDisconnected(t *testing.T) {
	withSite(t, nil, func(t *testing.T, s runningSite) {
		client := s.client
		others := make(chan load.Drafted, 1)
		go func() {
			others <- client.Draft(t.Context(), load.Draft{
				APIKey: site.KeyOf("clerks"), Model: standin.DefaultEngineConfig().Model, Prompt: "x", MaxTokens: 800,
			})
		}()
		_, took := sendIncomplete(t, s, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Half: ")
		require.Equal(t, 5*time.Second, took)
		resp, took := sendIncomplete(t, s, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+
			site.KeyOf("clerks")+"\r\nContent-Length: 100\r\n\r\n{\"model\"")
		require.Equal(t, 10*time.Second, took)
		require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
		require.Contains(t, resp.Header.Get("Test-Body"), `"code":"2011","outcome":"not-run"`)
		d := <-others
		require.True(t, d.Complete && d.Verdict.OK())
	})
}

func TestOversizeBodyIsRejected(t *testing.T) {
	withSite(t, nil, func(t *testing.T, s runningSite) {
		client := s.client
		_, err := client.Call(t.Context(), load.Call{
			APIKey: site.KeyOf("clerks"), Method: http.MethodPost,
			Path: site.ServiceName + "/lookup/x", Body: string(make([]byte, 5<<20)),
		})
		require.ErrorContains(t, err, "2003 not-run")
		time.Sleep(time.Second) // net/http lingers on such a connection
	})
}
