// Package control is what the control group agrees on: the bundle in force
// with its history, and the ledger of requests that may not be repeated. It
// serves both to every node, with a lease on the newest bundle.
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
	Now    int64   `msgpack:"n"` // the leader's clock in unix milliseconds
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

// Submit offers a bundle that was signed and checked.
type Submit struct {
	Version  uint64
	Digest   string
	Operator string
	Packed   []byte // the document, compressed
	Doc      []byte // as it is, in logs that were written before it was compressed
}

// newSubmit returns the offer of a checked document. The log carries documents
// compressed, one of 1,400 routes to a thirteenth, so that a large one passes
// the leader's link to all members within a heartbeat.
func newSubmit(version uint64, operator string, doc []byte) Submit {
	return Submit{Version: version, Digest: bundle.Digest(doc), Operator: operator, Packed: pack.Compress(doc)}
}

// document returns the document that is offered.
func (c *Submit) document() ([]byte, error) {
	if c.Packed == nil {
		return c.Doc, nil
	}
	return pack.Expand(c.Packed, maxDocument)
}

// Result answers a command.
type Result struct {
	Code    walnutramp.Code
	Version uint64 // of the bundle in force, or of the winner of a conflict
	Winner  string // who submitted it
	Digest  string
	Entry   Entry // of the ledger
	Mine    bool  // the claim is the asker's own
	Rollout rollout.Record
}

// Accepted is one bundle of the history.
type Accepted struct {
	Version  uint64
	Digest   string
	Operator string
	At       int64 // unix milliseconds
}

// Bounds of what is kept.
const (
	keepHistory = 1000
	keepDeltas  = 32
	// RetainMillis is how long a settled entry of the ledger is kept. A copy
	// of a request that is older may run again, so callers must not send one
	// later than this.
	RetainMillis = 24 * 60 * 60 * 1000
	sweepEvery   = 1024 // commands
)

// Rule says which offered version is accepted.
type Rule int

// The rules.
const (
	// AcceptNext accepts only the version behind the newest.
	AcceptNext Rule = iota
	// AcceptHighest accepts any version above the newest. One that is not
	// above it is acknowledged and changes nothing.
	AcceptHighest
)

// StateOption sets how a State works; all members of a group need the same.
type StateOption func(*State)

// WithRule sets which versions are accepted.
func WithRule(r Rule) StateOption { return func(s *State) { s.rule = r } }

// State is the replicated state; it implements consensus.StateMachine.
type State struct {
	rule Rule

	mu      sync.Mutex
	doc     []byte
	history []Accepted
	deltas  []bundle.Delta // newest last
	ledger  map[ledgerKey]Entry
	changed chan struct{} // closed when a bundle is accepted, or the view of versions changes

	rollouts rollouts
	fleet    []fleet.Record // by service
	windows  windows
	duty     duty.Record
	sharing  quota.Set // entries that share the bound on repeats
}

// NewState returns the state of a new group, before its first bundle.
func NewState(opts ...StateOption) *State {
	s := &State{ledger: map[ledgerKey]Entry{}, changed: make(chan struct{}), history: []Accepted{{Operator: "nobody"}}}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Apply implements consensus.StateMachine.
func (s *State) Apply(index uint64, command []byte) []byte {
	var c Command
	if err := msgpack.Unmarshal(command, &c); err != nil {
		return encode(Result{Code: walnutramp.CodeInternal})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if index%sweepEvery == 0 {
		s.sweep(c.Now)
	}
	switch {
	case c.Submit != nil:
		return encode(s.submit(c.Submit, c.Now))
	case c.Claim != nil:
		return encode(s.claim(c.Claim, c.Now))
	case c.Settle != nil:
		return encode(s.settle(c.Settle, c.Now))
	case c.Fleet != nil:
		return encode(s.orderFleet(c.Fleet))
	case c.Close != nil:
		return encode(s.windows.close(c.Close))
	case c.Sharers != nil:
		s.sharing = *c.Sharers
		return encode(Result{Code: walnutramp.CodeOK})
	case c.Grant != nil, c.Release != nil:
		return encode(s.applyDuty(index, &c))
	}
	return encode(s.applyRollout(index, &c))
}

// applyRollout applies a command about the versions of services.
func (s *State) applyRollout(index uint64, c *Command) Result {
	before := s.rollouts.view.Revision
	result := Result{Code: walnutramp.CodeInternal}
	switch {
	case c.Known != nil:
		result = s.rollouts.know(c.Known)
	case c.Rollout != nil:
		result = s.rollouts.order(index, c.Rollout, c.Now)
	case c.Step != nil:
		result = s.rollouts.step(c.Step, c.Now)
	}
	if s.rollouts.view.Revision != before {
		s.wake()
	}
	return result
}

// wake tells those who wait for a change. The caller holds the mutex.
func (s *State) wake() {
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

// submit accepts the next version. The same document again gets its first
// answer, however late; another under a taken version learns who won.
func (s *State) submit(c *Submit, now int64) Result {
	if s.rule == AcceptHighest {
		return s.submitHighest(c, now)
	}
	if a, ok := s.accepted(c.Version); ok {
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

// submitHighest accepts a version above the newest.
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
		klog.ErrorS(err, "Document not accepted", "version", c.Version)
		return Result{Code: walnutramp.CodeBundleInvalid, Version: s.newest().Version}
	}
	s.deltas = append(s.deltas, bundle.NewDelta(s.newest().Version, s.doc, c.Version, doc))
	s.doc = doc
	s.forgetDeltas()
	s.history = append(s.history, Accepted{Version: c.Version, Digest: c.Digest, Operator: c.Operator, At: now})
	s.history = s.history[max(0, len(s.history)-keepHistory):]
	s.wake()
	return Result{Code: walnutramp.CodeOK, Version: c.Version, Winner: c.Operator, Digest: c.Digest}
}

// forgetDeltas forgets those that no node is sent: where the deltas from a
// version on are longer than the document, it gets the document. They are in
// each snapshot, too. The caller holds the mutex.
func (s *State) forgetDeltas() {
	size, first := 0, len(s.deltas)
	for first > max(0, len(s.deltas)-keepDeltas) {
		size += s.deltas[first-1].Size()
		if size > len(s.doc) {
			break
		}
		first--
	}
	s.deltas = slices.Clone(s.deltas[first:])
}

func (s *State) accepted(version uint64) (Accepted, bool) {
	first := s.history[0].Version
	if version < first || version > s.newest().Version {
		return Accepted{}, false
	}
	return s.history[version-first], true
}

// stateImage is the state as a snapshot holds it.
type stateImage struct {
	Doc     []byte
	History []Accepted
	Deltas  []bundle.Delta
	Keys    []ledgerKey
	Entries []Entry

	Versions rollout.View
	Fleet    []fleet.Record
	Windows  *windows // nil where metering has not begun
	Duty     duty.Record
	Sharing  quota.Set
}

// Snapshot implements consensus.StateMachine.
func (s *State) Snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	img := stateImage{
		Doc: s.doc, History: s.history, Deltas: s.deltas, Versions: s.rollouts.copyView(), Fleet: s.fleet, Duty: s.duty,
		Windows: s.windows.image(), Sharing: s.sharing,
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
	s.sharing = img.Sharing
	s.wake()
	return nil
}

// sizes returns how many bytes the newest document has, and what last changed it.
func (s *State) sizes() (doc, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.deltas) > 0 {
		change = s.deltas[len(s.deltas)-1].Size()
	}
	return len(s.doc), change
}

// since returns what leads from a version to the newest: deltas where they
// are kept, else the whole document.
func (s *State) since(version uint64) (newest Accepted, deltas []bundle.Delta, doc []byte, changed <-chan struct{}) {
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

// deltasFrom returns the deltas that lead from a version to the newest, or nil
// where they are not kept or are no shorter than the document. The caller holds
// the mutex.
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

// History returns the accepted bundles, oldest first.
func (s *State) History() []Accepted {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Accepted(nil), s.history...)
}

// inForce reports whether there has been a document.
func (s *State) inForce() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest().Version > 0
}

// newestDocument returns the newest document and its version, 0 before the
// first.
func (s *State) newestDocument() (version uint64, doc []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest().Version, s.doc
}
