package pipeliner

import (
	"bufio"
	"bytes"
	"maps"
	"net/http"
	"slices"

	"golang.org/x/net/http/httpguts"
)

// lineState is what the bytes before a position say about blank lines: an empty line, ended by LF or CR LF, ends a head.
type lineState uint8

const (
	atLineStart lineState = iota
	// afterCR is after a CR at the start of a line.
	afterCR
	inLine
)

// findBlankLine returns the position after the first blank line and the state there. Without a blank line it returns
// the length of the bytes.
func (s lineState) findBlankLine(p []byte) (end int, found bool, state lineState) {
	for i := 0; i < len(p); {
		if s == inLine {
			n := bytes.IndexByte(p[i:], '\n')
			if n < 0 {
				return len(p), false, inLine
			}
			i += n + 1
			s = atLineStart
			continue
		}
		b := p[i]
		i++
		switch {
		case b == '\n':
			return i, true, atLineStart
		case b == '\r' && s == atLineStart:
			s = afterCR
		default:
			s = inLine
		}
	}
	return len(p), false, s
}

// bodilessMethods are the methods whose requests may run ahead, as they begin a head.
var bodilessMethods = [][]byte{[]byte("GET "), []byte("HEAD ")}

// isBodilessMethod reports whether bytes start with a method whose requests may run ahead.
func isBodilessMethod(p []byte) bool {
	for _, method := range bodilessMethods {
		if bytes.HasPrefix(p, method) {
			return true
		}
	}
	return false
}

// mayBecomeBodilessMethod reports whether bytes are the start of such a method.
func mayBecomeBodilessMethod(p []byte) bool {
	for _, method := range bodilessMethods {
		if bytes.HasPrefix(method, p) {
			return true
		}
	}
	return false
}

// parse returns the request of a head that may run ahead, as far as its head says; nil for others and for those that the
// server may refuse.
func parse(head []byte) *http.Request {
	if !isBodilessMethod(head) {
		return nil
	}
	source := bytes.NewReader(head)
	buffered := bufio.NewReaderSize(source, len(head))
	r, err := http.ReadRequest(buffered)
	if err != nil || buffered.Buffered() > 0 || source.Len() > 0 {
		return nil
	}
	// The server takes the host from an absolute target, and requires the header nevertheless.
	if r.URL.Host != "" || r.Host == "" || !httpguts.ValidHostHeader(r.Host) || !validHeader(r.Header) || !isBodiless(r) {
		return nil
	}
	return r
}

func validHeader(h http.Header) bool {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) || !allValid(values) {
			return false
		}
	}
	return true
}

func allValid(values []string) bool {
	for _, v := range values {
		if !httpguts.ValidHeaderFieldValue(v) {
			return false
		}
	}
	return true
}

// isBodiless reports whether a request has no body and leaves the connection as it is.
func isBodiless(r *http.Request) bool {
	return (r.Method == http.MethodGet || r.Method == http.MethodHead) && r.Proto == "HTTP/1.1" && !r.Close &&
		(r.Body == nil || r.Body == http.NoBody) && r.ContentLength == 0 && len(r.TransferEncoding) == 0 &&
		r.Header.Get("Expect") == "" && r.Header.Get("Upgrade") == ""
}

// equal reports whether two parsed requests are the same.
func equal(a, b *http.Request) bool {
	return a.Method == b.Method && a.RequestURI == b.RequestURI && a.Proto == b.Proto && a.Host == b.Host &&
		a.ContentLength == b.ContentLength && a.Close == b.Close && slices.Equal(a.TransferEncoding, b.TransferEncoding) &&
		maps.EqualFunc(a.Header, b.Header, slices.Equal[[]string])
}
