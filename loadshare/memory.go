package loadshare

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/wal"
	"k8s.io/klog/v2"
)

// memory is what a node with a disk leaves for itself, so that streams find
// their copies, or where their prompts were read, even when all nodes end at
// once. It is written twice: often and without a sync, since a kill leaves
// files as they were, and now and then with one, for a loss of power.
type memory struct {
	At     int64 // unix nanoseconds
	Peers  []string
	Traces []balance.Trace
	Ends   []endNote // of targets under requests, as old as they were then
}

const (
	// SaveEvery is the shortest time between two writings.
	SaveEvery = 50 * time.Millisecond
	// syncEvery is the shortest time between two writings with a sync: what
	// is known of a run after a second lasts, and the disk is left to the
	// control group.
	syncEvery = time.Second
	// memoryLife is how old what is read may be. Copies live for a shorter
	// time, prompts stay in engines' caches for about as long.
	memoryLife = 30 * time.Second
	// syncedSuffix names the file that is written with a sync.
	syncedSuffix = ".synced"
)

// Option sets how a Sharer works.
type Option func(*Sharer)

// WithMemory keeps the traces of runs in a file over a restart, and beside it
// in another one over a loss of power.
func WithMemory(file string) Option { return func(s *Sharer) { s.file = file } }

// recall reads what this node left, the newer of its two files.
func (s *Sharer) recall() {
	m, age := newerMemory(readMemory(s.file), readMemory(s.file+syncedSuffix))
	s.recallEnds(m, age)
	if age < 0 || age > memoryLife {
		return
	}
	klog.InfoS("Traces read", "runs", len(m.Traces), "age", age, "peers", len(m.Peers))
	s.SetPeers(peersAt(m.Peers))
	s.tracker.Remember(m.Traces, age)
	s.Changed()
}

// peersAt returns peers of which only the addresses are known.
func peersAt(addresses []string) []Peer {
	peers := make([]Peer, len(addresses))
	for i, a := range addresses {
		peers[i].Address = a
	}
	return peers
}

// recallEnds takes the notes of targets that ended under requests, which count
// for longer than traces do. Where the time of day was set back meanwhile, they
// are held to be newer than they are.
func (s *Sharer) recallEnds(m memory, age time.Duration) {
	notes := decodeEnds(m.Ends)
	for i := range notes {
		notes[i].Age += max(0, age)
	}
	s.ledger.Take(notes)
}

// newerMemory returns the newer of two memories and its age.
func newerMemory(a, b memory) (memory, time.Duration) {
	if b.At > a.At {
		a = b
	}
	return a, time.Since(time.Unix(0, a.At))
}

// readMemory reads a file, or returns a memory of nothing, as old as can be.
func readMemory(file string) memory {
	text, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return memory{}
	}
	var m memory
	if err == nil {
		err = msgpack.Unmarshal(text, &m)
	}
	if err != nil {
		klog.InfoS("Traces not read", "file", file, "err", err)
		return memory{}
	}
	return m
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
	var synced time.Time
	for pause.For(ctx, SaveEvery) {
		select {
		case <-s.news:
		case <-ctx.Done():
			return
		}
		text, err := s.encodeMemory()
		if err == nil {
			err = os.WriteFile(s.file, text, 0o600)
		}
		if err == nil && time.Since(synced) >= syncEvery {
			synced = time.Now()
			err = writeSynced(s.file+syncedSuffix, text)
		}
		if err != nil {
			klog.V(1).InfoS("Traces not written", "err", err)
		}
	}
}

// encodeMemory returns what this node knows.
func (s *Sharer) encodeMemory() ([]byte, error) {
	m := memory{At: time.Now().UnixNano(), Traces: s.tracker.Traces(), Ends: s.allEnds()}
	s.mu.Lock()
	for address := range s.peers {
		m.Peers = append(m.Peers, address)
	}
	s.mu.Unlock()
	return msgpack.Marshal(m)
}

// writeSynced puts a whole file in place of the one before it.
func writeSynced(file string, text []byte) error {
	dir, name := wal.Dir(filepath.Dir(file)), filepath.Base(file)
	f, err := dir.Create(name + ".new")
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.Write(text); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	return dir.Rename(name+".new", name)
}
