package node

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/quarantine"
	"k8s.io/klog/v2"
)

// Nodes tell each other under which requests targets ended.

// quarantineName is the RPC service's name.
const quarantineName = "Quarantine"

// Times of telling.
const (
	// tellGather is how long notes are gathered: an engine takes longer to begin a
	// run, so that no node sends such a request on meanwhile.
	tellGather = 50 * time.Millisecond
	// tellAgain is how often all that counts is told again, for nodes that started
	// since or were cut off.
	tellAgain = 5 * time.Second
	tellLimit = time.Second // for one node's answer
)

// quarantineService takes other nodes' notes.
type quarantineService struct{ ledger *quarantine.Ledger }

// Told is what a node tells another.
type Told struct{ Notes []quarantine.Note }

// TellReply says how many of the notes were new.
type TellReply struct{ Fresh int }

// Tell implements the RPC by which a node is told.
func (s *quarantineService) Tell(t Told, reply *TellReply) error {
	reply.Fresh = len(s.ledger.Take(t.Notes))
	return nil
}

func (n *Node) wireQuarantine() {
	ledger := quarantine.New()
	n.quarantine = quarantine.NewWitness(ledger, quarantine.DialFunc(n.cfg.Dial))
	n.quarantineNews = make(chan struct{}, 1)
	ledger.OnNews(func() {
		select {
		case n.quarantineNews <- struct{}{}:
		default:
		}
	})
}

// tellQuarantine tells the other nodes what is new until ctx ends.
func (n *Node) tellQuarantine(ctx context.Context) {
	again := time.NewTicker(tellAgain)
	defer again.Stop()
	number := uint64(0)
	for {
		var notes []quarantine.Note
		select {
		case <-n.quarantineNews:
			if !pause.For(ctx, tellGather) {
				return
			}
			notes, number = n.quarantine.News(number)
		case <-again.C:
			notes = n.quarantine.Everything()
		case <-ctx.Done():
			return
		}
		if len(notes) > 0 {
			n.tellAll(ctx, Told{Notes: notes})
		}
	}
}

func (n *Node) tellAll(ctx context.Context, t Told) {
	for _, m := range n.members.Live() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, tellLimit)
			defer cancel()
			var reply TellReply
			if err := n.peers.Call(ctx, m.Name, quarantineName+".Tell", t, &reply); err != nil {
				klog.V(1).InfoS("Node not told of targets that ended: it is told again", "node", m.Name, "err", err)
			}
		}()
	}
}
