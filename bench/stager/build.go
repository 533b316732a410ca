package stager

import (
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
)

// Build compiles programs of the workspace at root into a folder.
func Build(root, folder string, programs ...string) error {
	build := exec.Command("go", append([]string{"build", "-o", folder + string(filepath.Separator)}, programs...)...)
	build.Dir = root
	out, err := build.CombinedOutput()
	return errors.Wrapf(err, "build: %s", out)
}
