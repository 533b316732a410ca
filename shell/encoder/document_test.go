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

// manyRoutes is a document whose names are drawn, as those of a large system.
func manyRoutes(routes int) validator.Document {
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

// TestLargeDocumentsTravelCompressed asserts that a document of hundreds of routes takes a
// tenth of a second on a link of 4.8 Mbit/s: entries that start can't serve without it.
func TestLargeDocumentsTravelCompressed(t *testing.T) {
	const tenthOfASecond = 60_000
	tests := []struct {
		routes int
		most   int
	}{
		{0, packFrom}, {10, packFrom}, {100, tenthOfASecond}, {800, tenthOfASecond},
	}
	for _, tt := range tests {
		m := messenger.Configuration{Revision: 3, Document: manyRoutes(tt.routes)}
		encoded, err := EncodeToEntry(m)
		assert.NilError(t, err)
		t.Logf("%d routes: %d bytes", tt.routes, proto.Size(encoded))
		assert.Assert(t, proto.Size(encoded) < tt.most)
		var arrived wire.FromControl
		cross(t, encoded, &arrived)
		got, err := DecodeToEntry(&arrived)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, m)
	}
}

// TestDamagedDocumentsAreRefused cuts a compressed document short.
func TestDamagedDocumentsAreRefused(t *testing.T) {
	data, err := encodeDocument(manyRoutes(100))
	assert.NilError(t, err)
	for _, cut := range []int{2, len(data) / 2, len(data) - 1} {
		_, err := decodeDocument(data[:cut])
		assert.Assert(t, err != nil, "%d of %d bytes", cut, len(data))
	}
}
