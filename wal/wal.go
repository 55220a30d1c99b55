// Package wal implements a write-ahead log. Each record has a length and a
// CRC-32C checksum. Opening a log truncates a tail torn by a crash; a damaged
// record followed by valid ones is an error.
package wal

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// File is an open log file.
type File interface {
	io.Writer
	// Sync flushes everything written so far to stable storage.
	Sync() error
	// Close closes the file without syncing.
	Close() error
}

// FS is the directory that holds a log.
type FS interface {
	// ReadFile returns a file's content, or an error that wraps os.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// Create creates or truncates a file for writing.
	Create(name string) (File, error)
	// Append opens a file for writing after its first size bytes, and truncates
	// the rest. It creates a missing file. The truncation and a
	// new file are durable when it returns.
	Append(name string, size int64) (File, error)
	// Rename renames a file, atomically and durably, and replaces any file with the
	// new name.
	Rename(from, to string) error
}

// MaxRecord is the maximum record size in bytes.
const MaxRecord = 64 << 20

const recordHeaderSize = 8

// ErrDamaged means that a damaged record precedes valid ones.
var ErrDamaged = errors.New("log corrupted: damaged record before valid ones")

// ErrNoSpace means that the disk is full. Nothing was written, and the log can be
// written again once there is space.
var ErrNoSpace = errors.New("no space for the log")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is an open write-ahead log. It is not safe for concurrent use.
type Log struct {
	fs   FS
	name string
	file File
	size int64
	err  error // first failure; later writes return it
}

// Open opens the log with the given name, creating it if necessary, and returns
// its records. It truncates a torn tail, and returns ErrDamaged if a damaged record
// precedes valid ones.
func Open(fs FS, name string) (*Log, [][]byte, error) {
	content, err := fs.ReadFile(name)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, err
	}
	records, validSize, err := parse(content)
	if err != nil {
		return nil, nil, err
	}
	f, err := fs.Append(name, int64(validSize))
	if err != nil {
		return nil, nil, err
	}
	return &Log{fs: fs, name: name, file: f, size: int64(validSize)}, records, nil
}

// parse returns the valid records and their total size in bytes. Anything after
// them must be a torn record without valid ones behind it.
func parse(content []byte) ([][]byte, int, error) {
	var records [][]byte
	at := 0
	for at < len(content) {
		record, ok := recordAt(content, at)
		if !ok {
			break
		}
		records = append(records, record)
		at += recordHeaderSize + len(record)
	}
	if at < len(content) && validRecordFrom(content, at+1) {
		return nil, 0, ErrDamaged
	}
	return records, at, nil
}

func recordAt(content []byte, at int) ([]byte, bool) {
	if len(content)-at < recordHeaderSize {
		return nil, false
	}
	size := int(binary.LittleEndian.Uint32(content[at:]))
	sum := binary.LittleEndian.Uint32(content[at+4:])
	if size == 0 || size > MaxRecord || size > len(content)-at-recordHeaderSize {
		return nil, false
	}
	record := content[at+recordHeaderSize : at+recordHeaderSize+size]
	return record, crc32.Checksum(record, castagnoli) == sum
}

// validRecordFrom reports whether a valid record starts at any offset from at
// on.
func validRecordFrom(content []byte, at int) bool {
	for ; at+recordHeaderSize < len(content); at++ {
		if _, ok := recordAt(content, at); ok {
			return true
		}
	}
	return false
}

// encode appends a record's length, checksum and content to dst.
func encode(dst, record []byte) []byte {
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(record)))
	dst = binary.LittleEndian.AppendUint32(dst, crc32.Checksum(record, castagnoli))
	return append(dst, record...)
}

// Append writes and syncs records. After a failed write or sync the log accepts
// no more writes, since the state on disk is then unknown. A write that a full disk
// refuses (ErrNoSpace) and a record of invalid size fail only this call, which then
// writes nothing.
func (l *Log) Append(records ...[]byte) error {
	if l.err != nil {
		return l.err
	}
	var buf []byte
	for _, r := range records {
		if len(r) == 0 || len(r) > MaxRecord {
			return errors.Newf("record size of %d bytes is not between 1 and MaxRecord", len(r))
		}
		buf = encode(buf, r)
	}
	if n, err := l.file.Write(buf); err != nil {
		return l.undoWrite(n, err)
	}
	if err := l.file.Sync(); err != nil {
		l.err = errors.Wrap(err, "log sync")
		return l.err
	}
	l.size += int64(len(buf))
	return nil
}

// undoWrite handles a failed write of which n bytes reached the file. If the disk is
// full, it removes them, and the log stays usable. A sync that reports a full disk is
// different: pages of earlier writes may be lost.
func (l *Log) undoWrite(n int, cause error) error {
	cause = errors.Wrap(cause, "log write")
	if !isFull(cause) {
		l.err = cause
		return l.err
	}
	if n > 0 {
		if err := l.reopen(); err != nil {
			l.err = errors.Wrap(err, "log truncation")
			return l.err
		}
	}
	return errors.Mark(cause, ErrNoSpace)
}

// isFull reports whether a write failed because the disk is full.
func isFull(err error) bool { return errors.IsAny(err, syscall.ENOSPC, syscall.EDQUOT) }

// reopen opens the log file again, and truncates it to the log's size.
func (l *Log) reopen() error {
	l.file.Close()
	f, err := l.fs.Append(l.name, l.size)
	if err != nil {
		return err
	}
	l.file = f
	return nil
}

// Size returns the log's size in bytes.
func (l *Log) Size() int64 { return l.size }

// Replace atomically replaces all records. After an error other than ErrNoSpace the log
// accepts no more writes. Unlike Append, it does not check the sizes of the records: one that is empty or
// larger than MaxRecord is torn or damaged to Open.
func (l *Log) Replace(records ...[]byte) error {
	if l.err != nil {
		return l.err
	}
	size, err := writeFile(l.fs, l.name+".new", records)
	if errors.Is(err, ErrNoSpace) {
		return errors.Wrap(err, "log replace")
	}
	if err == nil {
		err = l.fs.Rename(l.name+".new", l.name)
	}
	if err != nil {
		l.err = errors.Wrap(err, "log replace")
		return l.err
	}
	l.size = size
	l.err = l.reopen()
	return l.err
}

func writeFile(fs FS, name string, records [][]byte) (int64, error) {
	f, err := fs.Create(name)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	var buf []byte
	for _, r := range records {
		buf = encode(buf, r)
	}
	if _, err := f.Write(buf); isFull(err) {
		return 0, errors.CombineErrors(empty(fs, name), errors.Mark(err, ErrNoSpace))
	} else if err != nil {
		return 0, err
	}
	return int64(len(buf)), f.Sync()
}

// empty truncates a file, which gives back its space.
func empty(fs FS, name string) error {
	f, err := fs.Create(name)
	if err != nil {
		return err
	}
	return f.Close()
}

// Close closes the log file.
func (l *Log) Close() error { return l.file.Close() }

// Dir is an operating system directory as an FS.
type Dir string

// ReadFile implements FS.
func (d Dir) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Create implements FS.
func (d Dir) Create(name string) (File, error) { return os.Create(d.path(name)) }

// Append implements FS.
func (d Dir) Append(name string, size int64) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := f.Truncate(size); err != nil {
		f.Close()
		return nil, err
	}
	if _, err := f.Seek(size, io.SeekStart); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return nil, err
	}
	return f, d.sync()
}

// Rename implements FS.
func (d Dir) Rename(from, to string) error {
	if err := os.Rename(d.path(from), d.path(to)); err != nil {
		return err
	}
	return d.sync()
}

// sync flushes the directory's entries to stable storage.
func (d Dir) sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
