package control

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/fleet"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/metering"
	"k8s.io/klog/v2"
)

// Times of telling what a node counts.
const (
	tellEvery = 200 * time.Millisecond // a node that is killed loses what it counted since
	tellLimit = 400 * time.Millisecond // of one report
	// tellAnyway is after how long without news a node with counts of open
	// windows reports, so that a member that has started anew gets them again.
	tellAnyway = 800 * time.Millisecond
	tellLast   = 300 * time.Millisecond // for the last report of a planned stop
	// nearRest is how long the member near by is left alone that did not
	// answer.
	nearRest = 2 * time.Second
)

// DemandSource returns what has been asked for at this node, by service, since
// its process started.
type DemandSource func() []fleet.Demand

// WithUsage has the client tell the group what a counter counts. It is called
// before Start.
func (c *Client) WithUsage(counter *metering.Counter) { c.usage = counter }

// WithDemand has the client tell the group the demand for services. It is
// called before Start.
func (c *Client) WithDemand(source DemandSource) { c.demand = source }

// tells reports whether the client has anything to tell the group.
func (c *Client) tells() bool { return c.usage != nil || c.demand != nil }

// tellAlways tells what is new, until the client is closed.
func (c *Client) tellAlways() {
	t := teller{client: c, life: c.life, demand: map[string]fleet.Demand{}}
	for pause.For(c.ctx, tellEvery) {
		t.tell(c.ctx, tellLimit)
	}
	t.tell(context.WithoutCancel(c.ctx), tellLast)
}

// teller tells members of the group what a node counts.
type teller struct {
	client *Client
	life   uint64 // names this process
	to     uint64 // who had the reports last, as it named itself
	toldAt time.Time
	openAt time.Time               // when there were last rows of open windows; zero for never
	demand map[string]fleet.Demand // as last told
	sent   []fleet.Demand          // in the report under way
	asked  walnutramp.NodeName     // who was told last
	rested time.Time               // when the member near by last did not answer
	next   walnutramp.NodeName     // to ask instead, if known
}

// tell tells once, if there is anything to tell.
func (t *teller) tell(ctx context.Context, limit time.Duration) {
	if !t.due() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	args := t.report()
	t.toldAt = time.Now()
	t.asked = t.whom()
	var reply TellReply
	err := t.client.peers.Call(ctx, t.asked, Service+".Tell", args, &reply)
	if err != nil || reply.Code != walnutramp.CodeOK {
		klog.V(1).InfoS("Report not taken", "asked", t.asked, "code", int(reply.Code), "err", err)
		t.failed(reply.Leader)
		return
	}
	t.taken(reply)
}

// due reports whether there is something new, or it is time to see whether
// the one who has the reports still has them.
func (t *teller) due() bool {
	news, open := len(t.newDemand()) > 0, false
	if u := t.client.usage; u != nil {
		newRows, openRows := u.Waiting()
		news, open = news || newRows, t.metered(openRows)
	}
	return news || open && (t.to == 0 || time.Since(t.toldAt) >= tellAnyway)
}

// metered reports whether there are rows of open windows, or were within the
// time for which the members wait for a node that falls silent: one that merely
// has no requests goes on telling, so that no window is held up by it.
func (t *teller) metered(open bool) bool {
	if open {
		t.openAt = time.Now()
	}
	return open || !t.openAt.IsZero() && time.Since(t.openAt) < silentFor
}

// newDemand returns the demand that has changed since it was told.
func (t *teller) newDemand() []fleet.Demand {
	if t.client.demand == nil {
		return nil
	}
	var news []fleet.Demand
	for _, row := range t.client.demand() {
		if t.demand[row.Service] != row {
			news = append(news, row)
		}
	}
	return news
}

func (t *teller) report() TellArgs {
	args := TellArgs{Node: t.client.entry.Address, Life: t.life, Demand: t.newDemand()}
	if t.client.usage != nil {
		args.Usage = t.client.usage.Report(t.to == 0)
	}
	t.sent = args.Demand
	return args
}

// whom returns who is told: the member near by, else one that is known to
// answer.
func (t *teller) whom() walnutramp.NodeName {
	c := t.client
	if near := c.nearMember(); near != "" && time.Since(t.rested) >= nearRest {
		return near
	}
	if t.next != "" {
		return t.next
	}
	return c.anyMember()
}

// failed has everything told again, to another member.
func (t *teller) failed(leader walnutramp.NodeName) {
	if t.asked == t.client.nearMember() {
		t.rested = time.Now()
	}
	t.next = leader
	t.forget()
}

// forget has the next report tell everything.
func (t *teller) forget() {
	t.to = 0
	clear(t.demand)
}

// taken notes who has the reports now. Where that is another than had them
// before, it gets everything next time.
func (t *teller) taken(reply TellReply) {
	t.next = t.asked
	if t.to != 0 && t.to != reply.To {
		t.forget()
		return
	}
	t.to = reply.To
	for _, row := range t.sent {
		t.demand[row.Service] = row
	}
	if t.client.usage != nil {
		t.client.usage.Closed(reply.Closed)
	}
}

// nearMember returns the member that takes this node's reports; empty for
// any.
func (c *Client) nearMember() walnutramp.NodeName {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.near
}

// takeNear notes the member that takes reports.
func (c *Client) takeNear(near walnutramp.NodeName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.near = near
}
