package gateway

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/origins"
	"k8s.io/klog/v2"
)

// A client may take a stream up at any node. That node asks others which service and software
// version began it; see package origins.

// returnTime is how long after its arrival a request may be taken up by a client that names
// no deadline: a second attempt as long as the first.
func (r *Route) returnTime() time.Duration { return 2 * r.Timeout }

// returnMargin is how long after its deadline a client may still come back: it measures that
// from when it sent its first attempt.
const returnMargin = time.Second

// originKey returns the key under which the origin of a call's stream is kept.
func (c *call) originKey() origins.Key {
	return origins.KeyOf(c.account.Name, uint64(c.fingerprint))
}

// record returns the record of a bound call's stream.
func (c *call) record(attempt origins.Attempt) origins.Record {
	return origins.Record{
		Key: c.originKey(), Attempt: attempt, Origin: origins.Origin{Service: c.service, Software: c.binding.software},
		TTL: uptime.Until(c.returnBy),
	}
}

// bindResumed binds a stream that a client takes up to the service and software version that
// began it. It returns an error if these are not known, or don't serve the route any more.
func (g *Gateway) bindResumed(ctx context.Context, c *call) *walnutramp.Error {
	if !c.resumable() || !c.hasLast {
		return nil
	}
	q := origins.Question{Key: c.originKey(), Attempt: origins.AttemptOf(c.account.Name, c.resumes), Window: c.route.returnTime()}
	if len(c.route.Split) == 1 {
		q.Service = c.service
	}
	origin, source, known := g.findOrigin(ctx, c, q)
	g.counters.streamResumed(source)
	klog.InfoS("Client takes a stream up", "request", c.id, "resumes", c.resumes, "last", c.lastID, "known", known, "source", source,
		"service", origin.Service, "software", origin.Software, "ms", uptime.Since(c.arrived).Milliseconds())
	switch {
	case !known && source == origins.NoAnswers:
		return errVersionUnknown().WithRetryAfter(retryAtOtherNode)
	case !known:
		return errVersionUnknown()
	case !c.route.leadsTo(origin.Service):
		return errVersionGone()
	}
	c.service, c.settings = origin.Service, g.table.Load().Services[origin.Service]
	c.binding = boundTo(origin.Software)
	g.cfg.Origins.Renew(ctx, c.record(q.Attempt))
	return nil
}

// findOrigin returns the origin of a stream that a client takes up, also if a node of an older
// build keeps it.
func (g *Gateway) findOrigin(ctx context.Context, c *call, q origins.Question) (origins.Origin, origins.Source, bool) {
	origin, source, known := g.cfg.Origins.Find(ctx, q)
	if known {
		return origin, source, true
	}
	q.Key = origins.KeyWithRoute(c.account.Name, c.route.Name, uint64(c.fingerprint))
	if older, from, known := g.cfg.Origins.Find(ctx, q); known && from != origins.FromOnlyVersion {
		return older, from, true
	}
	return origin, source, false
}

// leadsTo reports whether a route leads to a service.
func (r *Route) leadsTo(service string) bool {
	return slices.ContainsFunc(r.Split, func(s WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// maxAttemptName bounds the ID of an attempt that a client names, in bytes.
const maxAttemptName = 128

// firstAttempt returns the attempt that a client names as the first of the stream that it
// takes up; empty if it names none.
func firstAttempt(values []string) (string, *walnutramp.Error) {
	if len(values) == 0 || len(values) == 1 && values[0] == "" {
		return "", nil
	}
	malformed := len(values) > 1 || len(values[0]) > maxAttemptName ||
		strings.ContainsFunc(values[0], func(r rune) bool { return r <= ' ' || r >= 0x7f })
	if malformed {
		return "", walnutramp.NewError(walnutramp.CodeBadRequest, walnutramp.NotRun, "the header that names the attempt to resume is not one ID of at most %d visible ASCII characters", maxAttemptName)
	}
	return values[0], nil
}

// errVersionUnknown is the error of a resumed stream of which nobody knows the version.
func errVersionUnknown() *walnutramp.Error {
	return walnutramp.NewError(walnutramp.CodeVersionUnknown, walnutramp.NotRun, "the software version that began the stream is not known")
}

// errVersionGone is the error of a call that has not run and whose version has no targets any
// more.
func errVersionGone() *walnutramp.Error {
	return walnutramp.NewError(walnutramp.CodeVersionGone, walnutramp.NotRun, "no target of the software version that began the stream is left")
}
