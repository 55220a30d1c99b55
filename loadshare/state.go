package loadshare

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/origins"
	"github.com/walnutramp/walnutramp/wal"
	"k8s.io/klog/v2"
)

// savedState is the state file of a node. It lets streams find their KV-cache copies,
// or the target that read their prompts, after a restart of all nodes. It is written
// often without fsync, which survives a kill, and less often with fsync to a second
// file, which survives a power loss.
type savedState struct {
	At     int64 // unix nanoseconds
	Peers  []string
	Traces []balance.Trace
	Ends   []crashReport // their ages are as of At
}

const (
	// saveInterval is the minimum time between writes.
	saveInterval = 50 * time.Millisecond
	// syncInterval is the minimum time between writes with fsync, which compete
	// with the control group for the disk.
	syncInterval = time.Second
	// savedStateMaxAge is the maximum age of state that is restored. Engines keep
	// prompts cached for about as long, and copies for less.
	savedStateMaxAge = 30 * time.Second
	// syncedSuffix is appended to the name of the file written with fsync.
	syncedSuffix = ".synced"
	// originsSuffix is appended to the name of the file with the origins of streams, which
	// is always written with fsync.
	originsSuffix = ".origins"
)

// Option configures a Sharer.
type Option func(*Sharer)

// WithStateFile stores the traces of runs in a file that survives a restart, and next to
// it in another one that survives a power loss.
func WithStateFile(file string) Option { return func(s *Sharer) { s.stateFile = file } }

// restore loads the newer of the node's two state files. State older than
// savedStateMaxAge is dropped except for the crash reports.
func (s *Sharer) restore() {
	s.restoreOrigins()
	m, age := newerState(readState(s.stateFile), readState(s.stateFile+syncedSuffix))
	s.restoreCrashes(m, age)
	if age < 0 || age > savedStateMaxAge {
		return
	}
	klog.InfoS("Restored traces from state file", "runs", len(m.Traces), "age", age, "peers", len(m.Peers))
	s.SetPeers(peersFromAddresses(m.Peers))
	s.tracker.RestoreTraces(m.Traces, age)
	s.Changed()
}

// peersFromAddresses returns peers whose data hall is not known.
func peersFromAddresses(addresses []string) []Peer {
	peers := make([]Peer, len(addresses))
	for i, a := range addresses {
		peers[i].Address = a
	}
	return peers
}

// restoreCrashes restores the crash reports, which stay valid for longer than traces.
// If the clock was set back meanwhile, their ages are taken as written.
func (s *Sharer) restoreCrashes(m savedState, age time.Duration) {
	crashes := decodeCrashes(m.Ends)
	for i := range crashes {
		crashes[i].Age += max(0, age)
	}
	s.ledger.Merge(crashes)
}

// newerState returns the newer of two states and its age, negative if the clock was set
// back.
func newerState(a, b savedState) (savedState, time.Duration) {
	if b.At > a.At {
		a = b
	}
	return a, time.Since(time.Unix(0, a.At))
}

// readState reads a state file. It returns the zero state if that fails.
func readState(file string) savedState { return readFile[savedState](file) }

// readFile reads a file written by this package. It returns the zero value if that fails.
func readFile[T any](file string) (m T) {
	text, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return m
	}
	if err == nil {
		err = msgpack.Unmarshal(text, &m)
	}
	if err != nil {
		klog.InfoS("Failed to read state file", "file", file, "err", err)
		var none T
		return none
	}
	return m
}

// savedOrigins is the file with the origins of streams.
type savedOrigins struct {
	At      int64 // unix nanoseconds
	Records []originRecord
}

// saveOrigins writes the origins of streams.
func (s *Sharer) saveOrigins() error {
	if s.origins == nil {
		return nil
	}
	m := savedOrigins{At: time.Now().UnixNano()}
	for _, r := range s.origins.Records(func(origins.Key) bool { return true }) {
		m.Records = append(m.Records, encodeOrigin(r))
	}
	text, err := msgpack.Marshal(m)
	if err != nil {
		return err
	}
	return writeSynced(s.stateFile+originsSuffix, text)
}

// restoreOrigins restores the origins of streams that have not expired. If the clock was set
// back meanwhile, the times left are taken as written.
func (s *Sharer) restoreOrigins() {
	if s.origins == nil {
		return
	}
	m := readFile[savedOrigins](s.stateFile + originsSuffix)
	age := max(0, time.Since(time.Unix(0, m.At)))
	for i := range m.Records {
		if r, ok := m.Records[i].record(); ok {
			r.TTL -= age
			r.Restored = true
			s.origins.Put(r)
		}
	}
	klog.InfoS("Restored origins of streams", "records", len(m.Records), "age", age)
}

// requestSave signals that the state has changed.
func (s *Sharer) requestSave() {
	select {
	case s.saveSignal <- struct{}{}:
	default:
	}
}

// saveLoop writes the state file. It runs in its own goroutine so that a hanging disk
// does not block messages.
func (s *Sharer) saveLoop(ctx context.Context) {
	var synced time.Time
	for pause.For(ctx, saveInterval) {
		select {
		case <-s.saveSignal:
		case <-ctx.Done():
			return
		}
		text, err := s.encodeState()
		if err == nil {
			err = os.WriteFile(s.stateFile, text, 0o600)
		}
		if err == nil && time.Since(synced) >= syncInterval {
			synced = time.Now()
			err = errors.CombineErrors(writeSynced(s.stateFile+syncedSuffix, text), s.saveOrigins())
		}
		if err != nil {
			klog.V(1).InfoS("Failed to write state file", "err", err)
		}
	}
}

// encodeState returns the encoded state of this node.
func (s *Sharer) encodeState() ([]byte, error) {
	m := savedState{At: time.Now().UnixNano(), Traces: s.tracker.Traces(), Ends: s.allCrashes()}
	s.mu.Lock()
	for address := range s.peers {
		m.Peers = append(m.Peers, address)
	}
	s.mu.Unlock()
	return msgpack.Marshal(m)
}

// writeSynced atomically replaces a file, with fsync.
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
