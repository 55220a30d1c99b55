package control

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp/discovery"
)

// Roster is the leader's newest reading of the site's list of targets. Entries
// get it with the word on the newest document, so that one node reads the list
// for all of them.
type Roster struct {
	mu      sync.Mutex
	encoded []byte
	version uint64 // hash of the list; 0 before the first
	read    time.Time
	changed chan struct{}
}

// NewRoster returns a roster without a list.
func NewRoster() *Roster { return &Roster{changed: make(chan struct{})} }

// RosterReply is a list of targets, or the word that the asker's is the same.
type RosterReply struct {
	Version uint64
	List    []byte        // where the asker's version is another
	Age     time.Duration // since the list was read
}

// Set takes a reading.
func (r *Roster) Set(list []discovery.Target) {
	encoded, err := msgpack.Marshal(list)
	if err != nil {
		panic(err) // these types always encode
	}
	version := max(1, xxhash.Sum64(encoded))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.read = time.Now()
	if version == r.version {
		return
	}
	r.encoded, r.version = encoded, version
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Roster) since(version uint64) RosterReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := RosterReply{Version: r.version, Age: time.Since(r.read)}
	if version != r.version {
		reply.List = r.encoded
	}
	return reply
}

func (r *Roster) watch(version uint64) (changed <-chan struct{}, other bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed, r.version != 0 && r.version != version
}

// Targets decodes the list.
func (r RosterReply) Targets() ([]discovery.Target, error) {
	var list []discovery.Target
	return list, msgpack.Unmarshal(r.List, &list)
}
