package balance

import (
	"time"

	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// versionCount counts the listed targets of one software version of a service.
type versionCount struct {
	listed   int
	draining int       // of these
	lastAt   time.Time // when the last one was removed, if none is listed
}

// versionMemory is how long a version is remembered that is not listed any more.
const versionMemory = 10 * time.Minute

// countVersion adds or removes a target from the count of its version.
func (p *pool) countVersion(t *Target, sign int) {
	if p.versions == nil {
		p.versions = map[string]*versionCount{}
	}
	n := p.versions[t.Version]
	if n == nil {
		n = &versionCount{}
		p.versions[t.Version] = n
	}
	n.listed += sign
	if t.State == discovery.TargetDraining {
		n.draining += sign
	}
	if n.listed == 0 {
		n.lastAt = uptime.Now()
	}
}

// VersionsWithin returns the versions of a service's targets that were listed within a
// window, and how long this node has had a list.
func (t *Tracker) VersionsWithin(service string, window time.Duration) (versions []string, covered time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstListAt.IsZero() {
		return nil, 0
	}
	p := t.poolOf(service)
	now := uptime.Now()
	for version, n := range p.versions {
		since := now.Sub(n.lastAt)
		switch {
		case n.listed > 0 || since <= window:
			versions = append(versions, version)
		case since > versionMemory:
			delete(p.versions, version)
		}
	}
	return versions, now.Sub(t.firstListAt)
}

// OffersVersion reports whether targets of a software version are listed that are not
// draining, whether or not they take requests now.
func (t *Tracker) OffersVersion(service, version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.poolOf(service).versions[version]
	return n != nil && n.listed > n.draining
}

// Offers reports whether a service has a target that is not draining.
func (t *Tracker) Offers(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range t.poolOf(service).versions {
		if n.listed > n.draining {
			return true
		}
	}
	return false
}

// minVersionTargets is the number of targets that a version needs to continue the streams of
// one that ends.
const minVersionTargets = 2

// dwindling reports whether a version has too few targets left to begin long streams there:
// fewer than minVersionTargets that are not draining, or at least half of them draining.
func (n *versionCount) dwindling() bool {
	return n.listed-n.draining < minVersionTargets || 2*n.draining >= n.listed
}

// DwindlingVersions returns the versions of a service at which long streams should not begin,
// if there are others.
func (t *Tracker) DwindlingVersions(service string) (versions []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	lasting := false
	for version, n := range t.poolOf(service).versions {
		switch {
		case n.listed == 0:
		case n.dwindling():
			versions = append(versions, version)
		default:
			lasting = true
		}
	}
	if !lasting {
		return nil
	}
	return versions
}
