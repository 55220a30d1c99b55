package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/origins"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/ratelimit"
	"github.com/walnutramp/walnutramp/rollout"
	"github.com/walnutramp/walnutramp/targetconn"
)

// call is the state of one client request.
type call struct {
	id               string
	route            *Route
	service          string
	settings         Service // settings of the service
	account          Account
	method           string
	uri              string
	host             string
	header           http.Header // forwarded headers, before those set for each target
	body             []byte
	buffer           bodyBuffer // that holds the body, if it came from a client
	hasBody          bool
	arrived          time.Time
	deadline         time.Time
	priority         int
	rank             int    // number of distinct priorities in the table that are more urgent than this call's
	version          uint64 // of the configuration that selected the route
	lastID           int64  // ID of the last event that the client has or was forwarded
	hasLast          bool   // lastID is set
	work             balance.Work
	maxOutput        int                      // upper bound of the output, in tokens
	promptKey        string                   // identifies the prompt; requests of one session may share it
	stream           balance.StreamID         // see identifyStream
	resumed          bool                     // the request came with a last event ID; false if its usage header is not parsed, see readWork
	tried            map[*balance.Target]bool // targets that may have run it
	rejected         map[*balance.Target]bool // targets that did not run it, since nextTarget last polled
	attempts         int                      // targets selected so far
	dispatched       int                      // targets that may have started it
	mayHaveRun       bool                     // at least one target may have run it
	contacted        bool                     // at least one target received it, even if it rejected it
	failedHalls      map[string]int           // number of targets that failed it, by data hall
	noCapacity       bool                     // targets exist, but none can admit the request
	cooldownLeft     time.Duration            // see remainingCooldown; as of the last time that nextTarget found no target
	grants           grants                   // for the selected target
	crowded          bool                     // a brittle target was passed over for its slots in the latest selection
	exhausted        string                   // a target that was passed over for its rate limit in the latest selection; empty for none
	denial           *ratelimit.Denial        // why the latest selection found no target; nil if not for a rate limit
	reservedRetry    balance.Retry            // retry taken from the budget, but not yet received by a target
	place            *balance.Place           // held for the next run; nil for none
	placeSince       time.Time                // since when a target must have been heard while place is held
	rolloutRequest   *rollout.Request         // reports the outcome of the current attempt to the roll-out; nil without one
	metered          bool                     // already counted for its client account
	fingerprint      quarantine.Fingerprint   // identical for identical requests of a client
	sentAt           time.Time                // when the current attempt was sent
	returnBy         time.Time                // until when its client may come back
	resumes          string                   // the client's attempt that brought the first event, as named by the client; empty if it is not
	binding          binding                  // of a stream to the software version that began it
	versionGone      bool                     // no target of that version is left
	idleSince        time.Time                // when the last event was forwarded; arrived, before the first
	crashProbe       *quarantine.Probe        // pending probe whether the target whose connection broke last has crashed
	connectedOnly    bool                     // only targets with an idle connection are selected
	egressTried      []string                 // nodes that could not send it
	triedElsewhere   []string                 // incarnations that may have run it or rejected it through another node
	egressError      *walnutramp.Error        // why an egress rejected it; nil if none did
	noEgress         bool                     // no other node offered to send it
	relayed          bool                     // it came from another node, to be sent once
	endedByIngress   bool                     // that node ends it if its target falls silent after the first event
	pendingByIngress bool                     // that node ends it if its target is silent before that
	sendBy           time.Time                // when it must have been sent, if it is a retry of another node; zero for no limit
}

// open reads and validates a request, and resolves its route and client account. The body of
// the call that it returns must be released.
func (g *Gateway) open(w http.ResponseWriter, r *http.Request, arrived time.Time) (opened *call, refused *walnutramp.Error) {
	table := g.table.Load()
	if table == nil {
		return nil, walnutramp.NewError(walnutramp.CodeNotInForce, walnutramp.NotRun, "this node has not received a configuration yet").WithRetryAfter(retryAtOtherNode)
	}
	if !g.holdsLease() {
		return nil, walnutramp.NewError(walnutramp.CodeNotInForce, walnutramp.NotRun, "this node has lost contact with the control group").WithRetryAfter(retryAtOtherNode)
	}
	if err := checkHeader(r, table.Limits); err != nil {
		return nil, err
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := table.Route(r.Host, path)
	if route == nil {
		return nil, walnutramp.NewError(walnutramp.CodeUnknownPath, walnutramp.NotRun, "no route matches the host and path")
	}
	account, err := table.account(r.Header.Values(g.cfg.Names.Key), route)
	if err != nil {
		return nil, err
	}
	c := &call{
		id: r.Header.Get(g.cfg.Names.Identity), route: route, service: route.Service(), account: account,
		method: r.Method, uri: r.RequestURI, host: r.Host, arrived: arrived, idleSince: arrived, tried: map[*balance.Target]bool{},
		rejected: map[*balance.Target]bool{}, failedHalls: map[string]int{},
		priority: route.Priority, version: table.Version, buffer: bodyBuffer{budget: g.bodies},
	}
	if account.HasPriority {
		c.priority = account.Priority
	}
	c.rank = table.ranks[c.priority]
	c.settings = table.Services[c.service]
	if err := g.readDeadline(c, r.Header); err != nil {
		return nil, err
	}
	if err := g.readBody(c, w, r, table.Limits); err != nil {
		return nil, err
	}
	defer func() {
		if opened == nil { // rejected, or a panic
			c.buffer.release()
		}
	}()
	c.header = g.forwardedHeader(r.Header)
	if err := g.readPosition(c, r.Header); err != nil {
		return nil, err
	}
	g.readWork(c, r.Header)
	c.fingerprint = quarantine.FingerprintOf(c.body, c.account.Name, c.host, c.method, c.uri)
	g.identifyStream(c)
	return c, nil
}

// readPosition reads the last event that the client has, and the attempt that brought its
// first one.
func (g *Gateway) readPosition(c *call, h http.Header) *walnutramp.Error {
	value := h.Get(g.cfg.Names.EventID)
	if value == "" {
		return nil
	}
	id, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		if c.resumable() {
			return walnutramp.NewError(walnutramp.CodeBadPosition, walnutramp.NotRun, "the last event ID is not a whole number")
		}
		return nil
	}
	c.lastID, c.hasLast = id, true
	var malformed *walnutramp.Error
	c.resumes, malformed = firstAttempt(h.Values(g.cfg.Names.Resumes))
	return malformed
}

// readWork derives the expected engine load, the output limit and the prompt's key from
// the headers, and sets resumed. It does nothing for a plain service, or if the dialect
// has no usage header.
func (g *Gateway) readWork(c *call, h http.Header) {
	n := &g.cfg.Names
	if !c.settings.Engine || n.ParseUsage == nil {
		return
	}
	prompt, out := n.ParseUsage(h.Get(n.Usage))
	c.maxOutput = out
	c.work = balance.Work{PrefillTokens: prompt, MemoryTokens: prompt + out/2} // half of the maximum output is assumed
	parts := strings.Split(h.Get(n.Prefix), ",")
	c.promptKey = strings.TrimSpace(parts[len(parts)-1])
	c.resumed = c.hasLast
}

// identifyStream sets the stream of a call that may resume from a copy, or be resumed from
// one. The attempt is left open if the client takes a stream up without naming it.
func (g *Gateway) identifyStream(c *call) {
	if c.promptKey == "" {
		return
	}
	n := &g.cfg.Names
	first := c.id
	if c.hasLast {
		first = c.resumes
	}
	c.stream = balance.StreamID{
		Content: uint64(quarantine.FingerprintOf(nil, c.fingerprint.String(), c.header.Get(n.Model), c.header.Get(n.Prefix))),
		Attempt: uint64(origins.AttemptOf(c.account.Name, first)),
	}
}

// checkHeader enforces the configured limit on the size of a request's head. White space that
// a client may leave out does not count.
func checkHeader(r *http.Request, limits Limits) *walnutramp.Error {
	if limits.HeaderBytes <= 0 {
		return nil
	}
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(":\r\n")
		}
	}
	if size > limits.HeaderBytes {
		return walnutramp.NewError(walnutramp.CodeHeaderTooLarge, walnutramp.NotRun, "the request head is larger than %d bytes", limits.HeaderBytes)
	}
	return nil
}

// account returns the client account of the values of the API key header, which must be
// exactly one. The account is empty for requests without a valid key, which only open
// routes and tables accept.
func (t *Table) account(keys []string, route *Route) (Account, *walnutramp.Error) {
	if len(keys) == 1 {
		if a, ok := t.Accounts[keys[0]]; ok {
			return a, nil
		}
	}
	if route.AllowAnonymous || t.Open {
		return Account{}, nil
	}
	return Account{}, walnutramp.NewError(walnutramp.CodeBadKey, walnutramp.NotRun, "the API key belongs to no client account")
}

// readDeadline sets the deadline: the route's timeout, or the client's if that is earlier.
func (g *Gateway) readDeadline(c *call, h http.Header) *walnutramp.Error {
	c.deadline = c.arrived.Add(c.route.Timeout)
	c.returnBy = c.arrived.Add(c.route.returnTime())
	value := h.Get(g.cfg.Names.Deadline)
	if value == "" {
		return nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 {
		return walnutramp.NewError(walnutramp.CodeBadRequest, walnutramp.NotRun, "the deadline header is not a whole number of milliseconds, 0 or more")
	}
	requested := c.arrived.Add(time.Duration(ms) * time.Millisecond)
	if requested.Before(c.deadline) {
		c.deadline = requested
	}
	c.returnBy = requested.Add(returnMargin)
	return nil
}

// hopByHopHeaders are not forwarded: those that apply to one connection only, and
// Content-Length and Expect, which the gateway handles itself.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// forwardedHeader returns the headers to forward to targets.
func (g *Gateway) forwardedHeader(h http.Header) http.Header {
	named := hopByHopNamed(h)
	forwarded := make(http.Header, len(h))
	for name, values := range h {
		if !hopByHopHeaders[name] && !named[name] && !g.strip[name] {
			forwarded[name] = values
		}
	}
	return forwarded
}

// hopByHopNamed returns the headers of a request that its Connection header lists as
// hop-by-hop. Names of others take no memory, however many there are.
func hopByHopNamed(h http.Header) map[string]bool {
	var named map[string]bool
	for _, line := range h["Connection"] {
		for option := range strings.SplitSeq(line, ",") {
			name := http.CanonicalHeaderKey(strings.TrimSpace(option))
			if _, ok := h[name]; !ok {
				continue
			}
			if named == nil {
				named = map[string]bool{}
			}
			named[name] = true
		}
	}
	return named
}

// request builds the request for one target. Its Gate charges the retry budget.
func (g *Gateway) request(c *call, t *balance.Target) *targetconn.Request {
	n := &g.cfg.Names
	h := make(http.Header, len(c.header)+6)
	for name, values := range c.header {
		h[name] = values
	}
	left := max(uptime.Until(c.deadline).Milliseconds(), 1)
	h.Set(n.Deadline, strconv.FormatInt(left, 10))
	h.Set(n.Expect, t.ID)
	h.Set(n.Priority, strconv.Itoa(min(max(c.priority, 0), lowestPriority)))
	if c.account.Name != "" {
		h.Set(n.Account, c.account.Name)
	}
	if c.hasLast {
		h.Set(n.EventID, strconv.FormatInt(c.lastID, 10))
	}
	return &targetconn.Request{
		Method: c.method, URI: c.uri, Host: c.host, Header: h, Body: c.body, HasBody: c.hasBody, Identity: c.id,
		Gate: func() error { return g.chargeRetry(c) }, Reuse: c.connectedOnly,
	}
}

// lowestPriority is the least urgent priority that is sent to targets; 0 is the most
// urgent.
const lowestPriority = 9

// endpoint identifies a target for the connection pool. A restarted target is another
// endpoint, even at the same address.
func endpoint(t *balance.Target) targetconn.Endpoint {
	return targetconn.Endpoint{ID: t.Incarnation(), Address: t.Address}
}
