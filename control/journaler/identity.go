package journaler

import (
	"log/slog"
	"os"
	"path/filepath"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"comfreyplank.org/core/replicator"
)

// Identity returns the identity of the replica whose disk the folder is, and makes
// one for an empty folder. An identity counts only with the journals of all its logs:
// a replica that has lost one may have forgotten a vote, and becomes a new member.
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
		slog.Warn("a journal of this replica is lost; it gets a new identity", "folder", folder, "former", id)
	}
	return newIdentity(folder, logs)
}

// readIdentity returns an empty identity for a disk without one.
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

// newIdentity makes an identity without a past: what is left of a former one goes.
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
