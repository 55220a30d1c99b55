package generation

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
)

// record is the state of one generation at one node, replica or owner.
type record struct {
	id walnutramp.GenerationID

	mu       sync.Mutex
	state    State
	promised Epoch // newest epoch that this node has promised or accepted
	lastUsed time.Time
	owner    *Generation // set while this node owns it
}

type accountKey struct {
	account walnutramp.ClientAccount
	key     string
}

// Store holds the records of one node, of replicas and of owned generations, and serves
// them to peers.
type Store struct {
	self   Member
	retain time.Duration

	mu      sync.Mutex
	records map[walnutramp.GenerationID]*record
	byKey   map[accountKey]walnutramp.GenerationID
	handles map[Member]map[Handle]epochRef // by the owner's incarnation
}

// epochRef is the record and epoch that a handle refers to.
type epochRef struct {
	rec   *record
	epoch Epoch
}

// NewStore returns an empty store for one incarnation of a node. Records are dropped when
// unused for the time retain.
func NewStore(self Member, retain time.Duration) *Store {
	return &Store{
		self:    self,
		retain:  retain,
		records: map[walnutramp.GenerationID]*record{},
		byKey:   map[accountKey]walnutramp.GenerationID{},
		handles: map[Member]map[Handle]epochRef{},
	}
}

func (s *Store) get(id walnutramp.GenerationID) *record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[id]
}

// getOrAdd returns the record of spec.ID, and creates it if needed.
func (s *Store) getOrAdd(spec Spec) *record {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[spec.ID]
	if r == nil {
		r = &record{id: spec.ID, lastUsed: time.Now()}
		s.records[spec.ID] = r
	}
	if spec.Key != "" {
		s.byKey[accountKey{spec.Account, spec.Key}] = spec.ID
	}
	return r
}

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

// Len returns the number of generations held.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records)
}

// Sweep drops records that were unused for the retention time.
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
		maps.DeleteFunc(handles, func(_ Handle, h epochRef) bool {
			return s.records[h.rec.id] != h.rec || h.rec.superseded(h.epoch)
		})
		if len(handles) == 0 {
			delete(s.handles, owner)
		}
	}
}

// superseded reports whether the record is no longer at epoch e.
func (r *record) superseded(e Epoch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Epoch != e
}

func (r *record) expired(now time.Time, retain time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owner != nil && r.owner.active() {
		return false
	}
	if r.state.Final != nil && r.state.Spec.Key == "" {
		retain /= finishedRetainDivisor
	}
	return now.Sub(r.lastUsed) > retain
}

// finishedRetainDivisor shortens the retention of finished generations without a key:
// only a reconnecting caller can still ask for them.
const finishedRetainDivisor = 4

// Replicate is the RPC with which owners append.
func (s *Store) Replicate(args ReplicateArgs, reply *ReplicateReply) error {
	reply.Acks = make([]Ack, len(args.Appends))
	for i := range args.Appends {
		if args.To != s.self.Incarnation {
			reply.Acks[i].Code = walnutramp.CodeWrongIncarnation
			continue
		}
		reply.Acks[i] = s.apply(args.From, &args.Appends[i])
	}
	if !args.Plain.valid() {
		return errors.New("inconsistent column lengths in token-only appends")
	}
	plain := args.Plain.appends()
	reply.Plain = make([]int64, len(plain))
	for i := range plain {
		if args.To != s.self.Incarnation {
			reply.Plain[i] = -int64(walnutramp.CodeWrongIncarnation)
			continue
		}
		reply.Plain[i] = s.apply(args.From, &plain[i]).compact()
	}
	return nil
}

// compact returns the answer to a token-only append: the offset held, or a negated result
// code.
func (a Ack) compact() int64 {
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

// resolve returns what an append's handle refers to; an opening defines it.
func (s *Store) resolve(owner Member, a *Append) (epochRef, bool) {
	if a.Open == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		h, ok := s.handles[owner][a.Handle]
		return h, ok
	}
	h := epochRef{rec: s.getOrAdd(a.Open.Spec), epoch: a.Open.Epoch}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handles[owner] == nil {
		s.handles[owner] = map[Handle]epochRef{}
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
	r.lastUsed = time.Now()
	r.extend(a)
	return Ack{
		Code:      walnutramp.CodeOK,
		Held:      walnutramp.Offset(len(r.state.Tokens)),
		Prompt:    r.state.PromptTokens != nil,
		SourceSeq: r.state.Source.Seq,
		Final:     r.state.Final != nil,
	}
}

// open starts an epoch and replaces the whole state.
func (r *record) open(o *Opening) {
	r.promised = o.Epoch
	if r.owner != nil && r.owner.epoch != o.Epoch {
		r.owner.depose()
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
	complete := walnutramp.Offset(len(r.state.Tokens)) >= a.From+walnutramp.Offset(len(a.Tokens))
	if a.Final != nil && complete {
		r.state.Final = a.Final
	}
}

// Prepare is the RPC with which a candidate requests the promise of an epoch.
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
	r.lastUsed = time.Now()
	if r.owner != nil && r.owner.epoch.Less(epoch) && epoch.Node != r.owner.epoch.Node {
		r.owner.depose()
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

// Fetch is the RPC with which a candidate reads a promised state. The state can't have
// changed as long as that promise is the newest.
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

// opened reports whether the record has a state.
func (r *record) opened() bool { return r.state.Epoch != Epoch{} }

// copyState returns a copy of the state that later appends don't affect.
func (r *record) copyState() State {
	st := r.state
	st.Tokens = slices.Clone(st.Tokens)
	return st
}

// Find is the RPC with which peers look up a generation.
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
