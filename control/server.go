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

// confirmTimeout bounds the wait for a majority's confirmation.
const confirmTimeout = 1 * time.Second

// Server serves the RPCs of the control group on a member.
type Server struct {
	member           *consensus.Member
	state            *State
	updates          *updates
	chunkLimiter     *rate.Limiter      // rate of chunks of long payloads
	offers           singleflight.Group // submissions in progress, by version and digest
	operators        bundle.Operators
	membership       *MembershipManager // nil if the membership is fixed
	entryNodes       entryRegistry
	targets          *TargetList        // nil if nodes read the target list themselves
	relays           relays             // members that relay this one's replies while it leads
	relay            *Relay             // relays the leader's replies while another member leads; nil if unused
	rollouts         *RolloutController // nil if there are no roll-outs
	reports          *ReportCollector   // of usage and demand; nil if unused
	timekeeper       *Timekeeper        // of the group's time; nil if unused
	quota            *QuotaController   // of the retry budget; nil if unused
	orderRetryWindow time.Duration      // how long an operator resends an order that was not answered
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithLink sets the rate of the node's link, of which chunks use a fixed share.
func WithLink(bytesPerSecond float64) ServerOption {
	return func(s *Server) { s.chunkLimiter = newChunkLimiter(bytesPerSecond) }
}

// WithOrderRetryWindow sets for how long operators resend a roll-out order that was
// not answered.
func WithOrderRetryWindow(d time.Duration) ServerOption {
	return func(s *Server) { s.orderRetryWindow = d }
}

// NewUnsignedServer returns a server of a site without signatures, on which a
// MembershipManager manages the membership.
func NewUnsignedServer(m *consensus.Member, s *State, manager *MembershipManager, targets *TargetList, opts ...ServerOption) *Server {
	server := newServer(m, s)
	server.membership, server.targets = manager, targets
	for _, opt := range opts {
		opt(server)
	}
	return server
}

// NewServer returns a server of a site with signed bundles and fixed members.
func NewServer(m *consensus.Member, s *State, operators bundle.Operators) *Server {
	server := newServer(m, s)
	server.operators = operators
	return server
}

func newServer(m *consensus.Member, s *State) *Server {
	return &Server{member: m, state: s, updates: &updates{state: s}, chunkLimiter: newChunkLimiter(0), orderRetryWindow: defaultOrderRetryWindow}
}

// Newest implements the RPC that renews a node's lease.
func (s *Server) Newest(args NewestArgs, reply *NewestReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait+confirmTimeout)
	defer cancel()
	defer s.addTime(reply, uptime.Now())
	if s.membership != nil {
		reply.Group = s.member.Status().Group.Nodes()
	}
	s.registerRequester(args)
	leads := s.member.Leads()
	if !leads && args.Entry != "" && s.relay.answer(ctx, s, args, reply) {
		return nil
	}
	s.entryNodes.fillReply(args, reply)
	if !leads && args.Unconfirmed {
		s.awaitFirstDocument(ctx, args)
		s.fill(args, reply)
		s.fillTargets(args, reply)
		reply.Unconfirmed, reply.Leader = true, s.member.Leader()
		return nil
	}
	if !leads {
		reply.Code, reply.Leader = walnutramp.CodeNoLeader, s.member.Leader()
		return nil
	}
	s.awaitChange(ctx, args)
	if !s.member.Confirm(ctx) {
		reply.Code, reply.Leader = walnutramp.CodeNoLeader, s.member.Leader()
		return nil
	}
	s.fill(args, reply)
	s.quota.fillShare(args, reply)
	s.fillTargets(args, reply)
	if args.Entry != "" {
		s.referToRelay(ctx, args, reply)
		reply.Near = s.reportMember(args)
	}
	return nil
}

// reportMember returns the member of an entry node's data hall that takes the entry
// node's reports; empty for the leader or if none is known.
func (s *Server) reportMember(args NewestArgs) walnutramp.NodeName {
	if s.reports == nil {
		return ""
	}
	if s.relay != nil && s.relay.hall == args.DataHall {
		return s.relay.node
	}
	return s.relays.choose(args.DataHall, args.Entry)
}

// referToRelay names a relay to an entry node: as the node to ask from now on, if
// the site has many entry nodes, and as the source of long payloads.
func (s *Server) referToRelay(ctx context.Context, args NewestArgs, reply *NewestReply) {
	relayed := s.entryNodes.count() > relayThreshold
	chunked := reply.Update.Bytes > 0 || reply.Roster.Whole.Bytes > 0
	if !relayed && !chunked {
		return
	}
	relay := s.relays.choose(args.DataHall, args.Entry)
	if chunked && relay == "" && !s.inDataHall(args.DataHall) {
		relay = s.relays.awaitRelay(ctx, args.DataHall, args.Entry)
	}
	if relayed {
		reply.Relay = relay
	}
	if chunked {
		reply.Source = relay
	}
}

// inDataHall reports whether this member is known to be in the given data hall.
func (s *Server) inDataHall(hall string) bool { return s.relay != nil && s.relay.hall == hall }

// registerRequester records the requester and those that it relays to.
func (s *Server) registerRequester(args NewestArgs) {
	s.entryNodes.register(EntryNode{Address: args.Entry, DataHall: args.DataHall, Disk: args.Disk})
	for _, entry := range args.Relayed {
		s.entryNodes.register(EntryNode{Address: entry, DataHall: args.DataHall, Disk: slices.Contains(args.RelayedDisks, entry)})
	}
	s.relays.register(args.DataHall, args.Relay)
	s.quota.recordQuery(args)
}

// fill fills a reply from the state that this member has applied.
func (s *Server) fill(args NewestArgs, reply *NewestReply) {
	newest, next := s.updates.updateFrom(args.Have)
	reply.Code = walnutramp.CodeOK
	reply.Version, reply.Digest = newest.Version, newest.Digest
	reply.Update = next.payload()
	reply.Versions = s.state.versionsSince(args.Versions)
}

// fillTargets adds the changes of the target list for a requester that uses it.
func (s *Server) fillTargets(args NewestArgs, reply *NewestReply) {
	if s.targets != nil && args.wantsTargets() {
		reply.Roster = s.targets.compressedReply(args.Roster)
	}
}

// Offer implements the RPC that submits an unsigned document.
func (s *Server) Offer(args OfferArgs, reply *DoReply) error {
	if s.membership == nil {
		reply.Code = walnutramp.CodeBundleSignature
		return nil
	}
	// An operator that gets no answer resends the document, to any member. Duplicates
	// wait for the first one, so that a large document is not logged again.
	key := fmt.Sprint(args.Submit.Version, " ", args.Submit.Digest)
	result, err, _ := s.offers.Do(key, func() (any, error) {
		s.quota.openEarly(context.Background())
		var proposed DoReply
		err := s.propose(context.Background(), Command{Submit: &args.Submit}, &proposed)
		s.logAccepted(&args.Submit, &proposed)
		return proposed, err
	})
	*reply = result.(DoReply)
	return err
}

// logAccepted logs a document that has come into force, with its sizes.
func (s *Server) logAccepted(c *Submit, r *DoReply) {
	if r.Code != walnutramp.CodeOK || r.Result.Version != c.Version {
		return
	}
	doc, change := s.state.documentSizes()
	klog.InfoS("Document accepted", "version", c.Version, "bytes", doc, "compressed", len(c.Packed), "changeBytes", change)
}

// Join implements the RPC by which a node asks to become a member.
func (s *Server) Join(args JoinArgs, reply *JoinReply) error {
	reply.Group = s.member.Status().Group.Nodes()
	if s.membership == nil || !s.member.Leads() {
		reply.Code, reply.Leader = walnutramp.CodeNoLeader, s.member.Leader()
		return nil
	}
	s.membership.requestJoin(args)
	reply.Code = walnutramp.CodeOK
	return nil
}

// awaitChange waits for anything newer than the requester holds, for at most
// args.Wait.
func (s *Server) awaitChange(ctx context.Context, args NewestArgs) {
	newest, _, _, changed := s.state.updateSince(args.Have)
	targetsChanged, differs := s.targetsChanged(args)
	if newest.Version > args.Have || s.state.versionsSince(args.Versions) != nil || args.Wait <= 0 || differs {
		return
	}
	t := time.NewTimer(args.Wait)
	defer t.Stop()
	select {
	case <-changed:
	case <-targetsChanged:
	case <-t.C:
	case <-ctx.Done():
	}
}

// awaitFirstDocument waits, for at most args.Wait, while the site has no document.
// Without the wait, all nodes would poll at a high rate.
func (s *Server) awaitFirstDocument(ctx context.Context, args NewestArgs) {
	if newest, _, _, _ := s.state.updateSince(0); newest.Version == 0 && args.Have == 0 {
		s.awaitChange(ctx, args)
	}
}

// targetsChanged returns a channel that is closed when the target list changes, and
// whether the requester's version already differs; nil and false for a requester that
// does not use the list.
func (s *Server) targetsChanged(args NewestArgs) (changed <-chan struct{}, differs bool) {
	if s.targets == nil || !args.wantsTargets() {
		return nil, false
	}
	return s.targets.watch(args.Roster)
}

// Do implements the RPC that proposes a command.
func (s *Server) Do(args DoArgs, reply *DoReply) error {
	if args.Command.Submit != nil {
		reply.Code = walnutramp.CodeBundleSignature
		return nil
	}
	return s.propose(context.Background(), args.Command, reply)
}

// propose proposes a command to the group, if this member leads; reply.Code and
// reply.Leader tell the outcome. The error concerns only the encoding.
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

// proposeOwn proposes a command of the leader itself. It returns false if the
// command is not known to be committed.
func (s *Server) proposeOwn(ctx context.Context, c Command) (Result, bool) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var reply DoReply
	if err := s.propose(ctx, c, &reply); err != nil {
		klog.ErrorS(err, "Failed to propose command")
		return Result{}, false
	}
	return reply.Result, reply.Code == walnutramp.CodeOK
}

// History implements the RPC that returns the accepted bundles.
func (s *Server) History(_ HistoryArgs, reply *HistoryReply) error {
	reply.Accepted = s.state.History()
	reply.Group = s.member.Status()
	return nil
}

// Submit implements the RPC that submits a signed bundle. Only the member that
// proposes the bundle verifies the signature.
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
