package loader

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPartOfResponseIsBroken guards against responses counted as answered though a part of them is missing: with padding
// at its end, a part looks like a shorter response.
func TestPartOfResponseIsBroken(t *testing.T) {
	const body = "e1 m1 \nxxxx"
	tests := []struct {
		name, text string
		want       Outcome
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n" + body, OutcomeAnswered},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n" + body + "\r\n0\r\n\r\n", OutcomeAnswered},
		{"length, cut", "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n" + body, OutcomeBroken},
		{"chunks, cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n" + body + "\r\n", OutcomeBroken},
		{"neither, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n" + body, OutcomeBroken},
		{"neither, HTTP/1.1", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body, OutcomeBroken},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(tt.text)), nil)
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			got := OutcomeBroken
			if text, err := ReadBody(response); err == nil {
				got = classify(response, string(text), "m1", "")
			}
			assert.Equal(t, got, tt.want)
		})
	}
}
