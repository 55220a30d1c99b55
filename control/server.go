package control

import (
	"context"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/consensus"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// Service is the name under which the control group answers nodes.
const Service = "Control"

// NewestArgs asks for the newest bundle and a word that it is the newest.
type NewestArgs struct {
	Have uint64        // version the asker holds
	Wait time.Duration // how long to wait for a newer one
	// Unconfirmed asks any member for what it holds.
	Unconfirmed bool
	// Roster is the version of the list of targets that the asker holds.
	Roster uint64
	// Entry is the address at which the asker hears other entries; empty if it
	// is none.
	Entry string
	// Entries is the version of the entries' addresses that the asker holds.
	Entries uint64
	// DataHall is the asker's.
	DataHall string
	// Relay is the asker's own address, if it answers entries of its data hall
	// with the leader's word; Relayed are those that asked it lately.
	Relay   string
	Relayed []string
}

// NewestReply is the leader's word, confirmed by a majority after it was
// asked.
type NewestReply struct {
	Code    walnutramp.Code
	Leader  walnutramp.NodeName // where to ask instead, if known
	Version uint64
	Digest  string
	// Update leads from the asker's document to this one.
	Update Content
	// Source is where to read long contents; who answers, where it is empty.
	Source walnutramp.NodeName
	// Group names the members, as far as the one who answers knows.
	Group []walnutramp.NodeName
	// Unconfirmed says that a newer one may be in force.
	Unconfirmed bool
	// Entries are the addresses of entries that asked lately, where the asker
	// holds another version of them. The version is 0 where none are told.
	Entries        []string
	EntriesVersion uint64
	// Roster is the leader's list of targets, where the asker holds another.
	Roster RosterReply
	// Age is how long ago the leader was asked; 0 from the leader itself.
	Age time.Duration
	// Relay is whom an entry should ask from now on: a member of its data
	// hall that relays the leader's word. Empty for the leader itself.
	Relay walnutramp.NodeName
}

// DoArgs hands over a command.
type DoArgs struct {
	Command Command
}

// DoReply answers a command.
type DoReply struct {
	Code   walnutramp.Code // CodeOK where Result holds; else why not
	Leader walnutramp.NodeName
	Result Result
}

// confirmLimit bounds the wait for a majority's confirmation.
const confirmLimit = 1 * time.Second

// Server answers nodes on a member of the control group.
type Server struct {
	member    *consensus.Member
	state     *State
	updates   *updates
	feed      *rate.Limiter      // of pieces of updates
	offers    singleflight.Group // by version and digest
	operators bundle.Operators
	keeper    *Keeper // nil where members are changed by hand
	entries   entries
	roster    *Roster // nil where nodes read the list themselves
	relays    relays  // members that relay this one's word, while it leads
	relay     *Relay  // relays the leader's word, while another leads; nil for none
}

// ServerOption sets how a Server works.
type ServerOption func(*Server)

// WithLink tells how many bytes a second the node's link carries, so that
// reading large documents leaves room on it.
func WithLink(bytesPerSecond float64) ServerOption {
	return func(s *Server) { s.feed = newFeed(bytesPerSecond) }
}

// NewOpenServer returns a server of a site that asks for no signatures and
// whose members change by themselves.
func NewOpenServer(m *consensus.Member, s *State, k *Keeper, r *Roster, opts ...ServerOption) *Server {
	server := newServer(m, s)
	server.keeper, server.roster = k, r
	for _, opt := range opts {
		opt(server)
	}
	return server
}

// NewServer returns a server over a member and its state.
func NewServer(m *consensus.Member, s *State, operators bundle.Operators) *Server {
	server := newServer(m, s)
	server.operators = operators
	return server
}

func newServer(m *consensus.Member, s *State) *Server {
	return &Server{member: m, state: s, updates: &updates{state: s}, feed: newFeed(0)}
}

// Newest implements the RPC behind each node's lease.
func (s *Server) Newest(args NewestArgs, reply *NewestReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait+confirmLimit)
	defer cancel()
	if s.keeper != nil {
		reply.Group = s.member.Status().Group.Nodes()
	}
	s.noteAskers(args)
	reply.Entries, reply.EntriesVersion = s.entries.told(args)
	leads := s.member.Leads()
	if !leads && args.Entry != "" && s.relay.answer(ctx, s, args, reply) {
		return nil
	}
	if !leads && args.Unconfirmed {
		s.fill(args, reply)
		reply.Unconfirmed, reply.Leader = true, s.member.Leader()
		return nil
	}
	if !leads {
		reply.Code, reply.Leader = walnutramp.CodeNoLeader, s.member.Leader()
		return nil
	}
	s.await(ctx, args)
	if !s.member.Confirm(ctx) {
		reply.Code, reply.Leader = walnutramp.CodeNoLeader, s.member.Leader()
		return nil
	}
	s.fill(args, reply)
	if s.roster != nil && args.wantsRoster() {
		reply.Roster = s.roster.told(args.Roster)
	}
	if args.Entry != "" {
		s.refer(args, reply)
	}
	return nil
}

// refer names an entry the member of its data hall that it should ask from now
// on, on a site of many entries, and that has long contents for it.
func (s *Server) refer(args NewestArgs, reply *NewestReply) {
	near := s.relays.of(args.DataHall, args.Entry)
	if s.entries.count() > relayedFrom {
		reply.Relay = near
	}
	if reply.Update.Bytes > 0 || reply.Roster.Whole.Bytes > 0 {
		reply.Source = near
	}
}

// wantsRoster reports whether the asker uses the list of targets.
func (a *NewestArgs) wantsRoster() bool { return a.Entry != "" || a.Relay != "" }

// noteAskers notes who is there: the asker, and those it relays to.
func (s *Server) noteAskers(args NewestArgs) {
	s.entries.note(args.Entry)
	for _, entry := range args.Relayed {
		s.entries.note(entry)
	}
	s.relays.note(args.DataHall, args.Relay)
}

// fill answers with what this member has applied.
func (s *Server) fill(args NewestArgs, reply *NewestReply) {
	newest, next := s.updates.since(args.Have)
	reply.Code = walnutramp.CodeOK
	reply.Version, reply.Digest = newest.Version, newest.Digest
	reply.Update = next.content()
}

// OfferArgs is a document of a site that asks for no signature.
type OfferArgs struct {
	Submit Submit
}

// Offer implements the RPC for an unsigned document.
func (s *Server) Offer(args OfferArgs, reply *DoReply) error {
	if s.keeper == nil {
		reply.Code = walnutramp.CodeBundleSignature
		return nil
	}
	// An operator without an answer sends the same again, to any member. While
	// the first is under way the others wait for it: a large document is not
	// logged once more each time.
	name := fmt.Sprint(args.Submit.Version, " ", args.Submit.Digest)
	answer, err, _ := s.offers.Do(name, func() (any, error) {
		var first DoReply
		err := s.propose(Command{Submit: &args.Submit}, &first)
		s.logAccepted(&args.Submit, &first)
		return first, err
	})
	*reply = answer.(DoReply)
	return err
}

// logAccepted logs a document that is newly in force, with its sizes.
func (s *Server) logAccepted(c *Submit, r *DoReply) {
	if r.Code != walnutramp.CodeOK || r.Result.Version != c.Version {
		return
	}
	doc, change := s.state.sizes()
	klog.InfoS("Document accepted", "version", c.Version, "bytes", doc, "compressed", len(c.Packed), "changeBytes", change)
}

// JoinArgs asks to become a member.
type JoinArgs struct {
	Node     walnutramp.NodeName
	Identity consensus.Identity
}

// JoinReply says where to ask instead, if this member does not lead.
type JoinReply struct {
	Code   walnutramp.Code
	Leader walnutramp.NodeName
	Group  []walnutramp.NodeName
}

// Join implements the RPC by which a node with a new disk comes in.
func (s *Server) Join(args JoinArgs, reply *JoinReply) error {
	reply.Group = s.member.Status().Group.Nodes()
	if s.keeper == nil || !s.member.Leads() {
		reply.Code, reply.Leader = walnutramp.CodeNoLeader, s.member.Leader()
		return nil
	}
	s.keeper.asked(args)
	reply.Code = walnutramp.CodeOK
	return nil
}

// await waits for a bundle newer than the asker's, for as long as it wants.
func (s *Server) await(ctx context.Context, args NewestArgs) {
	newest, _, _, changed := s.state.since(args.Have)
	rosterChanged, other := s.rosterChanged(args)
	if newest.Version > args.Have || args.Wait <= 0 || other {
		return
	}
	t := time.NewTimer(args.Wait)
	defer t.Stop()
	select {
	case <-changed:
	case <-rosterChanged:
	case <-t.C:
	case <-ctx.Done():
	}
}

// rosterChanged returns what is closed when the list of targets changes, and
// whether the asker holds another one already.
func (s *Server) rosterChanged(args NewestArgs) (changed <-chan struct{}, other bool) {
	if s.roster == nil || !args.wantsRoster() {
		return nil, false
	}
	return s.roster.watch(args.Roster)
}

// Do implements the RPC that changes the ledger.
func (s *Server) Do(args DoArgs, reply *DoReply) error {
	if args.Command.Submit != nil {
		reply.Code = walnutramp.CodeBundleSignature
		return nil
	}
	return s.propose(args.Command, reply)
}

func (s *Server) propose(c Command, reply *DoReply) error {
	c.Now = time.Now().UnixMilli()
	command, err := msgpack.Marshal(c)
	if err != nil {
		return err
	}
	r := s.member.Propose(context.Background(), command)
	reply.Code, reply.Leader = r.Code, r.Leader
	if r.Code == walnutramp.CodeOK {
		return msgpack.Unmarshal(r.Result, &reply.Result)
	}
	return nil
}

// HistoryArgs asks for the accepted bundles.
type HistoryArgs struct{}

// HistoryReply holds them, oldest first, as this member has applied them.
type HistoryReply struct {
	Accepted []Accepted
	Group    consensus.Status
}

// History implements the RPC for the accepted bundles.
func (s *Server) History(_ HistoryArgs, reply *HistoryReply) error {
	reply.Accepted = s.state.History()
	reply.Group = s.member.Status()
	return nil
}

// SubmitArgs is an operator's signed bundle.
type SubmitArgs struct {
	Doc       []byte
	Signature bundle.Signature
}

// Submit implements the RPC for a signed bundle; the signature is checked
// here, on the member that proposes it.
func (s *Server) Submit(args SubmitArgs, reply *DoReply) error {
	if err := s.operators.Verify(args.Doc, args.Signature); err != nil {
		reply.Code = walnutramp.CodeBundleSignature
		return nil
	}
	b, err := bundle.Parse(args.Doc)
	if err != nil {
		reply.Code = walnutramp.CodeBundleInvalid
		return nil
	}
	sub := newSubmit(b.Version, args.Signature.Operator, args.Doc)
	return s.propose(Command{Submit: &sub}, reply)
}
