package loadshare

import (
	"context"
	"os"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/pause"
	"k8s.io/klog/v2"
)

// memory is what a node with a disk leaves for itself, so that streams find
// their copies even when all nodes are killed at once. It is written without
// a sync: a kill leaves files as they were, and after a loss of power the
// copies are gone before the clients come again.
type memory struct {
	At     int64 // unix nanoseconds
	Peers  []string
	Traces []balance.Trace
}

const (
	// SaveEvery is the shortest time between two writings.
	SaveEvery = 50 * time.Millisecond
	// memoryLife is how old what is read may be: copies live about as long.
	memoryLife = 4 * time.Second
)

// Option sets how a Sharer works.
type Option func(*Sharer)

// WithMemory keeps the traces of runs in a file over a restart.
func WithMemory(file string) Option { return func(s *Sharer) { s.file = file } }

// recall reads what this node left.
func (s *Sharer) recall() {
	text, err := os.ReadFile(s.file)
	if err != nil {
		return
	}
	var m memory
	if err := msgpack.Unmarshal(text, &m); err != nil {
		klog.InfoS("Traces not read", "err", err)
		return
	}
	age := time.Since(time.Unix(0, m.At))
	if age < 0 || age > memoryLife {
		return
	}
	klog.InfoS("Traces read", "runs", len(m.Traces), "age", age, "peers", len(m.Peers))
	s.SetPeers(m.Peers)
	s.tracker.Remember(m.Traces)
	s.Changed()
}

// note says that there is something new to write down.
func (s *Sharer) note() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// keepMemory writes what is new. It is a task of its own: a disk that hangs
// must not hold up what nodes tell each other.
func (s *Sharer) keepMemory(ctx context.Context) {
	for pause.For(ctx, SaveEvery) {
		select {
		case <-s.news:
			s.save()
		case <-ctx.Done():
			return
		}
	}
}

// save writes what this node knows.
func (s *Sharer) save() {
	m := memory{At: time.Now().UnixNano(), Traces: s.tracker.Traces()}
	s.mu.Lock()
	for address := range s.peers {
		m.Peers = append(m.Peers, address)
	}
	s.mu.Unlock()
	text, err := msgpack.Marshal(m)
	if err == nil {
		err = os.WriteFile(s.file, text, 0o600)
	}
	if err != nil {
		klog.V(1).InfoS("Traces not written", "err", err)
	}
}
