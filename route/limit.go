package route

import (
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"golang.org/x/time/rate"
)

// usage counts an account's requests on this node and limits their rate.
type usage struct {
	running       int           // requests queued or running
	rate          *rate.Limiter // nil before the first request with a rate limit
	ratePerSecond int           // limit that rate was made for
}

// admit checks the account's limits and counts the request. A resumed request is counted
// but not checked.
func (r *Router) admit(req Request) error {
	u := r.usage[req.Account]
	if u == nil {
		u = &usage{}
		r.usage[req.Account] = u
	}
	if req.Resume {
		u.running++
		return nil
	}
	limits := r.limits(req.Account)
	if limits.Concurrent > 0 && u.running >= limits.Concurrent {
		return walnutramp.NewError(walnutramp.CodeAccountLimit, walnutramp.NotRun,
			"account %s reached its limit of %d concurrent requests", req.Account, limits.Concurrent).WithRetryAfter(retryAfterLimit)
	}
	if !u.allow(limits.RequestsPerSecond) {
		return walnutramp.NewError(walnutramp.CodeAccountLimit, walnutramp.NotRun,
			"account %s exceeds its limit of %d requests per second", req.Account, limits.RequestsPerSecond).WithRetryAfter(retryAfterLimit)
	}
	u.running++
	return nil
}

func (u *usage) allow(perSecond int) bool {
	if perSecond <= 0 {
		return true
	}
	if u.rate == nil || u.ratePerSecond != perSecond {
		u.rate = rate.NewLimiter(rate.Limit(perSecond), perSecond)
		u.ratePerSecond = perSecond
	}
	return u.rate.Allow()
}

// release stops counting a request of the account.
func (r *Router) release(a walnutramp.ClientAccount) {
	if u := r.usage[a]; u != nil {
		u.running--
	}
}

// limits returns an account's limits; none for an account that the bundle lacks.
func (r *Router) limits(name walnutramp.ClientAccount) bundle.Limits {
	for _, a := range r.bundle.Accounts {
		if a.Name == name {
			return a.Limits
		}
	}
	return bundle.Limits{}
}

// retryBudget limits retries to a ratio of first attempts plus a constant rate.
type retryBudget struct {
	mu           sync.Mutex
	ratio        float64
	earned       float64
	constantRate *rate.Limiter
	maxEarned    float64
}

const maxEarnedRetries = 100 // retries that may accumulate

func newRetryBudget(ratio, constantRate float64) *retryBudget {
	return &retryBudget{ratio: ratio, constantRate: rate.NewLimiter(rate.Limit(constantRate), int(max(constantRate, 1))), maxEarned: maxEarnedRetries}
}

// earn adds the budget of one first attempt.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned = min(b.earned+b.ratio, b.maxEarned)
}

// spend takes one retry from the budget, first what was earned, then from the constant
// rate; false if none is left.
func (b *retryBudget) spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.earned >= 1 {
		b.earned--
		return true
	}
	return b.constantRate.AllowN(now, 1)
}
