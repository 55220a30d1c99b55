package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/rollout"
	"github.com/walnutramp/walnutramp/targetconn"
)

// call is one request of a client.
type call struct {
	id       string
	route    *Route
	service  string
	engine   Service
	account  Account
	method   string
	uri      string
	host     string
	header   http.Header // as passed on, before what each target gets
	body     []byte
	hasBody  bool
	arrived  time.Time
	deadline time.Time
	priority int
	rank     int    // of its priority: how many more urgent ones there are
	version  uint64 // of the configuration that decided its route
	lastID   int64  // of the last event the client has
	hasLast  bool
	work     balance.Work
	out      int                      // most tokens that come out
	key      string                   // names what the request reads; one that comes again has the same
	again    bool                     // the client has part of the answer
	tried    map[*balance.Target]bool // may have run it
	turned   map[*balance.Target]bool // did not run it
	turns    int                      // targets that were asked
	sent     int                      // targets that may have begun the request
	reached  bool                     // a target may have run it
	asked    bool                     // a target was reached, if only to turn it away
	failed   map[string]int           // targets that failed it, by data hall
	noRoom   bool                     // there are targets, but none has room
	restLeft time.Duration            // how long all targets rest; 0 if one does not
	paid     balance.Repeat           // that has not arrived yet
	watched  *rollout.Request         // the newest try, while its service has a roll-out
	metered  bool                     // it was counted for its account
	content  quarantine.Fingerprint   // the same whenever the client sends it again
	sentAt   time.Time                // when the newest try was sent
	look     *quarantine.Look         // whether the target that broke off last has ended
}

// open reads and checks a request.
func (g *Gateway) open(w http.ResponseWriter, r *http.Request, arrived time.Time) (*call, *walnutramp.Error) {
	table := g.table.Load()
	if table == nil {
		return nil, walnutramp.NewError(walnutramp.CodeNotInForce, walnutramp.NotRun, "no configuration is known here yet").WithRetryAfter(retryOther)
	}
	if !g.holdsLease() {
		return nil, walnutramp.NewError(walnutramp.CodeNotInForce, walnutramp.NotRun, "this node is cut off from the control group").WithRetryAfter(retryOther)
	}
	if err := checkHeader(r, table.Limits); err != nil {
		return nil, err
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := table.Route(r.Host, path)
	if route == nil {
		return nil, walnutramp.NewError(walnutramp.CodeUnknownPath, walnutramp.NotRun, "no route leads there")
	}
	account, err := table.account(r.Header.Values(g.cfg.Names.Key), route)
	if err != nil {
		return nil, err
	}
	c := &call{
		id: r.Header.Get(g.cfg.Names.Identity), route: route, service: route.Service(), account: account,
		method: r.Method, uri: r.RequestURI, host: r.Host, arrived: arrived, tried: map[*balance.Target]bool{},
		turned: map[*balance.Target]bool{}, failed: map[string]int{},
		priority: route.Priority, version: table.Version,
	}
	if account.HasPriority {
		c.priority = account.Priority
	}
	c.rank = table.ranks[c.priority]
	c.engine = table.Services[c.service]
	if err := g.readDeadline(c, r.Header); err != nil {
		return nil, err
	}
	if err := g.readBody(c, w, r, table.Limits); err != nil {
		return nil, err
	}
	c.header = g.passedHeader(r.Header)
	if id, err := strconv.ParseInt(r.Header.Get(g.cfg.Names.EventID), 10, 64); err == nil {
		c.lastID, c.hasLast = id, true
	}
	g.readWork(c, r.Header)
	c.content = quarantine.FingerprintOf(c.body, c.account.Name, c.host, c.method, c.uri)
	return c, nil
}

// readWork takes what a request asks of an engine.
func (g *Gateway) readWork(c *call, h http.Header) {
	n := &g.cfg.Names
	if !c.engine.Engine || n.ParseUsage == nil {
		return
	}
	prompt, out := n.ParseUsage(h.Get(n.Usage))
	c.out = out
	c.work = balance.Work{Read: prompt, Hold: prompt + out/2}
	parts := strings.Split(h.Get(n.Prefix), ",")
	c.key = strings.TrimSpace(parts[len(parts)-1])
	c.again = c.hasLast
}

// checkHeader applies the configuration's bound on a request's head.
func checkHeader(r *http.Request, limits Limits) *walnutramp.Error {
	if limits.HeaderBytes <= 0 {
		return nil
	}
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	if size > limits.HeaderBytes {
		return walnutramp.NewError(walnutramp.CodeHeaderTooLarge, walnutramp.NotRun, "the head has more than %d bytes", limits.HeaderBytes)
	}
	return nil
}

// account returns whose key a request carries.
func (t *Table) account(keys []string, route *Route) (Account, *walnutramp.Error) {
	if t.Accounts == nil {
		return Account{}, nil
	}
	if len(keys) == 1 {
		if a, ok := t.Accounts[keys[0]]; ok {
			return a, nil
		}
	}
	if route.Open {
		return Account{}, nil
	}
	return Account{}, walnutramp.NewError(walnutramp.CodeBadKey, walnutramp.NotRun, "the key belongs to no account")
}

// readDeadline works out until when the request may be held.
func (g *Gateway) readDeadline(c *call, h http.Header) *walnutramp.Error {
	c.deadline = c.arrived.Add(c.route.Timeout)
	value := h.Get(g.cfg.Names.Deadline)
	if value == "" {
		return nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 {
		return walnutramp.NewError(walnutramp.CodeBadRequest, walnutramp.NotRun, "the deadline is not a whole number of milliseconds")
	}
	if own := c.arrived.Add(time.Duration(ms) * time.Millisecond); own.Before(c.deadline) {
		c.deadline = own
	}
	return nil
}

// readBody takes the whole body, so that it can be sent again.
func (g *Gateway) readBody(c *call, w http.ResponseWriter, r *http.Request, limits Limits) *walnutramp.Error {
	c.hasBody = r.ContentLength != 0 || r.Header.Get("Content-Length") != ""
	if !c.hasBody {
		return nil
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = g.cfg.MaxBuffered
	}
	if r.ContentLength > limit {
		return bodyTooLarge(limit)
	}
	if g.buffered.Load() > g.cfg.MaxBuffered {
		return walnutramp.NewError(walnutramp.CodeOverloaded, walnutramp.NotRun, "too many request bodies are held").WithRetryAfter(retryBusy)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return bodyTooLarge(limit)
	}
	if err != nil {
		return walnutramp.NewError(walnutramp.CodeBadRequest, walnutramp.NotRun, "the body broke off")
	}
	g.buffered.Add(int64(len(body)))
	c.body = body
	return nil
}

func bodyTooLarge(limit int64) *walnutramp.Error {
	return walnutramp.NewError(walnutramp.CodeBodyTooLarge, walnutramp.NotRun, "the body has more than %d bytes", limit)
}

// connectionHeaders concern one connection only.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// passedHeader returns the headers that travel along.
func (g *Gateway) passedHeader(h http.Header) http.Header {
	named := connectionNamed(h)
	passed := make(http.Header, len(h))
	for name, values := range h {
		if !connectionHeaders[name] && !named[name] && !g.strip[name] {
			passed[name] = values
		}
	}
	return passed
}

// connectionNamed returns the headers that the Connection header names.
func connectionNamed(h http.Header) map[string]bool {
	var named map[string]bool
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if named == nil {
				named = map[string]bool{}
			}
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// request returns the call as one target gets it.
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
		Gate: func() error { return g.payAtSend(c) },
	}
}

const lowestPriority = 9

func endpoint(t *balance.Target) targetconn.Endpoint {
	return targetconn.Endpoint{ID: t.Life(), Address: t.Address}
}
