package control

import (
	"crypto/rand"
	"encoding/hex"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/wal"
)

const identityFile = "identity"

// FoundIdentity marks an empty data folder as one of a founder's. It is done
// once, when a site is set up; a folder that was emptied later must not be
// marked again.
func FoundIdentity(fs wal.FS) error {
	if _, err := fs.ReadFile(identityFile); err == nil {
		return errors.New("the data folder is in use")
	}
	return writeIdentity(fs, consensus.Founder)
}

// ReadIdentity returns the folder's identity; an empty folder gets a new one,
// which no group knows.
func ReadIdentity(fs wal.FS) (consensus.Identity, error) {
	b, err := fs.ReadFile(identityFile)
	if err == nil && len(b) > 0 {
		return consensus.Identity(b), nil
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	var random [12]byte
	rand.Read(random[:])
	id := consensus.Identity(hex.EncodeToString(random[:]))
	return id, writeIdentity(fs, id)
}

func writeIdentity(fs wal.FS, id consensus.Identity) error {
	f, err := fs.Create(identityFile + ".new")
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.Write([]byte(id)); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	return fs.Rename(identityFile+".new", identityFile)
}

// FoundingGroup is the group that founders start with.
func FoundingGroup(nodes []walnutramp.NodeName) consensus.Group {
	var g consensus.Group
	for _, n := range nodes {
		g.Voters = append(g.Voters, consensus.Voter{Node: n, Identity: consensus.Founder})
	}
	return g
}
