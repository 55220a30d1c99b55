// Package wal is a log of records that last once they are synced: each record
// has a length and a checksum. A tail torn by a crash is cut off; damage in
// front of good records is reported, never skipped.
package wal

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// File is an open file of the log.
type File interface {
	io.Writer
	// Sync makes everything written so far last.
	Sync() error
	// Close gives the file up without syncing.
	Close() error
}

// FS is the folder that holds a log.
type FS interface {
	// ReadFile returns a file's content; os.ErrNotExist if there is none.
	ReadFile(name string) ([]byte, error)
	// Create opens a file for writing from its start, emptied.
	Create(name string) (File, error)
	// Append opens a file for writing behind size bytes, cutting off the rest.
	Append(name string, size int64) (File, error)
	// Rename replaces a file by another, and makes that last.
	Rename(from, to string) error
}

// MaxRecord bounds a record, in bytes.
const MaxRecord = 64 << 20

const headerSize = 8

// ErrDamaged says that a record in front of others is damaged.
var ErrDamaged = errors.New("log damaged in front of good records")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is an open log.
type Log struct {
	fs   FS
	name string
	file File
	size int64
	err  error // the first failure; the log takes nothing after it
}

// Open reads the log of that name and returns it with its records.
func Open(fs FS, name string) (*Log, [][]byte, error) {
	content, err := fs.ReadFile(name)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, err
	}
	records, good, err := parse(content)
	if err != nil {
		return nil, nil, err
	}
	f, err := fs.Append(name, int64(good))
	if err != nil {
		return nil, nil, err
	}
	return &Log{fs: fs, name: name, file: f, size: int64(good)}, records, nil
}

// parse returns the good records and how many bytes they take. What follows
// must be a torn record, with no good one behind it.
func parse(content []byte) ([][]byte, int, error) {
	var records [][]byte
	at := 0
	for at < len(content) {
		record, ok := recordAt(content, at)
		if !ok {
			break
		}
		records = append(records, record)
		at += headerSize + len(record)
	}
	if at < len(content) && goodBehind(content, at+1) {
		return nil, 0, ErrDamaged
	}
	return records, at, nil
}

func recordAt(content []byte, at int) ([]byte, bool) {
	if len(content)-at < headerSize {
		return nil, false
	}
	size := int(binary.LittleEndian.Uint32(content[at:]))
	sum := binary.LittleEndian.Uint32(content[at+4:])
	if size == 0 || size > MaxRecord || size > len(content)-at-headerSize {
		return nil, false
	}
	record := content[at+headerSize : at+headerSize+size]
	return record, crc32.Checksum(record, castagnoli) == sum
}

// goodBehind reports whether a good record begins anywhere from at on.
func goodBehind(content []byte, at int) bool {
	for ; at+headerSize < len(content); at++ {
		if _, ok := recordAt(content, at); ok {
			return true
		}
	}
	return false
}

// encode appends a record in its stored form.
func encode(dst, record []byte) []byte {
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(record)))
	dst = binary.LittleEndian.AppendUint32(dst, crc32.Checksum(record, castagnoli))
	return append(dst, record...)
}

// Append writes records and syncs them. After an error the log takes nothing
// more: what a failed sync left behind is not known.
func (l *Log) Append(records ...[]byte) error {
	if l.err != nil {
		return l.err
	}
	var buf []byte
	for _, r := range records {
		if len(r) == 0 || len(r) > MaxRecord {
			return errors.Newf("record of %d bytes", len(r))
		}
		buf = encode(buf, r)
	}
	if _, err := l.file.Write(buf); err != nil {
		l.err = errors.Wrap(err, "log write")
		return l.err
	}
	if err := l.file.Sync(); err != nil {
		l.err = errors.Wrap(err, "log sync")
		return l.err
	}
	l.size += int64(len(buf))
	return nil
}

// Size returns the log's length in bytes.
func (l *Log) Size() int64 { return l.size }

// Replace puts these records in place of all others, in one step that a
// crash can't split.
func (l *Log) Replace(records ...[]byte) error {
	if l.err != nil {
		return l.err
	}
	size, err := writeWhole(l.fs, l.name+".new", records)
	if err == nil {
		err = l.fs.Rename(l.name+".new", l.name)
	}
	if err != nil {
		l.err = errors.Wrap(err, "log replace")
		return l.err
	}
	l.file.Close()
	l.size = size
	if l.file, err = l.fs.Append(l.name, size); err != nil {
		l.err = err
	}
	return l.err
}

func writeWhole(fs FS, name string, records [][]byte) (int64, error) {
	f, err := fs.Create(name)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	var buf []byte
	for _, r := range records {
		buf = encode(buf, r)
	}
	if _, err := f.Write(buf); err != nil {
		return 0, err
	}
	return int64(len(buf)), f.Sync()
}

// Close gives the log up.
func (l *Log) Close() error { return l.file.Close() }

// Dir is a folder of the operating system as an FS.
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

// sync makes the folder's names last.
func (d Dir) sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
