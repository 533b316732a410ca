package journaler

import (
	"log/slog"
	"os"
	"path/filepath"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"comfreyplank.org/core/replicator"
)

// Identity returns the identity of the replica that owns the data folder, and creates one for an
// empty folder. If the journal of one of its logs is missing, the replica may have lost a vote.
// It then gets a new identity, and so becomes a new member.
func Identity(folder string, logs ...string) (replicator.ID, error) {
	if err := makeDataFolder(folder); err != nil {
		return "", err
	}
	id, err := readIdentity(filepath.Join(folder, identityName))
	if err != nil {
		return "", err
	}
	if id != "" && hasJournals(folder, logs) {
		return id, nil
	}
	if id != "" {
		slog.Warn("a journal of this replica is missing; creating a new identity", "folder", folder, "former", id)
	}
	return newIdentity(folder, logs)
}

// readIdentity returns the stored identity, or an empty one if there is none.
func readIdentity(path string) (replicator.ID, error) {
	id, err := readFrameFile(path)
	return replicator.ID(id), err
}

func hasJournals(folder string, logs []string) bool {
	for _, log := range logs {
		if _, err := os.Stat(filepath.Join(folder, log, journalName)); err != nil {
			return false
		}
	}
	return true
}

// newIdentity creates an identity, and removes all data of the former one.
func newIdentity(folder string, logs []string) (replicator.ID, error) {
	for _, log := range logs {
		if err := os.RemoveAll(filepath.Join(folder, log)); err != nil {
			return "", errors.Wrap(err, "remove former journal")
		}
	}
	for _, name := range []string{endpointsName, committedName} {
		if err := os.RemoveAll(filepath.Join(folder, name)); err != nil {
			return "", errors.Wrapf(err, "remove former %s", name)
		}
	}
	id := uuid.NewString()
	return replicator.ID(id), writeFrameFile(filepath.Join(folder, identityName), []byte(id))
}
