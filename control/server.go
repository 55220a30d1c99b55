package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// confirmLimit bounds the wait for a majority's confirmation.
const confirmLimit = 1 * time.Second

// Server answers nodes on a member of the control group.
type Server struct {
	member     *consensus.Member
	state      *State
	updates    *updates
	feed       *rate.Limiter      // of pieces of updates
	offers     singleflight.Group // by version and digest
	operators  bundle.Operators
	keeper     *Keeper // nil where members are changed by hand
	entries    entries
	roster     *Roster            // nil where nodes read the list themselves
	relays     relays             // members that relay this one's word, while it leads
	relay      *Relay             // relays the leader's word, while another leads; nil for none
	rollouts   *RolloutController // nil where there are no roll-outs
	reports    *Reports           // of what nodes count; nil where they count nothing
	timekeeper *Timekeeper        // of the group's time; nil where nobody needs it
	sharing    *Sharing           // of the bound on repeats; nil where nobody shares it
	patience   time.Duration      // in which an operator sends an order again whose answer was lost
}

// ServerOption sets how a Server works.
type ServerOption func(*Server)

// WithLink tells how many bytes a second the node's link carries, so that
// reading large documents leaves room on it.
func WithLink(bytesPerSecond float64) ServerOption {
	return func(s *Server) { s.feed = newFeed(bytesPerSecond) }
}

// WithOrderPatience tells for how long operators send an order of a roll-out
// again whose answer was lost.
func WithOrderPatience(d time.Duration) ServerOption {
	return func(s *Server) { s.patience = d }
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
	return &Server{member: m, state: s, updates: &updates{state: s}, feed: newFeed(0), patience: orderPatience}
}

// Newest implements the RPC behind each node's lease.
func (s *Server) Newest(args NewestArgs, reply *NewestReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait+confirmLimit)
	defer cancel()
	defer s.stamp(reply, uptime.Now())
	if s.keeper != nil {
		reply.Group = s.member.Status().Group.Nodes()
	}
	s.noteAskers(args)
	leads := s.member.Leads()
	if !leads && args.Entry != "" && s.relay.answer(ctx, s, args, reply) {
		return nil
	}
	s.entries.tell(args, reply)
	if !leads && args.Unconfirmed {
		s.awaitFirst(ctx, args)
		s.fill(args, reply)
		s.fillRoster(args, reply)
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
	reply.Share = s.sharing.word(args)
	s.fillRoster(args, reply)
	if args.Entry != "" {
		s.refer(ctx, args, reply)
		reply.Near = s.near(args)
	}
	return nil
}

// near names the member of an entry's data hall that takes its reports.
func (s *Server) near(args NewestArgs) walnutramp.NodeName {
	if s.reports == nil {
		return ""
	}
	if s.relay != nil && s.relay.hall == args.DataHall {
		return s.relay.node
	}
	return s.relays.of(args.DataHall, args.Entry)
}

// refer names an entry the member of its data hall that it should ask from now
// on, on a site of many entries, and that has long contents for it.
func (s *Server) refer(ctx context.Context, args NewestArgs, reply *NewestReply) {
	relayed := s.entries.count() > relayedFrom
	long := reply.Update.Bytes > 0 || reply.Roster.Whole.Bytes > 0
	if !relayed && !long {
		return
	}
	near := s.relays.of(args.DataHall, args.Entry)
	if long && near == "" && !s.inHall(args.DataHall) {
		near = s.relays.await(ctx, args.DataHall, args.Entry)
	}
	if relayed {
		reply.Relay = near
	}
	if long {
		reply.Source = near
	}
}

// inHall reports whether this member is in a data hall itself, as far as it is
// told its own.
func (s *Server) inHall(hall string) bool { return s.relay != nil && s.relay.hall == hall }

// noteAskers notes who is there: the asker, and those it relays to.
func (s *Server) noteAskers(args NewestArgs) {
	s.entries.note(EntryPlace{Address: args.Entry, DataHall: args.DataHall, Disk: args.Disk})
	for _, entry := range args.Relayed {
		s.entries.note(EntryPlace{Address: entry, DataHall: args.DataHall, Disk: slices.Contains(args.RelayedDisks, entry)})
	}
	s.relays.note(args.DataHall, args.Relay)
	s.sharing.note(args)
}

// fill answers with what this member has applied.
func (s *Server) fill(args NewestArgs, reply *NewestReply) {
	newest, next := s.updates.since(args.Have)
	reply.Code = walnutramp.CodeOK
	reply.Version, reply.Digest = newest.Version, newest.Digest
	reply.Update = next.content()
	reply.Versions = s.state.versionsSince(args.Versions)
}

// fillRoster tells an asker that uses the list of targets what is new to it.
func (s *Server) fillRoster(args NewestArgs, reply *NewestReply) {
	if s.roster != nil && args.wantsRoster() {
		reply.Roster = s.roster.told(args.Roster)
	}
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
		s.sharing.openBefore(context.Background())
		var first DoReply
		err := s.propose(context.Background(), Command{Submit: &args.Submit}, &first)
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
	if newest.Version > args.Have || s.state.versionsSince(args.Versions) != nil || args.Wait <= 0 || other {
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

// awaitFirst has an asker that holds nothing wait while there is nothing: before a site
// has its first document, all nodes ask.
func (s *Server) awaitFirst(ctx context.Context, args NewestArgs) {
	if newest, _, _, _ := s.state.since(0); newest.Version == 0 && args.Have == 0 {
		s.await(ctx, args)
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
	return s.propose(context.Background(), args.Command, reply)
}

// propose has the group agree on a command, if this member leads.
func (s *Server) propose(ctx context.Context, c Command, reply *DoReply) error {
	c.Now = time.Now().UnixMilli()
	command, err := msgpack.Marshal(c)
	if err != nil {
		return err
	}
	r := s.member.Propose(ctx, command)
	reply.Code, reply.Leader = r.Code, r.Leader
	if r.Code == walnutramp.CodeOK {
		return msgpack.Unmarshal(r.Result, &reply.Result)
	}
	return nil
}

// agree has the group agree on a command of the leader's own; false if that is
// not known to have come about.
func (s *Server) agree(ctx context.Context, c Command) (Result, bool) {
	ctx, cancel := context.WithTimeout(ctx, stepLimit)
	defer cancel()
	var reply DoReply
	if err := s.propose(ctx, c, &reply); err != nil {
		klog.ErrorS(err, "Command not handed to the group")
		return Result{}, false
	}
	return reply.Result, reply.Code == walnutramp.CodeOK
}

// History implements the RPC for the accepted bundles.
func (s *Server) History(_ HistoryArgs, reply *HistoryReply) error {
	reply.Accepted = s.state.History()
	reply.Group = s.member.Status()
	return nil
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
	return s.propose(context.Background(), Command{Submit: &sub}, reply)
}
