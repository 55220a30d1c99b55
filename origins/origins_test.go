package origins

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// fixedVersions are the versions of every service.
type fixedVersions View

func (v fixedVersions) VersionsWithin(string, time.Duration) ([]string, time.Duration) {
	return v.Versions, v.Covered
}

// fixedNetwork answers each question with the same answers.
type fixedNetwork struct {
	answers   []Answer
	asked     int
	confirms  []bool
	confirmed bool
}

func (n *fixedNetwork) Store(_ context.Context, _ Record, confirm bool) bool {
	n.confirms = append(n.confirms, confirm)
	return n.confirmed
}

func (n *fixedNetwork) Find(context.Context, Question, func(*Poll) bool) Poll {
	return Poll{Answers: n.answers, Asked: n.asked, Keeper: true}
}

const (
	window = 50 * time.Second
	first  = Attempt(1)
	second = Attempt(2)
)

var (
	key    = KeyOf("a", 7)
	v1, v2 = Origin{"s", "v1"}, Origin{"s", "v2"}
)

func record(a Attempt, o Origin) Record {
	return Record{Key: key, Attempt: a, Origin: o, TTL: time.Minute}
}

func TestFind(t *testing.T) {
	seen := func(covered time.Duration, versions ...string) View { return View{versions, covered} }
	known := func(o Origin) Answer { return Answer{Known: true, Origin: o} }
	unknown := func(v View) Answer { return Answer{View: v} }
	long, short := 2*window, window/2
	for name, c := range map[string]struct {
		own     []Record
		view    View
		answers []Answer
		asked   int
		attempt Attempt
		lost    bool // this node has just lost its records
		want    Origin
		source  Source
	}{
		"own record":                           {own: []Record{record(first, v1)}, attempt: first, want: v1, source: FromOwnRecord},
		"own records, others may be lost":      {own: []Record{record(first, v1)}, view: seen(long, "v1", "v2"), lost: true, source: LostRecords},
		"own records, nothing lost":            {own: []Record{record(first, v1)}, view: seen(long, "v1", "v2"), want: v1, source: FromOwnRecord},
		"own records, lost, named":             {own: []Record{record(first, v1)}, lost: true, attempt: first, want: v1, source: FromOwnRecord},
		"own records, lost, one version":       {own: []Record{record(first, v1)}, view: seen(long, "v1"), lost: true, want: v1, source: FromOwnRecord},
		"own records, lost, short history":     {own: []Record{record(first, v1)}, view: seen(short, "v1"), lost: true, source: LostRecords},
		"records of a disk, others lost":       {own: []Record{{Key: key, Attempt: first, Origin: v1, TTL: time.Minute, Restored: true}}, lost: true, want: v1, source: FromOwnRecord},
		"a peer's, others may be lost":         {answers: []Answer{known(v1), {Known: true, Origin: v1, Keeper: true}, {Kept: true}}, asked: 3, lost: true, source: LostRecords},
		"a peer's, a keeper has lost none":     {answers: []Answer{known(v1), {Kept: true, Keeper: true}}, asked: 2, lost: true, want: v1, source: FromPeerRecord},
		"own record of another attempt":        {own: []Record{record(second, v1)}, view: seen(short, "v1"), attempt: first, source: ShortHistory},
		"own records that agree, none named":   {own: []Record{record(first, v1), record(second, v1)}, want: v1, source: FromOwnRecord},
		"own records that differ, none named":  {own: []Record{record(first, v1), record(second, v2)}, source: ConflictingRecords},
		"two origins of one attempt":           {own: []Record{record(first, v1), record(first, v2)}, attempt: first, source: ConflictingRecords},
		"a peer's record":                      {view: seen(long, "v2"), answers: []Answer{unknown(seen(long, "v2")), known(v1)}, asked: 2, attempt: first, want: v1, source: FromPeerRecord},
		"own and a peer's differ, none named":  {own: []Record{record(first, v1)}, answers: []Answer{known(v2)}, asked: 1, source: ConflictingRecords},
		"two peers' differ":                    {answers: []Answer{known(v1), known(v2)}, asked: 2, source: ConflictingRecords},
		"a peer's records conflict":            {answers: []Answer{known(v1), {Conflict: true}}, asked: 2, source: ConflictingRecords},
		"no record, one version":               {view: seen(short, "v1"), answers: []Answer{unknown(seen(long, "v1")), unknown(seen(short, "v1"))}, asked: 7, attempt: first, want: v1, source: FromOnlyVersion},
		"no record, a peer has seen another":   {view: seen(long, "v1"), answers: []Answer{unknown(seen(short, "v1", "v2")), unknown(seen(long, "v1"))}, asked: 7, attempt: first, source: SeveralVersions},
		"no record, this node has seen two":    {view: seen(long, "v1", "v2"), answers: []Answer{unknown(seen(long, "v1")), unknown(seen(long, "v1"))}, asked: 7, source: SeveralVersions},
		"no record, nobody has seen any":       {answers: []Answer{unknown(View{}), unknown(View{})}, asked: 7, source: SeveralVersions},
		"no record, nobody knows for so long":  {view: seen(short, "v1"), answers: []Answer{unknown(seen(short, "v1")), unknown(seen(short, "v1"))}, asked: 7, source: ShortHistory},
		"no record, one of seven answers":      {view: seen(long, "v1"), answers: []Answer{unknown(seen(long, "v1"))}, asked: 7, source: NoAnswers},
		"no record, the only peer answers":     {view: seen(long, "v1"), answers: []Answer{unknown(seen(short, "v1"))}, asked: 1, want: v1, source: FromOnlyVersion},
		"no record, the only peer is silent":   {view: seen(long, "v1"), asked: 1, source: NoAnswers},
		"no record, a node without peers":      {view: seen(long, "v1"), want: v1, source: FromOnlyVersion},
		"an unnamed version is one of its own": {view: seen(long, "", "v1"), source: SeveralVersions},
		"no version is named at all":           {view: seen(long, ""), want: Origin{"s", ""}, source: FromOnlyVersion},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(fixedVersions(c.view))
			r.SetNetwork(&fixedNetwork{answers: c.answers, asked: c.asked})
			if !c.lost {
				r.Inherit(uptime.Now().Add(-2 * window))
			}
			for _, rec := range c.own {
				r.Put(rec)
			}
			got, source, ok := r.Find(t.Context(), Question{Key: key, Attempt: c.attempt, Service: "s", Window: window})
			require.Equal(t, c.source, source)
			require.Equal(t, c.want, got)
			require.Equal(t, c.want != Origin{}, ok)
		})
	}
}

func TestStreamOfSeveralServicesIsNotGuessed(t *testing.T) {
	r := New(fixedVersions{Versions: []string{"v1"}, Covered: 2 * window})
	_, source, ok := r.Find(t.Context(), Question{Key: key, Window: window})
	require.False(t, ok)
	require.Equal(t, SeveralServices, source)
}

func TestRecordsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(fixedVersions{})
		r.Put(record(first, v1))
		time.Sleep(40 * time.Second)
		r.Put(record(first, v1)) // renewed
		r.Put(record(second, v2))
		time.Sleep(40 * time.Second)
		_, known := r.lookUp(Question{Key: key, Attempt: first})
		require.True(t, known)
		require.Len(t, r.Records(func(Key) bool { return true }), 2)
		time.Sleep(20 * time.Second)
		_, known = r.lookUp(Question{Key: key, Attempt: first})
		require.False(t, known)
		r.Put(Record{Key: KeyOf("a", 8), Origin: v1, TTL: time.Second})
		records, dropped := r.Counts()
		require.Equal(t, 1, records)
		require.Zero(t, dropped)
	})
}

// A keeper that has left may have been the only one that had lost nothing.
func TestPollIsCompleteWithMoreKeepersThanLeft(t *testing.T) {
	keeper := Answer{Kept: true, Keeper: true}
	p := Poll{Answers: []Answer{keeper, keeper, {Kept: true}, {Keeper: true}}, Left: 2}
	require.False(t, p.Complete(true))
	p.Left = 1
	require.True(t, p.Complete(false))
	p.Left, p.Keeper = 2, true
	require.True(t, p.Complete(true))
	require.False(t, p.Complete(false))
}

// A record that is dropped for room is lost like any other.
func TestDroppedRecordsAreLost(t *testing.T) {
	r := New(fixedVersions{})
	r.Inherit(uptime.Now().Add(-2 * window))
	for i := range uint64(maxRecords) {
		r.Put(Record{Key: KeyOf("a", i), Attempt: first, Origin: v1, TTL: time.Minute})
	}
	require.True(t, r.kept(window))
	r.Put(Record{Key: KeyOf("b", 1), Attempt: first, Origin: v1, TTL: time.Minute})
	require.False(t, r.kept(window))
}

// At its bound a node must drop the oldest records, and grow no further.
func TestRecordsAreBounded(t *testing.T) {
	r := New(fixedVersions{})
	for i := range uint64(maxRecords + 10) {
		r.Put(Record{Key: KeyOf("a", i), Attempt: first, Origin: v1, TTL: time.Minute})
	}
	records, dropped := r.Counts()
	require.Equal(t, maxRecords, records)
	require.EqualValues(t, 10, dropped)
	_, known := r.lookUp(Question{Key: KeyOf("a", 9)})
	require.False(t, known)
	_, known = r.lookUp(Question{Key: KeyOf("a", 10)})
	require.True(t, known)
}

// Only while several versions are listed may a first event wait for other nodes.
func TestRememberWaitsWhileSeveralVersionsAreListed(t *testing.T) {
	for versions, waits := range map[int]bool{1: false, 2: true} {
		n := &fixedNetwork{confirmed: true}
		r := New(fixedVersions{Versions: []string{"v1", "v2"}[:versions], Covered: window})
		r.SetNetwork(n)
		require.True(t, r.Remember(t.Context(), record(first, v1), window))
		require.Equal(t, []bool{waits}, n.confirms)
	}
}

// Two texts of a key must not be taken for others with the same characters.
func TestKeysTellTheirPartsApart(t *testing.T) {
	require.NotEqual(t, KeyWithRoute("ab", "c", 1), KeyWithRoute("a", "bc", 1))
	require.NotEqual(t, KeyOf("a", 0xb1), KeyOf("ab", 1))
	require.NotEqual(t, AttemptOf("ab", "c"), AttemptOf("a", "bc"))
	require.Zero(t, AttemptOf("a", ""))
}
