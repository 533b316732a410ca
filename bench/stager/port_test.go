package stager

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFreeAddressIsUnique asks for more addresses than one run needs, at ports that
// outgoing connections never get.
func TestFreeAddressIsUnique(t *testing.T) {
	seen := make(map[string]bool)
	for range 500 {
		address, err := FreeAddress()
		assert.NilError(t, err)
		assert.Assert(t, !seen[address], address)
		seen[address] = true
		at, err := net.ResolveTCPAddr("tcp", address)
		assert.NilError(t, err)
		assert.Assert(t, at.Port >= firstPort && at.Port < firstPort+portCount)
	}
}
