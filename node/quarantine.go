package node

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/quarantine"
	"k8s.io/klog/v2"
)

// Nodes exchange reports on which request contents crashed targets, so that no node
// sends such a request again.

// quarantineServiceName is the name of the RPC service.
const quarantineServiceName = "Quarantine"

// Timing of the exchange.
const (
	// gossipDelay is how long reports are batched. It is shorter than the time in
	// which an engine starts a run, so a crashing request is not retried meanwhile.
	gossipDelay = 50 * time.Millisecond
	// gossipInterval is the interval at which all current reports are sent again, for
	// nodes that started later or were unreachable.
	gossipInterval = 5 * time.Second
	gossipTimeout  = time.Second // per call
)

// quarantineService receives the reports of other nodes.
type quarantineService struct{ ledger *quarantine.Ledger }

// TellArgs is the argument of the Tell RPC.
type TellArgs struct{ Notes []quarantine.Report }

// TellReply is the reply of the Tell RPC: the number of reports that were new to the node.
type TellReply struct{ Fresh int }

// Tell handles the RPC that delivers another node's reports.
func (s *quarantineService) Tell(args TellArgs, reply *TellReply) error {
	reply.Fresh = len(s.ledger.Merge(args.Notes))
	return nil
}

func (n *Node) setupQuarantine() {
	ledger := quarantine.New()
	n.quarantine = quarantine.NewCrashDetector(ledger, quarantine.DialFunc(n.cfg.Dial))
	n.newReports = make(chan struct{}, 1)
	ledger.OnReport(func() {
		select {
		case n.newReports <- struct{}{}:
		default:
		}
	})
}

// gossipQuarantine sends new reports to the other nodes, and periodically all current
// ones, until ctx is done.
func (n *Node) gossipQuarantine(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	lastSeen := uint64(0)
	for {
		var reports []quarantine.Report
		select {
		case <-n.newReports:
			if !pause.For(ctx, gossipDelay) {
				return
			}
			reports, lastSeen = n.quarantine.ReportsAfter(lastSeen)
		case <-ticker.C:
			reports = n.quarantine.AllReports()
		case <-ctx.Done():
			return
		}
		if len(reports) > 0 {
			n.broadcast(ctx, TellArgs{Notes: reports})
		}
	}
}

func (n *Node) broadcast(ctx context.Context, args TellArgs) {
	for _, m := range n.members.Live() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
			defer cancel()
			var reply TellReply
			if err := n.peers.Call(ctx, m.Name, quarantineServiceName+".Tell", args, &reply); err != nil {
				klog.V(1).InfoS("Failed to send quarantine notes, retrying with the next full update", "node", m.Name, "err", err)
			}
		}()
	}
}
