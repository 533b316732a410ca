package stager

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAddressIsUnique requests more addresses than a run needs, and checks that their
// ports are below the ephemeral range.
func TestAddressIsUnique(t *testing.T) {
	seen := make(map[string]bool)
	for range 500 {
		address, err := Address()
		assert.NilError(t, err)
		assert.Assert(t, !seen[address], address)
		seen[address] = true
		at, err := net.ResolveTCPAddr("tcp", address)
		assert.NilError(t, err)
		assert.Assert(t, at.Port >= firstPort && at.Port < firstPort+portCount)
	}
}
