package consensus

import (
	"encoding/binary"
	"hash/crc32"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/wal"
)

const (
	logName    = "consensus.log"
	commitName = "consensus.commit"
	noteBytes  = 12 // of a commit note: the index and its checksum
)

// stored is one record of the log file; exactly one field is set.
type stored struct {
	Vote     *ballot   `msgpack:"v,omitempty"`
	Entry    *Entry    `msgpack:"e,omitempty"` // replaces all entries from its index on
	Snapshot *Snapshot `msgpack:"s,omitempty"`
}

// ballot is the term a member is in and whom it voted for there.
type ballot struct {
	Term  uint64
	Voted walnutramp.NodeName
}

// storage is a member's state that must survive. The member's mutex guards it;
// the log is written by whoever holds disk, which is taken after that mutex, so
// that a leader's own entries can be written without it.
type storage struct {
	fs       wal.FS
	ballot   ballot
	snapshot Snapshot
	entries  []Entry // behind the snapshot
	staged   []Entry // the last of entries, which nobody has begun to write
	synced   uint64  // index up to which entries are on the disk

	disk sync.Mutex
	log  *wal.Log
}

// openStorage reads what a member had synced. A new log begins with the group
// it is founded with; an empty group makes a member that waits to be added.
func openStorage(fs wal.FS, founding Group) (*storage, error) {
	log, records, err := wal.Open(fs, logName)
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

// saveFounding makes the group that the log begins with last: the seeds that
// a founder is told may be others when it starts again.
func (s *storage) saveFounding() error {
	record, err := encodeRecord(stored{Snapshot: &s.snapshot})
	if err != nil {
		return err
	}
	return s.log.Append(record)
}

// noteCommit leaves word of how far the log is committed. It is not synced: it
// only spares a restarted member the wait for a leader before it knows again
// what it knew.
func (s *storage) noteCommit(index uint64) error {
	f, err := s.fs.Create(commitName)
	if err != nil {
		return err
	}
	defer f.Close()
	note := binary.LittleEndian.AppendUint64(nil, index)
	note = binary.LittleEndian.AppendUint32(note, crc32.ChecksumIEEE(note))
	_, err = f.Write(note)
	return err
}

// notedCommit returns what noteCommit left, or 0.
func (s *storage) notedCommit() uint64 {
	note, err := s.fs.ReadFile(commitName)
	if err != nil || len(note) != noteBytes {
		return 0
	}
	index := binary.LittleEndian.Uint64(note)
	if crc32.ChecksumIEEE(note[:8]) != binary.LittleEndian.Uint32(note[8:]) {
		return 0
	}
	return min(index, s.lastIndex())
}

func (s *storage) replay(record []byte) error {
	var r stored
	if err := msgpack.Unmarshal(record, &r); err != nil {
		return errors.Wrap(err, "log record")
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

// place puts an entry at its index; what stood there and behind is dropped.
func (s *storage) place(e Entry) error {
	at := int(e.Index) - int(s.snapshot.Index) - 1
	if at < 0 || at > len(s.entries) {
		return errors.Newf("entry %d does not follow %d", e.Index, s.lastIndex())
	}
	s.entries = append(s.entries[:at:at], e)
	return nil
}

func (s *storage) lastIndex() uint64 { return s.snapshot.Index + uint64(len(s.entries)) }

func (s *storage) lastTerm() uint64 {
	t, _ := s.term(s.lastIndex())
	return t
}

// term returns the term of an index; false if it is cut off or not there.
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

// from returns the entries from index on, at most limit.
func (s *storage) from(index uint64, limit int) []Entry {
	if index > s.lastIndex() {
		return nil
	}
	es := s.entries[index-s.snapshot.Index-1:]
	return append([]Entry(nil), es[:min(len(es), limit)]...)
}

// group returns the newest group, committed or not, as far as index.
func (s *storage) group(index uint64) Group {
	g := s.snapshot.Group
	for _, e := range s.entries {
		if e.Index <= index && e.Group != nil {
			g = *e.Group
		}
	}
	return g
}

// sizeAtRest returns the log's length in bytes; false while it is written.
func (s *storage) sizeAtRest() (int64, bool) {
	if !s.disk.TryLock() {
		return 0, false
	}
	defer s.disk.Unlock()
	return s.log.Size(), true
}

func encodeRecord(r stored) ([]byte, error) { return msgpack.Marshal(r) }

// saveBallot syncs the term and vote.
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

// write syncs what is staged and then more records.
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

// writeBatch syncs entries and then more records. The caller holds disk. It
// fails, too, where an earlier write did.
func (s *storage) writeBatch(batch []Entry, more ...[]byte) error {
	records, err := encodeEntries(batch)
	if err != nil {
		return err
	}
	return s.log.Append(append(records, more...)...)
}

// stage puts an entry at the end of the log without writing it: until it is
// synced the member must not count itself among those that hold it.
func (s *storage) stage(e Entry) error {
	if err := s.place(e); err != nil {
		return err
	}
	s.staged = append(s.staged, e)
	return nil
}

// takeStaged hands out what is staged, to be written.
func (s *storage) takeStaged() []Entry {
	batch := s.staged
	s.staged = nil
	return batch
}

// noteSynced notes that a batch of staged entries is on the disk. Entries that
// another leader has replaced meanwhile are not among those that are held.
func (s *storage) noteSynced(batch []Entry) {
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

// saveEntries syncs entries, each in place of what stood from its index on.
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

// saveSnapshot replaces everything up to the snapshot's index.
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
	s.staged = nil // they are among those kept, or replaced
	s.synced = s.lastIndex()
	return nil
}
