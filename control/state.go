// Package control implements the control group: the replicated state that holds the
// bundle in force, its history, and the ledger of requests that must not run twice.
// It serves both to every node, with a lease on the newest bundle.
package control

import (
	"slices"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/duty"
	"github.com/walnutramp/walnutramp/fleet"
	"github.com/walnutramp/walnutramp/internal/pack"
	"github.com/walnutramp/walnutramp/quota"
	"github.com/walnutramp/walnutramp/rollout"
	"k8s.io/klog/v2"
)

// Command is one change of the state; exactly one of its pointers is set.
type Command struct {
	Now    int64   `msgpack:"n"` // the leader's clock in Unix milliseconds
	Submit *Submit `msgpack:"s,omitempty"`
	Claim  *Claim  `msgpack:"c,omitempty"`
	Settle *Settle `msgpack:"t,omitempty"`

	Known   *KnownVersions `msgpack:"v,omitempty"`
	Rollout *RolloutOrder  `msgpack:"r,omitempty"`
	Step    *RolloutStep   `msgpack:"p,omitempty"`

	Fleet   *FleetOrders  `msgpack:"f,omitempty"`
	Grant   *duty.Grant   `msgpack:"g,omitempty"`
	Release *duty.Release `msgpack:"l,omitempty"`

	Close *CloseWindow `msgpack:"w,omitempty"`

	Sharers *quota.Set `msgpack:"q,omitempty"`
}

// Submit submits a validated document.
type Submit struct {
	Version  uint64
	Digest   string
	Operator string
	Packed   []byte // the compressed document
	Doc      []byte // the uncompressed document, in logs of older builds
}

// newSubmit returns the submission of a validated document. It is compressed so
// that the leader can replicate a large one within a heartbeat.
func newSubmit(version uint64, operator string, doc []byte) Submit {
	return Submit{Version: version, Digest: bundle.Digest(doc), Operator: operator, Packed: pack.Compress(doc)}
}

// document returns the uncompressed document.
func (c *Submit) document() ([]byte, error) {
	if c.Packed == nil {
		return c.Doc, nil
	}
	return pack.Expand(c.Packed, maxDocument)
}

// Result is the result of a command.
type Result struct {
	Code    walnutramp.Code
	Version uint64 // of the bundle in force, or of the winner of a conflict
	Winner  string // operator that submitted that bundle
	Digest  string
	Entry   Entry // of the ledger
	Mine    bool  // the requester holds the claim
	Rollout rollout.Record
}

// Accepted is one accepted bundle.
type Accepted struct {
	Version  uint64
	Digest   string
	Operator string
	At       int64 // Unix milliseconds
}

// Bounds of the retained state.
const (
	maxHistory = 1000
	maxDeltas  = 32
	// RetainMillis is how long a settled ledger entry is kept. A duplicate of a request
	// may run again after that time, so callers must not retry later.
	RetainMillis  = 24 * 60 * 60 * 1000
	sweepInterval = 1024 // commands
)

// Rule determines which submitted versions are accepted.
type Rule int

// Rules of acceptance.
const (
	// AcceptNext accepts only the version that follows the newest. Others are
	// conflicts, except an accepted document that is resubmitted.
	AcceptNext Rule = iota
	// AcceptHighest accepts any version above the newest. Others are acknowledged
	// without effect.
	AcceptHighest
)

// StateOption configures a State. All members of a group need the same options.
type StateOption func(*State)

// WithRule sets which versions are accepted.
func WithRule(r Rule) StateOption { return func(s *State) { s.rule = r } }

// State is the replicated state. It implements consensus.StateMachine.
type State struct {
	rule Rule

	mu      sync.Mutex
	doc     []byte
	history []Accepted
	deltas  []bundle.Delta // newest last
	ledger  map[ledgerKey]Entry
	changed chan struct{} // closed when a bundle is accepted or the view of versions changes

	rollouts rollouts
	fleet    []fleet.Record // by service
	windows  windows
	duty     duty.Record
	sharers  quota.Set // entry nodes that share the retry budget
	// sharersRevision changes with sharers.
	sharersRevision uint64
}

// NewState returns the state of a new group, before its first bundle.
func NewState(opts ...StateOption) *State {
	s := &State{ledger: map[ledgerKey]Entry{}, changed: make(chan struct{}), history: []Accepted{{Operator: "nobody"}}}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Apply implements consensus.StateMachine. A command that can't be decoded changes
// nothing.
func (s *State) Apply(index uint64, command []byte) []byte {
	var c Command
	if err := msgpack.Unmarshal(command, &c); err != nil {
		return encode(Result{Code: walnutramp.CodeInternal})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if index%sweepInterval == 0 {
		s.purgeLedger(c.Now)
	}
	switch {
	case c.Submit != nil:
		return encode(s.submit(c.Submit, c.Now))
	case c.Claim != nil:
		return encode(s.claim(c.Claim, c.Now))
	case c.Settle != nil:
		return encode(s.settle(c.Settle, c.Now))
	case c.Fleet != nil:
		return encode(s.applyFleetOrders(c.Fleet))
	case c.Close != nil:
		return encode(s.windows.close(c.Close))
	case c.Sharers != nil:
		s.sharers = *c.Sharers
		s.sharersRevision++
		return encode(Result{Code: walnutramp.CodeOK})
	case c.Grant != nil, c.Release != nil:
		return encode(s.applyDuty(index, &c))
	}
	return encode(s.applyRollout(index, &c))
}

// applyRollout applies a command on the versions of services.
func (s *State) applyRollout(index uint64, c *Command) Result {
	previous := s.rollouts.view.Revision
	result := Result{Code: walnutramp.CodeInternal}
	switch {
	case c.Known != nil:
		result = s.rollouts.addKnown(c.Known)
	case c.Rollout != nil:
		result = s.rollouts.start(index, c.Rollout, c.Now)
	case c.Step != nil:
		result = s.rollouts.advance(c.Step, c.Now)
	}
	if s.rollouts.view.Revision != previous {
		s.notify()
	}
	return result
}

// notify wakes the requests that wait for a change. The caller holds the mutex.
func (s *State) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(err) // these types always encode
	}
	return b
}

func (s *State) newest() Accepted { return s.history[len(s.history)-1] }

// submit accepts a version according to the rule. Under AcceptNext, resubmitting an
// accepted document returns its original result; a different document with an accepted
// version is a conflict.
func (s *State) submit(c *Submit, now int64) Result {
	if s.rule == AcceptHighest {
		return s.submitHighest(c, now)
	}
	if a, ok := s.findAccepted(c.Version); ok {
		r := Result{Code: walnutramp.CodeOK, Version: a.Version, Winner: a.Operator, Digest: a.Digest}
		if a.Digest != c.Digest {
			r.Code = walnutramp.CodeBundleConflict
		}
		return r
	}
	last := s.newest()
	if c.Version != last.Version+1 {
		return Result{Code: walnutramp.CodeBundleConflict, Version: last.Version, Winner: last.Operator, Digest: last.Digest}
	}
	return s.accept(c, now)
}

// submitHighest accepts any version above the newest.
func (s *State) submitHighest(c *Submit, now int64) Result {
	if last := s.newest(); c.Version <= last.Version {
		return Result{Code: walnutramp.CodeOK, Version: last.Version, Winner: last.Operator, Digest: last.Digest}
	}
	return s.accept(c, now)
}

// accept puts a document in force.
func (s *State) accept(c *Submit, now int64) Result {
	doc, err := c.document()
	if err != nil {
		klog.ErrorS(err, "Failed to expand document", "version", c.Version)
		return Result{Code: walnutramp.CodeBundleInvalid, Version: s.newest().Version}
	}
	s.deltas = append(s.deltas, bundle.NewDelta(s.newest().Version, s.doc, c.Version, doc))
	s.doc = doc
	s.pruneDeltas()
	s.history = append(s.history, Accepted{Version: c.Version, Digest: c.Digest, Operator: c.Operator, At: now})
	s.history = s.history[max(0, len(s.history)-maxHistory):]
	s.notify()
	return Result{Code: walnutramp.CodeOK, Version: c.Version, Winner: c.Operator, Digest: c.Digest}
}

// pruneDeltas drops deltas that are never sent: if the deltas since a version are
// longer than the document, the document is sent instead. This also keeps snapshots
// small. The caller holds the mutex.
func (s *State) pruneDeltas() {
	size, first := 0, len(s.deltas)
	for first > max(0, len(s.deltas)-maxDeltas) {
		size += s.deltas[first-1].Size()
		if size > len(s.doc) {
			break
		}
		first--
	}
	s.deltas = slices.Clone(s.deltas[first:])
}

// findAccepted returns the accepted bundle of a version; false if there is none or it is
// no longer retained. It requires that versions have no gaps.
func (s *State) findAccepted(version uint64) (Accepted, bool) {
	first := s.history[0].Version
	if version < first || version > s.newest().Version {
		return Accepted{}, false
	}
	return s.history[version-first], true
}

// stateImage is the encoding of the state in a snapshot.
type stateImage struct {
	Doc     []byte
	History []Accepted
	Deltas  []bundle.Delta
	Keys    []ledgerKey
	Entries []Entry

	Versions rollout.View
	Fleet    []fleet.Record
	Windows  *windows // nil before metering has begun
	Duty     duty.Record
	Sharing  quota.Set
}

// Snapshot implements consensus.StateMachine.
func (s *State) Snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	img := stateImage{
		Doc: s.doc, History: s.history, Deltas: s.deltas, Versions: s.rollouts.copyView(), Fleet: s.fleet, Duty: s.duty,
		Windows: s.windows.image(), Sharing: s.sharers,
	}
	for i, rec := range img.Versions.Records {
		img.Versions.Records[i].Elapsed = s.rollouts.elapsed(rec)
	}
	for k, e := range s.ledger {
		img.Keys = append(img.Keys, k)
		img.Entries = append(img.Entries, e)
	}
	return encode(img)
}

// Restore implements consensus.StateMachine.
func (s *State) Restore(snapshot []byte) error {
	var img stateImage
	if err := msgpack.Unmarshal(snapshot, &img); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doc, s.history, s.deltas = img.Doc, img.History, img.Deltas
	s.ledger = make(map[ledgerKey]Entry, len(img.Keys))
	for i, k := range img.Keys {
		s.ledger[k] = img.Entries[i]
	}
	s.restoreRollouts(img.Versions)
	s.fleet = img.Fleet
	s.windows = windows{}
	if img.Windows != nil {
		s.windows = *img.Windows
	}
	s.duty = img.Duty
	s.sharers = img.Sharing
	s.sharersRevision++
	s.notify()
	return nil
}

// documentSizes returns the sizes in bytes of the newest document and of the newest
// delta.
func (s *State) documentSizes() (doc, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.deltas) > 0 {
		change = s.deltas[len(s.deltas)-1].Size()
	}
	return len(s.doc), change
}

// updateSince returns what turns a version into the newest: deltas if they are
// kept, else the whole document. changed is closed on the next change.
func (s *State) updateSince(version uint64) (newest Accepted, deltas []bundle.Delta, doc []byte, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest = s.newest()
	if version >= newest.Version {
		return newest, nil, nil, s.changed
	}
	if deltas := s.deltasFrom(version); deltas != nil {
		return newest, deltas, nil, s.changed
	}
	return newest, nil, s.doc, s.changed
}

// deltasFrom returns the deltas from a version to the newest, or nil if they are
// not kept or not shorter than the document. The caller holds the mutex.
func (s *State) deltasFrom(version uint64) []bundle.Delta {
	if version == 0 {
		return nil
	}
	size := 0
	for i := len(s.deltas) - 1; i >= 0; i-- {
		size += s.deltas[i].Size()
		if size > len(s.doc) {
			return nil
		}
		if s.deltas[i].From == version {
			return slices.Clone(s.deltas[i:])
		}
	}
	return nil
}

// History returns the newest accepted bundles, at most maxHistory, oldest first. Until
// that many were accepted, the first has version 0 and stands for none.
func (s *State) History() []Accepted {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Accepted(nil), s.history...)
}

// hasDocument reports whether any document has been accepted.
func (s *State) hasDocument() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest().Version > 0
}

// newestDocument returns the newest document and its version, 0 before the first.
func (s *State) newestDocument() (version uint64, doc []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest().Version, s.doc
}
