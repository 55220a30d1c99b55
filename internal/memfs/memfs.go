// Package memfs is an in-memory directory for crash tests. Only synced data
// survives a crash. Write, sync and rename errors can be injected, and free space limited.
package memfs

import (
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/wal"
)

// FS is an in-memory directory; it implements wal.FS.
type FS struct {
	mu        sync.Mutex
	files     map[string]*content
	failAfter int // operations until the first failure; negative for never
	space     int // free bytes; negative for unlimited
	epoch     int // incremented by Crash and Wipe; handles of earlier epochs are closed
}

// content is the data of a file.
type content struct {
	data   []byte
	synced int // bytes that survive a crash
}

// ErrFault is the error injected by FailAfter.
var ErrFault = errors.New("injected disk fault")

// New returns an empty directory.
func New() *FS { return &FS{files: map[string]*content{}, failAfter: -1, space: -1} }

// FailAfter makes opens, writes, syncs and renames fail with ErrFault after n more
// of them.
func (f *FS) FailAfter(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failAfter = n
}

// SetSpace sets the number of bytes that can be written until writes fail with
// ENOSPC; negative for unlimited.
func (f *FS) SetSpace(bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.space = bytes
}

// Crash discards unsynced data except the first keep bytes of each file, clears
// injected faults and closes open handles.
func (f *FS) Crash(keep int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failAfter = -1
	f.epoch++
	for _, c := range f.files {
		c.data = c.data[:min(len(c.data), c.synced+keep)]
		c.synced = len(c.data)
	}
}

// Wipe removes all files and closes open handles.
func (f *FS) Wipe() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch++
	f.files = map[string]*content{}
}

// Flip flips the lowest bit of the byte at an offset. The file must exist.
func (f *FS) Flip(name string, at int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[name].data[at] ^= 1
}

// Size returns the size of a file in bytes, or 0 if it does not exist.
func (f *FS) Size(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.files[name]; c != nil {
		return len(c.data)
	}
	return 0
}

// injectFault counts an operation and returns ErrFault if it must fail. The caller
// must hold f.mu.
func (f *FS) injectFault() error {
	if f.failAfter == 0 {
		return ErrFault
	}
	if f.failAfter > 0 {
		f.failAfter--
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
	if err := f.injectFault(); err != nil {
		return nil, err
	}
	c := f.files[name]
	if c == nil {
		c = &content{}
		f.files[name] = c
	}
	c.data = c.data[:size]
	c.synced = min(c.synced, int(size))
	return &file{fs: f, content: c, epoch: f.epoch}, nil
}

// Rename implements wal.FS.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.injectFault(); err != nil {
		return err
	}
	f.files[to] = f.files[from]
	delete(f.files, from)
	return nil
}

type file struct {
	fs      *FS
	content *content
	epoch   int
}

// Write implements wal.File.
func (h *file) Write(p []byte) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if h.epoch != h.fs.epoch {
		return 0, os.ErrClosed
	}
	if err := h.fs.injectFault(); err != nil {
		n := len(p) / 2
		h.content.data = append(h.content.data, p[:n]...)
		return n, err
	}
	if n := h.fs.space; n >= 0 && n < len(p) {
		h.fs.space = 0
		h.content.data = append(h.content.data, p[:n]...)
		return n, syscall.ENOSPC
	}
	if h.fs.space > 0 {
		h.fs.space -= len(p)
	}
	h.content.data = append(h.content.data, p...)
	return len(p), nil
}

// Sync implements wal.File.
func (h *file) Sync() error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if h.epoch != h.fs.epoch {
		return os.ErrClosed
	}
	if err := h.fs.injectFault(); err != nil {
		return err
	}
	h.content.synced = len(h.content.data)
	return nil
}

// Close implements wal.File.
func (h *file) Close() error { return nil }
