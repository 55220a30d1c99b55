package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/egress"
	"github.com/walnutramp/walnutramp/peer"
)

const (
	wholeAnswer = "HTTP/1.1 200 OK\r\nX-Id: {ID}\r\nContent-Type: text/plain\r\nContent-Length: 7\r\n\r\nforeign"
	// embedded announces wholeAnswer as the body of an answer to attempt-1.
	embedded = "X-Id: {ID}\r\nContent-Type: text/plain\r\nContent-Length: 88\r\n\r\n" + wholeAnswer
)

// malformedStatuses are answers with a status that no final response has.
var malformedStatuses = map[string]string{
	"000":                         "HTTP/1.1 000 X\r\n" + embedded,
	"099":                         "HTTP/1.1 099 X\r\n" + embedded,
	"+20":                         "HTTP/1.1 +20 X\r\n" + embedded,
	"600":                         "HTTP/1.1 600 X\r\n" + embedded,
	"999":                         "HTTP/1.1 999 X\r\n" + embedded,
	"101":                         "HTTP/1.1 101 X\r\n" + embedded,
	"101 before another answer":   "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + wholeAnswer,
	"000 without a body":          "HTTP/1.1 000 X\r\nX-Id: {ID}\r\n\r\n",
	"interim with a body":         "HTTP/1.1 103 X\r\n" + embedded,
	"interim in chunks":           "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n" + wholeAnswer,
	"000 after an interim answer": "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 X\r\n" + embedded,
}

// malformedNames are answers in which the name of a field is no token.
var malformedNames = map[string]string{
	"blank":                  "HTTP/1.1 200 X\r\nX Trouble: 1\r\n" + embedded,
	"blank before the colon": "HTTP/1.1 200 X\r\nX-Trouble : 1\r\n" + embedded,
	"blank after a length":   "HTTP/1.1 200 X\r\nX-Id: {ID}\r\nContent-Length : 7\r\n\r\nforeign and more",
	"blank after a coding":   "HTTP/1.1 200 X\r\nX-Id: {ID}\r\nTransfer-Encoding : chunked\r\n\r\n7\r\nforeign\r\n0\r\n\r\n",
	"in an interim response": "HTTP/1.1 103 X\r\nX Trouble: 1\r\n\r\n" + wholeAnswer,
	"in a trailer":           "HTTP/1.1 200 X\r\nX-Id: {ID}\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nforeign\r\n0\r\nX Trouble: 1\r\n\r\n",
	"tab":                    "HTTP/1.1 200 X\r\nX\tTrouble: 1\r\n" + embedded,
	"control byte":           "HTTP/1.1 200 X\r\nX\x01Trouble: 1\r\n" + embedded,
	"empty":                  "HTTP/1.1 200 X\r\n: 1\r\n" + embedded,
	"control byte in value":  "HTTP/1.1 200 X\r\nX-Trouble: \x01\r\n" + embedded,
	"bare CR in value":       "HTTP/1.1 200 X\r\nX-Trouble: a\rb\r\n" + embedded,
}

// sayRaw answers with a text, in which {ID} stands for the request's identity, and closes.
func sayRaw(text string) func(*fakeTarget, *http.Request, net.Conn) {
	return func(_ *fakeTarget, r *http.Request, c net.Conn) {
		io.WriteString(c, strings.ReplaceAll(text, "{ID}", r.Header.Get("X-Id")))
		c.Close()
	}
}

// requireRefused checks that a client gets nothing of a target's answer, but an error that does
// not say that the request did not run.
func (s *testSite) requireRefused(t *testing.T, path string) {
	t.Helper()
	resp, body, err := do(t, s.request(t, "POST", path, "prompt"))
	require.NoError(t, err)
	require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, resp.StatusCode, body)
	require.NotContains(t, body, "foreign")
	require.Contains(t, body, `"unknown"`)
}

// requireAllRefused checks that malformed answers reach no client, over this node's own path or
// another node, and that a safe request is retried.
func requireAllRefused(t *testing.T, answers map[string]string) {
	for name, text := range answers {
		for service, path := range pathsOfServices {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				f := newFakeTarget(t, "i-1", service, "north", sayRaw(text))
				newTestSite(t, []*fakeTarget{f}).requireRefused(t, path)
				require.NotEmpty(t, f.seen())
			})
		}
		t.Run(name+" at an egress", func(t *testing.T) {
			t.Parallel()
			s := newRelaySite(t, 1, []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", sayRaw(text))})
			s.ingress.cut(syscall.ECONNREFUSED)
			s.ingress.lostPath(t, "lookup")
			s.ingress.requireRefused(t, "/once/")
		})
		t.Run(name+" to a safe request", func(t *testing.T) {
			t.Parallel()
			good := newFakeTarget(t, "i-2", "lookup", "south", answerWithID)
			s := newTestSite(t, []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", sayRaw(text)), good})
			status, body := s.post(t, "/safe/x")
			require.Equal(t, 200, status)
			require.Equal(t, "from i-2", body)
		})
	}
}

func TestAnswersWithAMalformedStatusAreRefused(t *testing.T) {
	require.Len(t, strings.ReplaceAll(wholeAnswer, "{ID}", "attempt-1"), 88)
	requireAllRefused(t, malformedStatuses)
}

func TestAnswersWithMalformedNamesAreRefused(t *testing.T) { requireAllRefused(t, malformedNames) }

// Names of any token characters, and folded values, are sound.
func TestUnusualHeadsArrive(t *testing.T) {
	text := "HTTP/1.1 200 X\r\nX-Id: {ID}\r\n!#$%&'*+-.^_`|~0z: odd\r\nX-Folded: a\r\n b\r\nContent-Length: 5\r\n\r\nsound"
	for service, path := range pathsOfServices {
		s := newTestSite(t, []*fakeTarget{newFakeTarget(t, "i-1", service, "north", sayRaw(text))})
		resp, body, err := do(t, s.request(t, "POST", path, "prompt"))
		require.NoError(t, err)
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, "sound", body)
		require.Equal(t, "odd", resp.Header.Get("!#$%&'*+-.^_`|~0z"))
		require.Equal(t, "a b", resp.Header.Get("X-Folded"))
	}
}

// lenientEgress is a node of a build that passes malformed heads on.
type lenientEgress struct {
	status int
	header http.Header
}

// HandleRelayed implements egress.Handler.
func (e lenientEgress) HandleRelayed(_ context.Context, _ *egress.Request, _ []byte, w *egress.ResponseWriter) egress.End {
	w.SetTarget(egress.Target{Incarnation: "i-1"})
	for name, values := range e.header {
		w.Header()[name] = values
	}
	w.WriteHeader(e.status)
	io.WriteString(w, "foreign")
	return egress.End{Result: egress.Answered}
}

// newSiteOfLenientEgress returns a node without a path of its own that sends through e.
func newSiteOfLenientEgress(t *testing.T, e lenientEgress) *cuttableNode {
	t.Helper()
	l := newLocalListener(t)
	server := egress.NewServer(e, 8<<20)
	go server.Serve(l, peer.Identity{Site: "s", Node: walnutramp.NodeName(l.Addr().String())}, &peer.Traffic{})
	t.Cleanup(func() { server.Close() })
	offers := fixedOffers{{Node: l.Addr().String(), Near: true, KeepsVersions: true}}
	var d net.Dialer
	client := egress.NewClient(peer.Identity{Site: "s", Node: "ingress"}, d.DialContext, &peer.Traffic{})
	var targets []*fakeTarget
	for service := range pathsOfServices {
		targets = append(targets, newFakeTarget(t, "i-"+service, service, "north", answerWithID))
	}
	n := newCuttableNode(t, targets, WithEgress(egress.NewSender(client, offers)))
	n.cut(syscall.ECONNREFUSED)
	for service := range pathsOfServices {
		n.lostPath(t, service)
	}
	return n
}

func TestMalformedNamesOfAnOlderEgressAreRefused(t *testing.T) {
	for _, name := range []string{"X Trouble", "X-Trouble ", "X\tTrouble", "X\x01Trouble", ""} {
		for _, path := range pathsOfServices {
			t.Run(fmt.Sprintf("%q%s", name, path), func(t *testing.T) {
				t.Parallel()
				n := newSiteOfLenientEgress(t, lenientEgress{status: 200, header: http.Header{"X-Id": {"attempt-1"}, name: {"1"}}})
				n.requireRefused(t, path)
			})
		}
	}
}

func TestMalformedStatusOfAnOlderEgressIsRefused(t *testing.T) {
	for _, status := range []int{0, 20, 99, 101, 103, 600, 1000} {
		for _, path := range pathsOfServices {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				t.Parallel()
				n := newSiteOfLenientEgress(t, lenientEgress{status: status, header: http.Header{"X-Id": {"attempt-1"}}})
				n.requireRefused(t, path)
			})
		}
	}
}

// An encoded body is not the one that the client asked for, on any route.
func TestEncodedAnswersAreRefused(t *testing.T) {
	requireAllRefused(t, map[string]string{
		"text":         "HTTP/1.1 200 X\r\nX-Id: {ID}\r\nContent-Encoding: gzip\r\nContent-Type: text/plain\r\nContent-Length: 7\r\n\r\nforeign",
		"event stream": "HTTP/1.1 200 X\r\nX-Id: {ID}\r\nContent-Encoding: gzip\r\nContent-Type: text/event-stream\r\nContent-Length: 7\r\n\r\nforeign",
	})
}

// A target whose answer is broken has failed, on a streaming route as on others.
func TestBrokenAnswerIsAFailureOfItsTarget(t *testing.T) {
	for name, text := range map[string]string{
		"cut off":        "HTTP/1.1 200 X\r\nX-Id: {ID}\r\nContent-Type: text/plain\r\nContent-Length: 70\r\n\r\nforeign",
		"encoded":        "HTTP/1.1 200 X\r\nX-Id: {ID}\r\nContent-Encoding: gzip\r\nContent-Length: 7\r\n\r\nforeign",
		"malformed head": malformedNames["blank"],
	} {
		for service, path := range pathsOfServices {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				s := newTestSite(t, []*fakeTarget{newFakeTarget(t, "i-1", service, "north", sayRaw(text))})
				failed := s.tracker.Pick(balance.Choice{Service: service})
				s.requireRefused(t, path)
				require.True(t, failed.Lost())
			})
		}
	}
}
