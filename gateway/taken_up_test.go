package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/origins"
	"github.com/walnutramp/walnutramp/quarantine"
)

// takenUpSite is a site with targets of two versions, of which streams begin at the first.
type takenUpSite struct {
	*testSite
	v1, v2 *fakeTarget
}

func newTakenUpSite(t *testing.T, opts ...Option) *takenUpSite {
	s := &takenUpSite{v1: newFakeTarget(t, "i-1", "draft", "north", draft(nil)), v2: newFakeTarget(t, "i-2", "draft", "north", draft(nil))}
	s.testSite = newTestSite(t, nil, opts...)
	s.listOnly("v1")
	return s
}

// listOnly lists the targets of some versions.
func (s *takenUpSite) listOnly(versions ...string) {
	var list []discovery.Target
	for _, version := range versions {
		f := map[string]*fakeTarget{"v1": s.v1, "v2": s.v2}[version]
		list = append(list, withVersions([]string{version}, f)...)
	}
	s.tracker.Update(list)
}

// begin serves a stream at the first version, and lists both from then on.
func (s *takenUpSite) begin(t *testing.T, headers ...string) {
	t.Helper()
	r, _, err := do(t, s.request(t, "POST", "/draft/", "prompt", append([]string{"X-Id", "attempt-1"}, headers...)...))
	require.NoError(t, err)
	require.Equal(t, 200, r.StatusCode)
	s.listOnly("v1", "v2")
}

// takeUp sends a second attempt of the stream, and returns its status, result code, body and
// Retry-After.
func (s *takenUpSite) takeUp(t *testing.T, body string, headers ...string) (status int, code walnutramp.Code, text, retryAfter string) {
	t.Helper()
	request := s.request(t, "POST", "/draft/", body, append([]string{"X-Id", "attempt-2", "X-Last", "4"}, headers...)...)
	r, text, err := do(t, request)
	require.NoError(t, err)
	var e errorBody
	if json.Unmarshal([]byte(text), &e) == nil {
		code = walnutramp.Code(e.Error.Code)
	}
	return r.StatusCode, code, text, r.Header.Get("Retry-After")
}

// requireRejectedAtOnce takes the stream up, with no target of its version there for it, and
// returns the Retry-After.
func (s *takenUpSite) requireRejectedAtOnce(t *testing.T, want walnutramp.Code) (retryAfter string) {
	t.Helper()
	began := time.Now()
	status, code, _, retryAfter := s.takeUp(t, "prompt", "X-Resumes", "attempt-1", "X-Deadline", "9000")
	require.Equal(t, 503, status)
	require.Equal(t, want, code)
	require.Less(t, time.Since(began), time.Second)
	require.Empty(t, s.v2.seen())
	return retryAfter
}

func TestTakenUpStreamGoesOnAtItsVersion(t *testing.T) {
	for name, headers := range map[string][]string{
		"the client names the attempt": {"X-Resumes", "attempt-1"},
		"the client names none":        nil,
	} {
		t.Run(name, func(t *testing.T) {
			s := newTakenUpSite(t)
			s.begin(t)
			for range 8 { // a choice of any version would take both
				status, _, text, _ := s.takeUp(t, "prompt", headers...)
				require.Equal(t, 200, status)
				require.Equal(t, wholeDraft(5), text)
			}
			require.Empty(t, s.v2.seen())
		})
	}
}

func TestStreamOfUnknownVersionIsRejected(t *testing.T) {
	for name, c := range map[string]struct {
		body    string
		headers []string
	}{
		"an attempt that never was":    {"prompt", []string{"X-Resumes", "attempt-9"}},
		"an attempt of other content":  {"another prompt", []string{"X-Resumes", "attempt-1"}},
		"no attempt and other content": {"another prompt", nil},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTakenUpSite(t)
			s.begin(t)
			status, code, _, retryAfter := s.takeUp(t, c.body, c.headers...)
			require.Equal(t, 503, status)
			require.Equal(t, walnutramp.CodeVersionUnknown, code)
			require.Empty(t, retryAfter, "it would bring the client back in vain")
			require.Len(t, s.v1.seen(), 1)
			require.Empty(t, s.v2.seen())
		})
	}
}

// An attempt without an event binds nothing: its client may start over anywhere.
func TestAttemptWithoutAnEventIsNotRecorded(t *testing.T) {
	s := newTakenUpSite(t)
	s.v1.script = failing
	r, _, err := do(t, s.request(t, "POST", "/draft/", "prompt"))
	require.NoError(t, err)
	require.NotEqual(t, 200, r.StatusCode)
	s.listOnly("v1", "v2")
	_, code, _, _ := s.takeUp(t, "prompt", "X-Resumes", "attempt-1")
	require.Equal(t, walnutramp.CodeVersionUnknown, code)
}

// Another account's attempt must be answered as one that never was.
func TestAttemptOfAnotherAccountTellsNothing(t *testing.T) {
	s := newTakenUpSite(t)
	table := testTable()
	table.Open, table.Accounts = false, map[string]Account{"k1": {Name: "a"}, "k2": {Name: "b"}}
	s.gateway.SetTable(table)
	s.begin(t, "X-Key", "k1")
	status, code, text, _ := s.takeUp(t, "prompt", "X-Key", "k2", "X-Resumes", "attempt-1")
	_, never, neverText, _ := s.takeUp(t, "prompt", "X-Key", "k2", "X-Resumes", "attempt-9")
	require.Equal(t, 503, status)
	require.Equal(t, never, code)
	require.Equal(t, neverText, text)
	status, _, text, _ = s.takeUp(t, "prompt", "X-Key", "k1", "X-Resumes", "attempt-1")
	require.Equal(t, 200, status)
	require.Equal(t, wholeDraft(5), text)
}

func TestMalformedPositionsAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		headers []string
		code    walnutramp.Code
	}{
		"over-long attempt":     {[]string{"X-Resumes", strings.Repeat("a", maxAttemptName+1)}, walnutramp.CodeBadRequest},
		"attempt with a space":  {[]string{"X-Resumes", "attempt 1"}, walnutramp.CodeBadRequest},
		"position not a number": {[]string{"X-Resumes", "attempt-1", "X-Last", "4x"}, walnutramp.CodeBadPosition},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTakenUpSite(t)
			s.begin(t)
			status, code, _, _ := s.takeUp(t, "prompt", c.headers...)
			require.Equal(t, 400, status)
			require.Equal(t, c.code, code)
		})
	}
	t.Run("two attempts", func(t *testing.T) {
		s := newTakenUpSite(t)
		s.begin(t)
		r := s.request(t, "POST", "/draft/", "prompt", "X-Last", "4")
		r.Header["X-Resumes"] = []string{"attempt-1", "attempt-2"}
		resp, _, err := do(t, r)
		require.NoError(t, err)
		require.Equal(t, 400, resp.StatusCode)
	})
}

// Without a last event nothing is taken up: the stream starts over, at any version.
func TestNamedAttemptWithoutAPositionBeginsAnew(t *testing.T) {
	s := newTakenUpSite(t)
	s.begin(t)
	s.listOnly("v2")
	_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Id", "attempt-2", "X-Resumes", "attempt-1"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	require.Len(t, s.v2.seen(), 1)
}

// A client must learn at once that no target of its version is left.
func TestTakenUpStreamIsRejectedAtOnceWhenItsVersionIsGone(t *testing.T) {
	s := newTakenUpSite(t)
	s.begin(t)
	s.listOnly("v2")
	require.Empty(t, s.requireRejectedAtOnce(t, walnutramp.CodeVersionGone), "Retry-After")
}

// Draining targets take no new work, so a version that has no others is gone.
func TestVersionWithOnlyDrainingTargetsIsGone(t *testing.T) {
	s := newTakenUpSite(t)
	s.begin(t)
	list := withVersions([]string{"v1", "v2"}, s.v1, s.v2)
	list[0].State = discovery.TargetDraining
	s.tracker.Update(list)
	_, code, _, _ := s.takeUp(t, "prompt", "X-Resumes", "attempt-1")
	require.Equal(t, walnutramp.CodeVersionGone, code)
}

// Versions of two services can't be compared: a stream must go on at the service that began it.
func TestTakenUpStreamStaysAtItsService(t *testing.T) {
	s := newTakenUpSite(t)
	other := newFakeTarget(t, "i-3", "other", "north", draft(nil))
	split := func(services ...WeightedService) {
		table := testTable()
		table.Services["other"] = Service{Name: "other", Engine: true}
		table.SetRoutes([]*Route{{Name: "draft", Host: "a.example", Prefix: "/draft/", Kind: Stream, Resume: true, Timeout: 10 * time.Second,
			LatencyObjective: time.Second, MaxAttempts: 5, Split: services}})
		s.gateway.SetTable(table)
	}
	split(WeightedService{"draft", 1})
	s.begin(t)
	s.tracker.Update(withVersions([]string{"v1", "v1"}, s.v1, other))
	split(WeightedService{"draft", 1}, WeightedService{"other", 1000})
	for range 8 {
		status, _, _, _ := s.takeUp(t, "prompt", "X-Resumes", "attempt-1")
		require.Equal(t, 200, status)
	}
	split(WeightedService{"other", 1})
	_, code, _, _ := s.takeUp(t, "prompt", "X-Resumes", "attempt-1")
	require.Equal(t, walnutramp.CodeVersionGone, code, "the route no longer leads to the service")
	require.Empty(t, other.seen())
}

// A stream without a record may go on where all targets had one version for long enough.
func TestStreamWithoutARecordGoesOnAtTheOnlyVersion(t *testing.T) {
	s := newTakenUpSite(t)
	_, code, _, _ := s.takeUp(t, "prompt")
	require.Equal(t, walnutramp.CodeVersionUnknown, code, "nobody knows what was there before")
	defer uptime.Pretend(21 * time.Second)()
	status, _, text, _ := s.takeUp(t, "prompt", "X-Deadline", "9000")
	require.Equal(t, 200, status)
	require.Equal(t, wholeDraft(5), text)
}

// A node that has restarted knows the streams begun since, but not those of before: a client that
// names no attempt may have one of these.
func TestRestartedNodeDoesNotTakeOneStreamForAnother(t *testing.T) {
	s := newTakenUpSite(t)
	s.gateway.cfg.Origins = origins.New(s.tracker)
	s.begin(t, "X-Deadline", "60000")
	status, code, _, _ := s.takeUp(t, "prompt")
	require.Equal(t, 503, status)
	require.Equal(t, walnutramp.CodeVersionUnknown, code)
	status, _, text, _ := s.takeUp(t, "prompt", "X-Resumes", "attempt-1")
	require.Equal(t, 200, status)
	require.Equal(t, wholeDraft(5), text)
	defer uptime.Pretend(21 * time.Second)()
	status, _, text, _ = s.takeUp(t, "prompt", "X-Deadline", "9000")
	require.Equal(t, 200, status, "what began before can't be taken up any more")
	require.Equal(t, wholeDraft(5), text)
}

// silentNetwork reaches no other node, though there are some.
type silentNetwork struct{}

func (silentNetwork) Store(context.Context, origins.Record, bool) bool { return false }
func (silentNetwork) Find(context.Context, origins.Question, func(*origins.Poll) bool) origins.Poll {
	return origins.Poll{Asked: 7}
}

// A node without peers does not know what they know; its client may go to another.
func TestNodeWithoutPeersRejectsStreamsItDoesNotKnow(t *testing.T) {
	s := newTakenUpSite(t)
	s.gateway.cfg.Origins.SetNetwork(silentNetwork{})
	defer uptime.Pretend(21 * time.Second)()
	status, code, _, retryAfter := s.takeUp(t, "prompt", "X-Resumes", "attempt-1", "X-Deadline", "9000")
	require.Equal(t, 503, status)
	require.Equal(t, walnutramp.CodeVersionUnknown, code)
	require.NotEmpty(t, retryAfter)
	require.Empty(t, s.v1.seen())
}

// recordingNetwork notes when a record was sent.
type recordingNetwork struct{ stored chan origins.Record }

func (n recordingNetwork) Store(_ context.Context, r origins.Record, _ bool) bool {
	n.stored <- r
	return true
}
func (recordingNetwork) Find(context.Context, origins.Question, func(*origins.Poll) bool) origins.Poll {
	return origins.Poll{}
}

// A node may end as soon as its client has the first event, so the record must be sent before.
func TestVersionIsRecordedBeforeTheFirstEvent(t *testing.T) {
	s := newTakenUpSite(t)
	n := recordingNetwork{stored: make(chan origins.Record)}
	s.gateway.cfg.Origins.SetNetwork(n)
	first := make(chan error, 1)
	go func() {
		resp, err := http.DefaultClient.Do(s.request(t, "POST", "/draft/", "prompt"))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		first <- err
	}()
	select {
	case <-first:
		t.Fatal("the answer came before the record was sent")
	case <-time.After(100 * time.Millisecond):
	}
	require.Equal(t, origins.Origin{Service: "draft", Software: "v1"}, (<-n.stored).Origin)
	require.NoError(t, <-first)
}

// What has run must not be answered as not run, though its version is gone.
func TestTakenUpStreamThatRanIsNotAnsweredAsNotRun(t *testing.T) {
	s := newTakenUpSite(t)
	s.begin(t)
	s.v1.script = func(_ *fakeTarget, _ *http.Request, c net.Conn) {
		s.listOnly("v2")
		c.Close()
	}
	status, code, _, _ := s.takeUp(t, "prompt", "X-Resumes", "attempt-1")
	require.Equal(t, 502, status)
	require.Equal(t, walnutramp.CodeTargetFailed, code)
}

// Targets whose cooldown is longer than the stream waits are not waited for.
func TestTakenUpStreamIsRejectedAtOnceDuringItsTargetsCooldown(t *testing.T) {
	s := newTakenUpSite(t)
	s.begin(t)
	s.tracker.Target("i-1").StartCooldown(5 * time.Second)
	require.NotEmpty(t, s.requireRejectedAtOnce(t, walnutramp.CodeTargetsCooldown), "Retry-After")
}

// renameRoute gives the route of drafts another name, and makes it lead to a service.
func (s *takenUpSite) renameRoute(service string) {
	table := testTable()
	table.Services["other"] = Service{Name: "other", Engine: true}
	table.SetRoutes([]*Route{{Name: "renamed", Host: "a.example", Prefix: "/draft/", Kind: Stream, Resume: true, Timeout: 10 * time.Second,
		LatencyObjective: time.Second, MaxAttempts: 5, Split: []WeightedService{{service, 1}}}})
	s.gateway.SetTable(table)
}

// What began a stream is known under its route's new name, too.
func TestStreamIsTakenUpAfterItsRouteWasRenamed(t *testing.T) {
	for name, headers := range map[string][]string{
		"the client names the attempt": {"X-Resumes", "attempt-1"},
		"the client names none":        nil,
	} {
		t.Run(name, func(t *testing.T) {
			s := newTakenUpSite(t)
			s.begin(t)
			s.renameRoute("draft")
			status, _, text, _ := s.takeUp(t, "prompt", headers...)
			require.Equal(t, 200, status)
			require.Equal(t, wholeDraft(5), text)
			require.Empty(t, s.v2.seen())
		})
	}
}

// A route that was replaced by one of another name leads to another service all the same.
func TestStreamIsNotTakenUpAtTheServiceOfARenamedRoute(t *testing.T) {
	s := newTakenUpSite(t)
	s.begin(t, "X-Deadline", "60000")
	other := newFakeTarget(t, "i-3", "other", "north", draft(nil))
	s.tracker.Update(withVersions([]string{"v1", "v1"}, s.v1, other))
	defer uptime.Pretend(21 * time.Second)() // the only version of the other service is known for long
	s.renameRoute("other")
	status, code, _, _ := s.takeUp(t, "prompt", "X-Resumes", "attempt-1", "X-Deadline", "9000")
	require.Equal(t, 503, status)
	require.Equal(t, walnutramp.CodeVersionGone, code)
	require.Empty(t, other.seen())
}

// A stream that began at a node of an older build is known under its route's name.
func TestStreamOfAnOlderBuildIsTakenUp(t *testing.T) {
	s := newTakenUpSite(t)
	s.listOnly("v1", "v2")
	content := quarantine.FingerprintOf([]byte("prompt"), "", "a.example", "POST", "/draft/x")
	s.gateway.cfg.Origins.Put(origins.Record{
		Key: origins.KeyWithRoute("", "draft", uint64(content)), Attempt: origins.AttemptOf("", "attempt-1"),
		Origin: origins.Origin{Service: "draft", Software: "v1"}, TTL: time.Minute,
	})
	request := s.request(t, "POST", "/draft/x", "prompt", "X-Id", "attempt-2", "X-Last", "4", "X-Resumes", "attempt-1")
	r, text, err := do(t, request)
	require.NoError(t, err)
	require.Equal(t, 200, r.StatusCode)
	require.Equal(t, wholeDraft(5), text)
	require.Empty(t, s.v2.seen())
}
