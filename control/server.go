package control

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/consensus"
)

// Service is the name under which the control group answers nodes.
const Service = "Control"

// NewestArgs asks for the newest bundle and a word that it is the newest.
type NewestArgs struct {
	Have uint64        // version the asker holds
	Wait time.Duration // how long to wait for a newer one
}

// NewestReply is the leader's word, confirmed by a majority after it was
// asked.
type NewestReply struct {
	Code    walnutramp.Code
	Leader  walnutramp.NodeName // where to ask instead, if known
	Version uint64
	Digest  string
	Deltas  []bundle.Delta
	Doc     []byte // where there are no deltas from the asker's version
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
	operators bundle.Operators
}

// NewServer returns a server over a member and its state.
func NewServer(m *consensus.Member, s *State, operators bundle.Operators) *Server {
	return &Server{member: m, state: s, operators: operators}
}

// Newest implements the RPC behind each node's lease.
func (s *Server) Newest(args NewestArgs, reply *NewestReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait+confirmLimit)
	defer cancel()
	if !s.member.Leads() {
		reply.Code, reply.Leader = walnutramp.CodeNoLeader, s.member.Leader()
		return nil
	}
	s.await(ctx, args)
	if !s.member.Confirm(ctx) {
		reply.Code, reply.Leader = walnutramp.CodeNoLeader, s.member.Leader()
		return nil
	}
	newest, deltas, doc, _ := s.state.since(args.Have)
	*reply = NewestReply{Code: walnutramp.CodeOK, Version: newest.Version, Digest: newest.Digest, Deltas: deltas, Doc: doc}
	return nil
}

// await waits for a bundle newer than the asker's, for as long as it wants.
func (s *Server) await(ctx context.Context, args NewestArgs) {
	newest, _, _, changed := s.state.since(args.Have)
	if newest.Version > args.Have || args.Wait <= 0 {
		return
	}
	t := time.NewTimer(args.Wait)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
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
	sub := &Submit{Version: b.Version, Digest: bundle.Digest(args.Doc), Operator: args.Signature.Operator, Doc: args.Doc}
	return s.propose(Command{Submit: sub}, reply)
}
