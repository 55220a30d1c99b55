// Package memfs is an in-memory folder for tests of what survives a crash:
// only what was synced does, and any sync or write can be made to fail.
package memfs

import (
	"os"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/wal"
)

// FS is an in-memory folder; it implements wal.FS.
type FS struct {
	mu     sync.Mutex
	files  map[string]*content
	fail   int // operations until one fails; negative for never
	closed int // handles from before this generation of the disk are dead
}

type content struct {
	data   []byte
	synced int // bytes that survive a crash
}

// ErrFault is the failure that FailAfter brings about.
var ErrFault = errors.New("disk fault")

// New returns an empty folder.
func New() *FS { return &FS{files: map[string]*content{}, fail: -1} }

// FailAfter makes the operation after n more writes, syncs and renames fail,
// and every one behind it.
func (f *FS) FailAfter(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail = n
}

// Crash drops what was not synced, but for keep bytes of it, and lifts every
// fault. Handles from before write nowhere.
func (f *FS) Crash(keep int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail = -1
	f.closed++
	for _, c := range f.files {
		c.data = c.data[:min(len(c.data), c.synced+keep)]
		c.synced = len(c.data)
	}
}

// Wipe empties the folder.
func (f *FS) Wipe() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed++
	f.files = map[string]*content{}
}

// Flip inverts a bit of a file's byte.
func (f *FS) Flip(name string, at int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[name].data[at] ^= 1
}

// Size returns the length of a file, 0 if there is none.
func (f *FS) Size(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.files[name]; c != nil {
		return len(c.data)
	}
	return 0
}

// step counts an operation down; the caller holds the mutex.
func (f *FS) step() error {
	if f.fail == 0 {
		return ErrFault
	}
	if f.fail > 0 {
		f.fail--
	}
	return nil
}

// ReadFile implements wal.FS.
func (f *FS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.files[name]
	if c == nil {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), c.data...), nil
}

// Create implements wal.FS.
func (f *FS) Create(name string) (wal.File, error) { return f.Append(name, 0) }

// Append implements wal.FS.
func (f *FS) Append(name string, size int64) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.step(); err != nil {
		return nil, err
	}
	c := f.files[name]
	if c == nil {
		c = &content{}
		f.files[name] = c
	}
	c.data = c.data[:size]
	c.synced = min(c.synced, int(size))
	return &file{fs: f, content: c, era: f.closed}, nil
}

// Rename implements wal.FS.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.step(); err != nil {
		return err
	}
	f.files[to] = f.files[from]
	delete(f.files, from)
	return nil
}

type file struct {
	fs      *FS
	content *content
	era     int
}

// Write implements wal.File.
func (h *file) Write(p []byte) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if h.era != h.fs.closed {
		return 0, os.ErrClosed
	}
	if err := h.fs.step(); err != nil {
		n := len(p) / 2
		h.content.data = append(h.content.data, p[:n]...)
		return n, err
	}
	h.content.data = append(h.content.data, p...)
	return len(p), nil
}

// Sync implements wal.File.
func (h *file) Sync() error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if h.era != h.fs.closed {
		return os.ErrClosed
	}
	if err := h.fs.step(); err != nil {
		return err
	}
	h.content.synced = len(h.content.data)
	return nil
}

// Close implements wal.File.
func (h *file) Close() error { return nil }
