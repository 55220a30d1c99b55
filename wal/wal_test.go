package wal_test

import (
	"bytes"
	"fmt"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/memfs"
	"github.com/walnutramp/walnutramp/wal"
)

const logName = "test.log"

func record(i int) []byte { return []byte(fmt.Sprintf("record %d", i)) }

// write appends n records one by one and returns how many were reported as
// durable.
func write(fs *memfs.FS, n int) int {
	l, records, err := wal.Open(fs, logName)
	if err != nil {
		return 0
	}
	for i := len(records); i < n; i++ {
		if l.Append(record(i)) != nil {
			return i
		}
	}
	return n
}

// TestCrashAtEveryPoint fails each disk operation in turn, crashes with some
// unsynced bytes kept, and reopens the log: it must hold all records reported
// as durable, and a prefix of the records written.
func TestCrashAtEveryPoint(t *testing.T) {
	const n = 8
	for fail := range 2*n + 2 { // open, a write and a sync per record, and no failure
		for keep := range 25 { // more than one record
			fs := memfs.New()
			fs.FailAfter(fail)
			durable := write(fs, n)
			fs.Crash(keep)
			_, records, err := wal.Open(fs, logName)
			require.NoError(t, err, "fail %d keep %d", fail, keep)
			require.GreaterOrEqual(t, len(records), durable, "fail %d keep %d", fail, keep)
			for i, r := range records {
				require.Equal(t, record(i), r)
			}
			require.Equal(t, n, write(fs, n), "the log accepts records after a crash")
		}
	}
}

func TestFlippedBitIsDetected(t *testing.T) {
	const n = 4
	intact := memfs.New()
	require.Equal(t, n, write(intact, n))
	size := intact.Size(logName)
	for at := range size {
		fs := memfs.New()
		write(fs, n)
		fs.Flip(logName, at)
		_, records, err := wal.Open(fs, logName)
		if err != nil {
			require.ErrorIs(t, err, wal.ErrDamaged)
			continue
		}
		// Only damage to the last record may be taken for a torn tail.
		require.Len(t, records, n-1, "byte %d", at)
		require.GreaterOrEqual(t, at, size-8-len(record(n-1))) // a record has a header of 8 bytes
	}
}

func TestNoAppendAfterFailedSync(t *testing.T) {
	fs := memfs.New()
	l, _, err := wal.Open(fs, logName)
	require.NoError(t, err)
	fs.FailAfter(1) // the write succeeds, its sync fails
	require.ErrorIs(t, l.Append(record(0)), memfs.ErrFault)
	fs.FailAfter(-1) // the disk works again
	require.Error(t, l.Append(record(1)))
}

func TestReplaceIsAtomic(t *testing.T) {
	for fail := range 6 { // create, write, sync, rename, open, and no failure
		fs := memfs.New()
		require.Equal(t, 3, write(fs, 3))
		l, _, err := wal.Open(fs, logName)
		require.NoError(t, err)
		fs.FailAfter(fail)
		replaced := l.Replace([]byte("snapshot")) == nil
		fs.Crash(100) // keeps unsynced data
		_, records, err := wal.Open(fs, logName)
		require.NoError(t, err)
		if len(records) == 1 {
			require.Equal(t, "snapshot", string(records[0]))
			continue
		}
		require.False(t, replaced, "fail %d", fail)
		require.Len(t, records, 3)
	}
}

func FuzzOpen(f *testing.F) {
	fs := memfs.New()
	write(fs, 3)
	good, _ := fs.ReadFile(logName)
	f.Add(good)
	f.Add([]byte{1, 0, 0, 0})
	f.Fuzz(func(t *testing.T, content []byte) {
		fs := memfs.New()
		file, err := fs.Create(logName)
		require.NoError(t, err)
		file.Write(content)
		l, records, err := wal.Open(fs, logName)
		if err != nil {
			return
		}
		require.NoError(t, l.Append([]byte("next")))
		_, reopened, err := wal.Open(fs, logName)
		require.NoError(t, err)
		require.Len(t, reopened, len(records)+1)
		require.True(t, bytes.Equal(reopened[len(records)], []byte("next")))
	})
}

// A write that a full disk refuses leaves nothing behind, and the log goes on.
func TestFullDiskLeavesLogUsable(t *testing.T) {
	for space := range 8 + len(record(1)) { // bytes of the refused record that fit
		fs := memfs.New()
		require.Equal(t, 1, write(fs, 1))
		l, _, err := wal.Open(fs, logName)
		require.NoError(t, err)
		fs.SetSpace(space)
		require.True(t, errors.Is(l.Append(record(1)), wal.ErrNoSpace), "space %d", space)
		require.EqualValues(t, l.Size(), fs.Size(logName), "space %d", space)
		fs.SetSpace(-1)
		require.NoError(t, l.Append(record(2)))
		fs.Crash(0)
		_, records, err := wal.Open(fs, logName)
		require.NoError(t, err)
		require.Equal(t, [][]byte{record(0), record(2)}, records, "space %d", space)
	}
}

func TestFullDiskRefusesReplaceAndKeepsLog(t *testing.T) {
	fs := memfs.New()
	require.Equal(t, 3, write(fs, 3))
	l, _, err := wal.Open(fs, logName)
	require.NoError(t, err)
	fs.SetSpace(5)
	require.True(t, errors.Is(l.Replace(record(7)), wal.ErrNoSpace))
	require.Zero(t, fs.Size(logName+".new"), "the unfinished file must not hold space")
	fs.SetSpace(-1)
	require.NoError(t, l.Append(record(3)))
	fs.Crash(0)
	_, records, err := wal.Open(fs, logName)
	require.NoError(t, err)
	require.Len(t, records, 4)
}

// fullAtSync is a directory whose files report a full disk when they are synced.
type fullAtSync struct{ *memfs.FS }

type fullAtSyncFile struct{ wal.File }

// Append implements wal.FS.
func (d fullAtSync) Append(name string, size int64) (wal.File, error) {
	f, err := d.FS.Append(name, size)
	return fullAtSyncFile{f}, err
}

// Sync implements wal.File.
func (fullAtSyncFile) Sync() error { return syscall.ENOSPC }

func TestNoAppendAfterSyncFailsOnFullDisk(t *testing.T) {
	l, _, err := wal.Open(fullAtSync{memfs.New()}, logName)
	require.NoError(t, err)
	err = l.Append(record(0))
	require.ErrorIs(t, err, syscall.ENOSPC)
	require.False(t, errors.Is(err, wal.ErrNoSpace))
	require.ErrorIs(t, l.Append(record(1)), err)
}

func TestNoAppendAfterRefusedWriteIsNotUndone(t *testing.T) {
	fs := memfs.New()
	l, _, err := wal.Open(fs, logName)
	require.NoError(t, err)
	fs.SetSpace(1)
	fs.FailAfter(1) // the write is refused, the truncation fails
	require.False(t, errors.Is(l.Append(record(0)), wal.ErrNoSpace))
	fs.SetSpace(-1)
	fs.FailAfter(-1)
	require.Error(t, l.Append(record(1)))
}
