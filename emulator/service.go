package emulator

import (
	"math/rand/v2"
	"sync"
	"time"
)

// ServiceConfig is the configuration of a plain service's server on a shared
// host.
type ServiceConfig struct {
	Slots int // concurrent requests; others queue in FIFO order
	// ChangePeriod is the mean time between changes of the host's speed,
	// SlowPart the fraction of time during which the host is slow, and Slowdown
	// the factor on service times while it is.
	ChangePeriod time.Duration
	SlowPart     float64
	Slowdown     float64
}

// Report is the load reported by a server.
type Report struct {
	Running  int
	Waiting  int
	Slowdown float64 // current factor on service times
}

// Service is an emulated server whose host changes speed at random until Close.
type Service struct {
	cfg   ServiceConfig
	slots chan struct{}

	mu         sync.Mutex
	inProgress int // running and waiting requests
	slowdown   float64
	stopped    chan struct{}
}

// NewService starts a server; rng determines the host's speed over time.
func NewService(cfg ServiceConfig, rng *rand.Rand) *Service {
	s := &Service{cfg: cfg, slots: make(chan struct{}, cfg.Slots), slowdown: 1, stopped: make(chan struct{})}
	go s.varySpeed(rng)
	return s
}

// Close stops the changes of the host's speed.
func (s *Service) Close() { close(s.stopped) }

// varySpeed changes the host's speed at random.
func (s *Service) varySpeed(rng *rand.Rand) {
	for {
		slowdown := 1.0
		if rng.Float64() < s.cfg.SlowPart {
			slowdown = s.cfg.Slowdown
		}
		s.mu.Lock()
		s.slowdown = slowdown
		s.mu.Unlock()
		select {
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(s.cfg.ChangePeriod))):
		case <-s.stopped:
			return
		}
	}
}

// Work processes a request with the given service time on a host at full speed,
// and returns the load after it. The slowdown is that at the start of
// processing.
func (s *Service) Work(serviceTime time.Duration) Report {
	s.mu.Lock()
	s.inProgress++
	s.mu.Unlock()
	s.slots <- struct{}{}
	time.Sleep(time.Duration(float64(serviceTime) * s.Report().Slowdown))
	<-s.slots
	s.mu.Lock()
	s.inProgress--
	s.mu.Unlock()
	return s.Report()
}

// Report returns the current load, as on the health path.
func (s *Service) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := min(s.inProgress, s.cfg.Slots)
	return Report{Running: running, Waiting: s.inProgress - running, Slowdown: s.slowdown}
}
