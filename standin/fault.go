package standin

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"
)

// FaultKind is the kind of an injected fault.
type FaultKind string

// Kinds of faults.
const (
	FaultNone   FaultKind = ""
	FaultDie    FaultKind = "die"    // the engine closes, all connections break
	FaultPause  FaultKind = "pause"  // requests and streams block until the fault is cleared
	FaultStall  FaultKind = "stall"  // requests are accepted, but streams block until the fault is cleared
	FaultReset  FaultKind = "reset"  // one connection breaks, its stream continues
	FaultDouble FaultKind = "double" // each token is sent twice
	FaultSlow   FaultKind = "slow"   // the time between tokens is multiplied by Factor
)

// Fault is an injected fault.
type Fault struct {
	Kind    FaultKind     `json:"kind"`
	AtToken int           `json:"at_token"` // die, reset: triggered by the first stream that sends this token
	For     time.Duration `json:"for"`      // the fault is cleared after this time; 0 for never
	Factor  float64       `json:"factor"`   // for slow
}

// SetFault injects a fault; the zero Fault clears it. FaultDie without AtToken takes
// effect at once.
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

// faults is the current fault of an engine.
type faults struct {
	mu      sync.Mutex
	fault   Fault
	cleared chan struct{} // closed when a pause or stall ends; nil if there is none
}

func (f *faults) set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
	if f.cleared != nil {
		close(f.cleared)
		f.cleared = nil
	}
	if fault.Kind == FaultPause || fault.Kind == FaultStall {
		f.cleared = make(chan struct{})
	}
}

// waitCleared blocks while the engine is paused or stalled. It returns false if ctx
// ended.
func (f *faults) waitCleared(ctx context.Context) bool {
	for {
		f.mu.Lock()
		cleared := f.cleared
		f.mu.Unlock()
		if cleared == nil {
			return ctx.Err() == nil
		}
		select {
		case <-cleared:
		case <-ctx.Done():
			return false
		}
	}
}

// atToken returns the fault to apply when token n is sent. Reset and die occur once.
func (f *faults) atToken(n int) FaultKind {
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

// pauseHandler blocks requests while the engine is paused, except those to /fault.
func (f *faults) pauseHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		paused := f.fault.Kind == FaultPause
		f.mu.Unlock()
		if paused && !strings.HasPrefix(r.URL.Path, "/fault") && !f.waitCleared(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
