package generation

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
)

// record is one generation at one node, replica or owner.
type record struct {
	id walnutramp.GenerationID

	mu       sync.Mutex
	state    State
	promised Epoch
	touched  time.Time
	owner    *Generation // set while this node owns it
}

type accountKey struct {
	account walnutramp.ClientAccount
	key     string
}

// Store holds the replicas of one node and answers for them.
type Store struct {
	self   Member
	retain time.Duration

	mu      sync.Mutex
	records map[walnutramp.GenerationID]*record
	byKey   map[accountKey]walnutramp.GenerationID
	handles map[Member]map[Handle]handled // by the owner's run that gave them
}

// handled is what a handle stands for.
type handled struct {
	rec   *record
	epoch Epoch
}

// NewStore returns an empty store for one run of a node. Records that nobody
// touched for the time retain are dropped.
func NewStore(self Member, retain time.Duration) *Store {
	return &Store{
		self:    self,
		retain:  retain,
		records: map[walnutramp.GenerationID]*record{},
		byKey:   map[accountKey]walnutramp.GenerationID{},
		handles: map[Member]map[Handle]handled{},
	}
}

func (s *Store) get(id walnutramp.GenerationID) *record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[id]
}

// getOrAdd returns the record of spec.ID, a fresh one if there is none.
func (s *Store) getOrAdd(spec Spec) *record {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[spec.ID]
	if r == nil {
		r = &record{id: spec.ID, touched: time.Now()}
		s.records[spec.ID] = r
	}
	if spec.Key != "" {
		s.byKey[accountKey{spec.Account, spec.Key}] = spec.ID
	}
	return r
}

// owned returns the generations that this node owns.
func (s *Store) owned() []*Generation {
	s.mu.Lock()
	records := make([]*record, 0, len(s.records))
	for _, r := range s.records {
		records = append(records, r)
	}
	s.mu.Unlock()
	var gens []*Generation
	for _, r := range records {
		r.mu.Lock()
		if r.owner != nil {
			gens = append(gens, r.owner)
		}
		r.mu.Unlock()
	}
	return gens
}

// Len returns how many generations the node holds.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records)
}

// Sweep drops records that nobody touched for the retention time.
func (s *Store) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.records {
		if !r.expired(now, s.retain) {
			continue
		}
		delete(s.records, id)
		k := accountKey{r.state.Spec.Account, r.state.Spec.Key}
		if s.byKey[k] == id {
			delete(s.byKey, k)
		}
	}
	for owner, handles := range s.handles {
		maps.DeleteFunc(handles, func(_ Handle, h handled) bool {
			return s.records[h.rec.id] != h.rec || h.rec.passed(h.epoch)
		})
		if len(handles) == 0 {
			delete(s.handles, owner)
		}
	}
}

// passed reports whether the record has gone beyond an epoch.
func (r *record) passed(e Epoch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Epoch != e
}

func (r *record) expired(now time.Time, retain time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owner != nil && r.owner.busy() {
		return false
	}
	if r.state.Final != nil && r.state.Spec.Key == "" {
		retain /= finishedShare
	}
	return now.Sub(r.touched) > retain
}

// finishedShare divides the retention of finished generations without a key:
// their callers may reconnect for a moment yet, and nobody asks again later.
const finishedShare = 4

// Replicate implements the RPC that owners append with.
func (s *Store) Replicate(args ReplicateArgs, reply *ReplicateReply) error {
	reply.Acks = make([]Ack, len(args.Appends))
	for i := range args.Appends {
		if args.To != s.self.Incarnation {
			reply.Acks[i].Code = walnutramp.CodeWrongIncarnation
			continue
		}
		reply.Acks[i] = s.apply(args.From, &args.Appends[i])
	}
	if !args.Plain.whole() {
		return errors.New("appends do not fit each other")
	}
	plain := args.Plain.appends()
	reply.Plain = make([]int64, len(plain))
	for i := range plain {
		if args.To != s.self.Incarnation {
			reply.Plain[i] = -int64(walnutramp.CodeWrongIncarnation)
			continue
		}
		reply.Plain[i] = s.apply(args.From, &plain[i]).plain()
	}
	return nil
}

// plain is the answer to a plain append.
func (a Ack) plain() int64 {
	if a.Code != walnutramp.CodeOK {
		return -int64(a.Code)
	}
	return int64(a.Held)
}

func (s *Store) apply(owner Member, a *Append) Ack {
	h, ok := s.resolve(owner, a)
	if !ok {
		return Ack{Code: walnutramp.CodeNotHeld}
	}
	h.rec.mu.Lock()
	defer h.rec.mu.Unlock()
	return h.rec.apply(h.epoch, a)
}

// resolve finds what an append's handle stands for; an opening defines it.
func (s *Store) resolve(owner Member, a *Append) (handled, bool) {
	if a.Open == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		h, ok := s.handles[owner][a.Handle]
		return h, ok
	}
	h := handled{rec: s.getOrAdd(a.Open.Spec), epoch: a.Open.Epoch}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handles[owner] == nil {
		s.handles[owner] = map[Handle]handled{}
	}
	s.handles[owner][a.Handle] = h
	return h, true
}

func (r *record) apply(epoch Epoch, a *Append) Ack {
	if epoch.Less(r.promised) {
		return Ack{Code: walnutramp.CodeStaleEpoch}
	}
	if epoch != r.state.Epoch {
		if a.Open == nil {
			return Ack{Code: walnutramp.CodeNotHeld}
		}
		r.open(a.Open)
	}
	r.touched = time.Now()
	r.extend(a)
	return Ack{
		Code:      walnutramp.CodeOK,
		Held:      walnutramp.Offset(len(r.state.Tokens)),
		Prompt:    r.state.PromptTokens != nil,
		SourceSeq: r.state.Source.Seq,
		Final:     r.state.Final != nil,
	}
}

// open starts an epoch; what the record held before is replaced whole.
func (r *record) open(o *Opening) {
	r.promised = o.Epoch
	if r.owner != nil && r.owner.epoch != o.Epoch {
		r.owner.deposed()
	}
	r.state = State{Spec: o.Spec, Epoch: o.Epoch, Members: slices.Clone(o.Members)}
}

func (r *record) extend(a *Append) {
	have := walnutramp.Offset(len(r.state.Tokens))
	if a.From <= have && a.From+walnutramp.Offset(len(a.Tokens)) > have {
		r.state.Tokens = append(r.state.Tokens, a.Tokens[have-a.From:]...)
	}
	if a.PromptTokens != nil {
		r.state.PromptTokens = a.PromptTokens
	}
	if a.Source != nil && a.Source.Seq > r.state.Source.Seq {
		r.state.Source = *a.Source
	}
	whole := walnutramp.Offset(len(r.state.Tokens)) >= a.From+walnutramp.Offset(len(a.Tokens))
	if a.Final != nil && whole {
		r.state.Final = a.Final
	}
}

// Prepare implements the RPC that candidates ask promises with.
func (s *Store) Prepare(args PrepareArgs, reply *PrepareReply) error {
	if args.To != s.self.Incarnation {
		reply.Code = walnutramp.CodeWrongIncarnation
		return nil
	}
	r := s.get(args.ID)
	if r == nil {
		reply.Code = walnutramp.CodeNotHeld
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prepare(args.Epoch, reply)
	return nil
}

func (r *record) prepare(epoch Epoch, reply *PrepareReply) {
	reply.Promised = r.promised
	if !r.opened() {
		reply.Code = walnutramp.CodeNotHeld
		return
	}
	if epoch.Less(r.promised) {
		reply.Code = walnutramp.CodeStaleEpoch
		return
	}
	r.promised = epoch
	r.touched = time.Now()
	if r.owner != nil && r.owner.epoch.Less(epoch) && epoch.Node != r.owner.epoch.Node {
		r.owner.deposed()
	}
	reply.Code = walnutramp.CodeOK
	reply.Promised = epoch
	reply.Epoch = r.state.Epoch
	reply.Members = slices.Clone(r.state.Members)
	reply.Tokens = len(r.state.Tokens)
	reply.Source = r.state.Source.Seq
	reply.Prompt = r.state.PromptTokens != nil
	reply.Final = r.state.Final != nil
}

// Fetch implements the RPC that a candidate reads a promised state with. As
// long as the promise is the newest, the state can't have changed since.
func (s *Store) Fetch(args FetchArgs, reply *FetchReply) error {
	r := s.get(args.ID)
	if r == nil || args.To != s.self.Incarnation {
		reply.Code = walnutramp.CodeNotHeld
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.promised != args.Epoch {
		reply.Code = walnutramp.CodeStaleEpoch
		return nil
	}
	reply.Code = walnutramp.CodeOK
	reply.State = r.copyState()
	return nil
}

// opened reports whether the record has been given a state yet.
func (r *record) opened() bool { return r.state.Epoch != Epoch{} }

// copyState returns the state so that later appends don't show in it.
func (r *record) copyState() State {
	st := r.state
	st.Tokens = slices.Clone(st.Tokens)
	return st
}

// Find implements the RPC that looks for a generation.
func (s *Store) Find(args FindArgs, reply *FindReply) error {
	id := args.ID
	if args.Key != "" {
		s.mu.Lock()
		id = s.byKey[accountKey{args.Account, args.Key}]
		s.mu.Unlock()
	}
	r := s.get(id)
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.opened() {
		return nil
	}
	reply.Held = true
	reply.ID = id
	reply.Epoch = r.state.Epoch
	reply.Members = slices.Clone(r.state.Members)
	reply.BodyDigest = r.state.Spec.BodyDigest
	return nil
}
