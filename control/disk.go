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

// WriteFounderIdentity marks an empty data directory as that of a founding member; it
// fails if the directory has an identity. It is called once, when a site is set up. A
// directory that was emptied later must not be marked again, since the member's votes
// are lost.
func WriteFounderIdentity(fs wal.FS) error {
	if _, err := fs.ReadFile(identityFile); err == nil {
		return errors.New("data directory is already in use")
	}
	return writeIdentity(fs, consensus.Founder)
}

// LoadOrCreateIdentity returns the identity stored in a data directory. An empty directory
// gets a new identity, which no group knows.
func LoadOrCreateIdentity(fs wal.FS) (consensus.Identity, error) {
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

// FoundingGroup returns the initial group of founding members.
func FoundingGroup(nodes []walnutramp.NodeName) consensus.Group {
	var g consensus.Group
	for _, n := range nodes {
		g.Voters = append(g.Voters, consensus.Voter{Node: n, Identity: consensus.Founder})
	}
	return g
}
