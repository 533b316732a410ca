package journaler

import (
	"log/slog"
	"path/filepath"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"comfreyplank.org/core/replicator"
)

// Identity returns the identity of the replica that owns the data folder, and creates one for an
// empty folder. If the journal of one of its logs is missing, the replica may have lost a vote.
// It then gets a new identity, and so becomes a new member.
func (d *Disk) Identity(logs ...string) (replicator.ID, error) {
	id, err := d.readIdentity()
	if err != nil {
		return "", err
	}
	if id != "" && d.hasJournals(logs) {
		return id, nil
	}
	if id != "" {
		slog.Warn("a journal of this replica is missing; creating a new identity", "folder", d.folder, "former", id)
	}
	return d.newIdentity(logs)
}

// readIdentity returns the stored identity, or an empty one if there is none.
func (d *Disk) readIdentity() (replicator.ID, error) {
	id, err := readFrameFile(d.files, filepath.Join(d.folder, identityName))
	return replicator.ID(id), err
}

func (d *Disk) hasJournals(logs []string) bool {
	for _, log := range logs {
		if !d.files.exists(filepath.Join(d.folder, log, journalName)) {
			return false
		}
	}
	return true
}

// newIdentity creates an identity, and removes all data of the former one.
func (d *Disk) newIdentity(logs []string) (replicator.ID, error) {
	if err := keepDataFolder(d.files, d.folder); err != nil {
		return "", err
	}
	for _, log := range logs {
		if err := d.files.removeAll(filepath.Join(d.folder, log)); err != nil {
			return "", errors.Wrap(err, "remove former journal")
		}
	}
	for _, name := range []string{endpointsName, committedName} {
		if err := d.files.removeAll(filepath.Join(d.folder, name)); err != nil {
			return "", errors.Wrapf(err, "remove former %s", name)
		}
	}
	id := uuid.NewString()
	return replicator.ID(id), writeFrameFile(d.files, filepath.Join(d.folder, identityName), []byte(id))
}
