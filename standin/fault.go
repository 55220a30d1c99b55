package standin

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"
)

// FaultKind names a way to fail.
type FaultKind string

// The faults of a stand-in.
const (
	FaultNone   FaultKind = ""
	FaultDie    FaultKind = "die"    // every connection breaks, the process is gone
	FaultPause  FaultKind = "pause"  // nothing moves until the fault is lifted
	FaultStall  FaultKind = "stall"  // answers are taken, but no token comes out
	FaultReset  FaultKind = "reset"  // one connection breaks, the stream runs on
	FaultDouble FaultKind = "double" // every token is sent twice
	FaultSlow   FaultKind = "slow"   // Factor times as slow
)

// Fault is a way to fail and when.
type Fault struct {
	Kind    FaultKind     `json:"kind"`
	AtToken int           `json:"at_token"` // die and reset: at the first stream that reaches this token
	For     time.Duration `json:"for"`      // pause, stall: lifted after this; 0 stays
	Factor  float64       `json:"factor"`   // slow
}

// SetFault makes the engine fail so from now on; the zero Fault lifts it.
// FaultDie without a token acts at once.
func (e *Engine) SetFault(f Fault) {
	if f.Kind == FaultDie && f.AtToken == 0 {
		go e.Close()
		return
	}
	e.faults.set(f)
	if f.For <= 0 {
		return
	}
	e.tasks.Add(1)
	go func() {
		defer e.tasks.Done()
		select {
		case <-time.After(f.For):
		case <-e.ctx.Done():
		}
		e.faults.set(Fault{})
	}()
}

type faults struct {
	mu     sync.Mutex
	fault  Fault
	lifted chan struct{} // closed when a pause or stall ends
}

func (f *faults) set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
	if f.lifted != nil {
		close(f.lifted)
		f.lifted = nil
	}
	if fault.Kind == FaultPause || fault.Kind == FaultStall {
		f.lifted = make(chan struct{})
	}
}

// passable waits while the engine is paused or stalled; false means ctx ended.
func (f *faults) passable(ctx context.Context) bool {
	for {
		f.mu.Lock()
		lifted := f.lifted
		f.mu.Unlock()
		if lifted == nil {
			return ctx.Err() == nil
		}
		select {
		case <-lifted:
		case <-ctx.Done():
			return false
		}
	}
}

// onToken says which fault strikes as token n is sent.
func (f *faults) onToken(n int) FaultKind {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.fault.Kind {
	case FaultDouble:
		return FaultDouble
	case FaultReset, FaultDie:
		if n != f.fault.AtToken {
			return FaultNone
		}
		kind := f.fault.Kind
		f.fault = Fault{}
		return kind
	}
	return FaultNone
}

func (f *faults) slowdown() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault.Kind == FaultSlow {
		return f.fault.Factor
	}
	return 1
}

// gate holds every request back while the engine is paused, except the one
// that changes the fault.
func (f *faults) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		paused := f.fault.Kind == FaultPause
		f.mu.Unlock()
		if paused && !strings.HasPrefix(r.URL.Path, "/fault") && !f.passable(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
