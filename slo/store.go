package slo

import (
	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp/wal"
)

const storeName = "slo.log"

// Store keeps a tracker's counts on disk across restarts.
type Store struct {
	log *wal.Log
}

// image is the content of the stored record; Rings has an entry for each key, with a ring
// for each window.
type image struct {
	Keys  []Key
	Rings [][]ring
}

// OpenStore opens the store and loads the saved counts, if any, into t.
func OpenStore(fs wal.FS, t *Tracker) (*Store, error) {
	log, records, err := wal.Open(fs, storeName)
	if err != nil {
		return nil, err
	}
	if len(records) == 0 {
		return &Store{log: log}, nil
	}
	var img image
	if err := msgpack.Unmarshal(records[len(records)-1], &img); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, key := range img.Keys {
		t.series[key] = img.Rings[i]
	}
	return &Store{log: log}, nil
}

// Save replaces the saved counts with the current ones of t.
func (s *Store) Save(t *Tracker) error {
	var img image
	t.mu.Lock()
	for key, rings := range t.series {
		img.Keys = append(img.Keys, key)
		img.Rings = append(img.Rings, rings)
	}
	record, err := msgpack.Marshal(img)
	t.mu.Unlock()
	if err != nil {
		return err
	}
	return s.log.Replace(record)
}

// Close closes the store's log file.
func (s *Store) Close() error { return s.log.Close() }
