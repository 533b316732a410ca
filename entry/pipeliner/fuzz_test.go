package pipeliner_test

import (
	"bytes"
	"slices"
	"testing"
)

// FuzzFraming guards against bytes by which the pipeliner and the server disagree on where requests begin: the responses
// must be those of the server alone, and no request may run that the server would not run, other than repeatable ones
// behind a response that cuts the connection.
func FuzzFraming(f *testing.F) {
	for _, s := range sequences {
		if len(s.text) < 2000 {
			f.Add([]byte(s.text), uint8(0))
			f.Add([]byte(s.text), uint8(9))
		}
	}
	oracle, subject := newServer(f, false, respond), newServer(f, true, respond)
	f.Fuzz(func(t *testing.T, text []byte, size uint8) {
		if len(text) == 0 || bytes.Contains(text, []byte("/close")) || bytes.Contains(text, []byte("/sleep")) {
			t.Skip("a response that would close the connection is sent last, and sleeps only take time")
		}
		pieces := [][]byte{text}
		if size > 0 {
			pieces = slices.Collect(slices.Chunk(text, int(size)))
		}
		compare(t, oracle, subject, pieces)
	})
}
