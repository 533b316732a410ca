package encoder

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/shell/encoder/wire"
)

// documentWithRoutes returns a document whose routes have random names, hosts and paths, like the
// routes of a large system.
func documentWithRoutes(routes int) validator.Document {
	source := rand.New(rand.NewPCG(1, 2))
	service := validator.Service{Name: "motifs", QueueLimit: 64, RetryPercent: 20, ProbeMsPerSecond: 50, ProbeBytesPerSecond: 20_000}
	for range routes {
		service.Routes = append(service.Routes, validator.Route{
			Name: fmt.Sprintf("r-%07x", source.Uint32()), Host: fmt.Sprintf("%05x.example", source.Uint32()), PathPrefix: fmt.Sprintf("/%06x/%04x/", source.Uint32(), source.Uint32()),
			Execution: validator.ExecutionRepeatable, DeadlineMs: 800, LatencyTargetMs: 300, Class: validator.ClassInteractive, Attempts: 2, Priority: 2,
			Split: []validator.WeightedService{{Service: "motifs", Weight: 90}, {Service: "claims", Weight: 10}},
		})
	}
	return validator.Document{Generation: 7, Entries: 128, Services: []validator.Service{service}}
}

// TestLargeDocumentsAreCompressed asserts that a document of hundreds of routes is transferred
// within a tenth of a second on a link of 4.8 Mbit/s. An entry can't serve until it has received
// the document after its start.
func TestLargeDocumentsAreCompressed(t *testing.T) {
	const tenthSecondBytes = 60_000
	tests := []struct {
		routes int
		limit  int
	}{
		{0, compressionThreshold}, {10, compressionThreshold}, {100, tenthSecondBytes}, {800, tenthSecondBytes},
	}
	for _, tt := range tests {
		m := messenger.Configuration{Revision: 3, Document: documentWithRoutes(tt.routes)}
		encoded, err := EncodeToEntry(m)
		assert.NilError(t, err)
		t.Logf("%d routes: %d bytes", tt.routes, proto.Size(encoded))
		assert.Assert(t, proto.Size(encoded) < tt.limit)
		var received wire.FromControl
		roundTrip(t, encoded, &received)
		got, err := DecodeToEntry(&received)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, m)
	}
}

// TestTruncatedDocumentsAreRefused decodes prefixes of a compressed document.
func TestTruncatedDocumentsAreRefused(t *testing.T) {
	data, err := encodeDocument(documentWithRoutes(100))
	assert.NilError(t, err)
	for _, length := range []int{2, len(data) / 2, len(data) - 1} {
		_, err := decodeDocument(data[:length])
		assert.Assert(t, err != nil, "%d of %d bytes", length, len(data))
	}
}
