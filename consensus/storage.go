package consensus

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/wal"
)

const (
	logFileName      = "consensus.log"
	commitFileName   = "consensus.commit"
	commitRecordSize = 12 // size of a commit record: index and CRC-32
)

// stored is one record of the log file; exactly one field is set.
type stored struct {
	Vote     *ballot   `msgpack:"v,omitempty"`
	Entry    *Entry    `msgpack:"e,omitempty"` // replaces all entries from its index on
	Snapshot *Snapshot `msgpack:"s,omitempty"`
}

// ballot is the persisted term and vote.
type ballot struct {
	Term  uint64
	Voted walnutramp.NodeName
}

// storage is a member's persistent state. disk guards the log, and the member's
// mutex the other fields. A writer acquires disk while it holds the member's
// mutex; a leader writing its own entries then releases the mutex.
type storage struct {
	fs       wal.FS
	ballot   ballot
	snapshot Snapshot
	entries  []Entry // after the snapshot
	staged   []Entry // tail of entries that no write has taken yet
	synced   uint64  // last index that is synced to disk

	disk    sync.Mutex
	log     *wal.Log
	refused [][]byte // entries that a full disk has refused; they precede the next write
}

// openStorage loads the persisted state. An existing log keeps its group. A new
// one starts with the founding group; if that is empty, the member waits to be
// added.
func openStorage(fs wal.FS, founding Group) (*storage, error) {
	log, records, err := wal.Open(fs, logFileName)
	if err != nil {
		return nil, err
	}
	s := &storage{fs: fs, log: log, snapshot: Snapshot{Group: founding}}
	for _, r := range records {
		if err := s.replay(r); err != nil {
			return nil, err
		}
	}
	s.synced = s.lastIndex()
	if len(records) == 0 && len(founding.Voters) > 0 {
		return s, s.saveFounding()
	}
	return s, nil
}

// saveFounding persists the founding group, since another one may be passed at
// the next start.
func (s *storage) saveFounding() error {
	record, err := encodeRecord(stored{Snapshot: &s.snapshot})
	if err != nil {
		return err
	}
	return s.log.Append(record)
}

// saveCommitIndex writes the commit index, unsynced. It lets a restarted member
// apply committed entries before a leader is elected.
func (s *storage) saveCommitIndex(index uint64) error {
	f, err := s.fs.Create(commitFileName)
	if err != nil {
		return err
	}
	defer f.Close()
	record := binary.LittleEndian.AppendUint64(nil, index)
	record = binary.LittleEndian.AppendUint32(record, crc32.ChecksumIEEE(record))
	_, err = f.Write(record)
	return err
}

// loadCommitIndex returns the index written by saveCommitIndex, or 0.
func (s *storage) loadCommitIndex() uint64 {
	record, err := s.fs.ReadFile(commitFileName)
	if err != nil || len(record) != commitRecordSize {
		return 0
	}
	index := binary.LittleEndian.Uint64(record)
	if crc32.ChecksumIEEE(record[:8]) != binary.LittleEndian.Uint32(record[8:]) {
		return 0
	}
	return min(index, s.lastIndex())
}

func (s *storage) replay(record []byte) error {
	var r stored
	if err := msgpack.Unmarshal(record, &r); err != nil {
		return errors.Wrap(err, "decode record of consensus.log")
	}
	switch {
	case r.Vote != nil:
		s.ballot = *r.Vote
	case r.Snapshot != nil:
		s.snapshot = *r.Snapshot
		s.entries = nil
	case r.Entry != nil:
		return s.place(*r.Entry)
	}
	return nil
}

// place puts an entry at its index and drops any entries from there on. It fails
// if the index is compacted or leaves a gap.
func (s *storage) place(e Entry) error {
	at := int(e.Index) - int(s.snapshot.Index) - 1
	if at < 0 || at > len(s.entries) {
		return errors.Newf("entry %d is neither in the log nor next after entry %d", e.Index, s.lastIndex())
	}
	s.entries = append(s.entries[:at:at], e)
	return nil
}

func (s *storage) lastIndex() uint64 { return s.snapshot.Index + uint64(len(s.entries)) }

func (s *storage) lastTerm() uint64 {
	t, _ := s.term(s.lastIndex())
	return t
}

// term returns the term of an entry; false if the entry is compacted or does
// not exist.
func (s *storage) term(index uint64) (uint64, bool) {
	if index == s.snapshot.Index {
		return s.snapshot.Term, true
	}
	e, ok := s.entry(index)
	return e.Term, ok
}

func (s *storage) entry(index uint64) (Entry, bool) {
	if index <= s.snapshot.Index || index > s.lastIndex() {
		return Entry{}, false
	}
	return s.entries[index-s.snapshot.Index-1], true
}

// from returns up to limit entries from index on. It panics if the entry at
// index is compacted.
func (s *storage) from(index uint64, limit int) []Entry {
	if index > s.lastIndex() {
		return nil
	}
	es := s.entries[index-s.snapshot.Index-1:]
	return append([]Entry(nil), es[:min(len(es), limit)]...)
}

// group returns the newest group up to index, committed or not.
func (s *storage) group(index uint64) Group {
	g := s.snapshot.Group
	for _, e := range s.entries {
		if e.Index <= index && e.Group != nil {
			g = *e.Group
		}
	}
	return g
}

// logSize returns the log size in bytes; false while a write is in progress.
func (s *storage) logSize() (int64, bool) {
	if !s.disk.TryLock() {
		return 0, false
	}
	defer s.disk.Unlock()
	return s.log.Size(), true
}

func encodeRecord(r stored) ([]byte, error) { return msgpack.Marshal(r) }

// saveBallot persists the term and vote.
func (s *storage) saveBallot(b ballot) error {
	record, err := encodeRecord(stored{Vote: &b})
	if err != nil {
		return err
	}
	if err := s.write(record); err != nil {
		return err
	}
	s.ballot = b
	return nil
}

// write syncs staged entries followed by further records.
func (s *storage) write(records ...[]byte) error {
	batch := s.takeStaged()
	s.disk.Lock()
	defer s.disk.Unlock()
	if err := s.writeBatch(batch, records...); err != nil {
		return err
	}
	s.synced = s.lastIndex()
	return nil
}

// writeBatch syncs entries followed by further records. The caller holds disk.
// It also fails if an earlier write did. If the disk is full, it keeps the entries for
// the next write, since the log must not have gaps.
func (s *storage) writeBatch(batch []Entry, more ...[]byte) error {
	records, err := encodeEntries(batch)
	if err != nil {
		return err
	}
	entries := append(s.refused, records...)
	err = s.log.Append(slices.Concat(entries, more)...)
	s.refused = nil
	if errors.Is(err, wal.ErrNoSpace) {
		s.refused = entries
	}
	return err
}

// stage appends an entry in memory only. Until it is synced, the member must
// not count itself among the holders of the entry.
func (s *storage) stage(e Entry) error {
	if err := s.place(e); err != nil {
		return err
	}
	s.staged = append(s.staged, e)
	return nil
}

// takeStaged returns and clears the staged entries.
func (s *storage) takeStaged() []Entry {
	batch := s.staged
	s.staged = nil
	return batch
}

// markSynced records that a batch of staged entries is on disk, unless another
// leader has replaced them meanwhile.
func (s *storage) markSynced(batch []Entry) {
	last := batch[len(batch)-1]
	if term, ok := s.term(last.Index); ok && term == last.Term {
		s.synced = max(s.synced, last.Index)
	}
}

func encodeEntries(es []Entry) ([][]byte, error) {
	records := make([][]byte, 0, len(es))
	for i := range es {
		record, err := encodeRecord(stored{Entry: &es[i]})
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// saveEntries persists entries; each replaces the log from its index on.
func (s *storage) saveEntries(es []Entry) error {
	records, err := encodeEntries(es)
	if err != nil {
		return err
	}
	if err := s.write(records...); err != nil {
		return err
	}
	for _, e := range es {
		if err := s.place(e); err != nil {
			return err
		}
	}
	s.synced = s.lastIndex()
	return nil
}

// saveSnapshot replaces the log up to the snapshot's index; the whole log if it
// does not hold an entry of the snapshot's term at that index.
func (s *storage) saveSnapshot(snap Snapshot) error {
	var kept []Entry
	if t, ok := s.term(snap.Index); ok && t == snap.Term {
		kept = append(kept, s.entries[snap.Index-s.snapshot.Index:]...)
	}
	list := []stored{{Snapshot: &snap}, {Vote: &s.ballot}}
	for i := range kept {
		list = append(list, stored{Entry: &kept[i]})
	}
	records := make([][]byte, 0, len(list))
	for _, r := range list {
		record, err := encodeRecord(r)
		if err != nil {
			return err
		}
		records = append(records, record)
	}
	s.disk.Lock()
	defer s.disk.Unlock()
	if err := s.log.Replace(records...); err != nil {
		return err
	}
	s.snapshot = snap
	s.entries = kept
	s.staged, s.refused = nil, nil // included in kept, or replaced
	s.synced = s.lastIndex()
	return nil
}
