package journaler

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/replicator"
	"comfreyplank.org/shell/encoder"
)

// parseFrames returns the payloads of the frames in data, and the length of the valid frames.
func parseFrames(data []byte) (payloads [][]byte, valid int, err error) {
	frames := newScanner(bytes.NewReader(data), int64(len(data)))
	for {
		payload, err := frames.next()
		if err != nil {
			return nil, 0, err
		}
		if payload == nil {
			return payloads, int(frames.offset), frames.checkRest()
		}
		payloads = append(payloads, payload)
	}
}

// findFrame returns the offset of the first valid frame in data, or -1. It ignores a frame at offset 0.
func findFrame(t *testing.T, data []byte) int {
	offset, err := newScanner(bytes.NewReader(data), int64(len(data))).findFrame(1)
	assert.NilError(t, err)
	return int(offset)
}

// TestFrameIsFoundAcrossParts guards against damage that is taken for a torn write, because the frame after it begins where
// the search reads the next part of the file.
func TestFrameIsFoundAcrossParts(t *testing.T) {
	last, err := frame([]byte("last"))
	assert.NilError(t, err)
	for gap := searchBytes - 2*len(last); gap <= searchBytes+len(last); gap++ {
		data := append(make([]byte, gap), last...)
		assert.Equal(t, findFrame(t, data), gap)
		_, _, err := parseFrames(data)
		assert.ErrorIs(t, err, ErrDamaged)
	}
}

// TestOldJournalOfLargeDocumentsOpensInLittleMemory guards against a start that is killed for its memory: the journal holds
// many large documents, as it did before it was cut by its size.
func TestOldJournalOfLargeDocumentsOpensInLittleMemory(t *testing.T) {
	const (
		count     = 60
		megabyte  = 1 << 20
		keptBytes = 8 * megabyte
	)
	folder := t.TempDir()
	j, _ := open(t, folder)
	for i := range uint64(count) {
		document := bytes.Repeat([]byte(fmt.Sprintf("route-%04d;", i)), megabyte/11)
		persist(t, j, replicator.Output{Entries: []replicator.Entry{{Index: i + 1, Term: 1, Kind: replicator.EntryCommand, Data: document}}})
	}
	j, stored := open(t, folder)
	assert.Equal(t, len(stored.Entries), count)
	kept := 0
	for i, e := range stored.Entries {
		kept += len(e.Data)
		assert.Assert(t, bytes.HasPrefix(e.Unpacked().Data, fmt.Appendf(nil, "route-%04d;", i)))
	}
	assert.Assert(t, kept <= keptBytes, "%d bytes", kept)
	// A new file of these entries has no frame that is larger than a few of them.
	assert.NilError(t, j.createFile(stored.State, encoder.Base{}, stored.Entries))
	frames := newScanner(j.file, j.size)
	for payload, err := frames.next(); payload != nil; payload, err = frames.next() {
		assert.NilError(t, err)
		assert.Assert(t, len(payload) <= 2*megabyte, "%d bytes", len(payload))
	}
	assert.Equal(t, frames.offset, j.size)
	_, again := open(t, folder)
	assert.Equal(t, len(again.Entries), count)
}
