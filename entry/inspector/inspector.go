// Package inspector checks the responses of endpoints as they are read, before the standard library parses them. The
// library accepts heads that RFC 9112 and RFC 9110 call malformed, and what a sender means by these is a guess.
package inspector

import (
	"bytes"
	"io"
	"net/http"
)

// Violation is a rule that a response breaks. Violations are the values below, which can be compared.
type Violation struct {
	text string
	// section is where the rule stands, such as "RFC 9112, 4".
	section string
}

// Error implements error.
func (v *Violation) Error() string { return v.text + " (" + v.section + ")" }

// The rules for lines, and for the first one.
var (
	ErrBareCR      = &Violation{"a CR that doesn't end a line", "RFC 9112, 2.2"}
	ErrBareLF      = &Violation{"a line that ends without CR", "RFC 9112, 2.2"}
	ErrLineTooLong = &Violation{"a line that is too long", "RFC 9110, 5.4"}
	ErrStatusLine  = &Violation{"a malformed status line", "RFC 9112, 4"}
	ErrVersion     = &Violation{"an HTTP version other than 1.0 and 1.1", "RFC 9112, 2.3"}
	ErrStatus      = &Violation{"a status that isn't a number of three digits from 100", "RFC 9110, 15"}
	ErrReason      = &Violation{"a control byte in the reason phrase", "RFC 9112, 4"}
	ErrSwitched    = &Violation{"a switch of protocols that wasn't asked for", "RFC 9110, 7.8"}
)

// The rules for field lines, in a header and in trailers.
var (
	ErrFolding    = &Violation{"a folded field line, or one that begins with a blank", "RFC 9112, 5.2"}
	ErrNoColon    = &Violation{"a field line without a colon", "RFC 9112, 5"}
	ErrBlankName  = &Violation{"a blank between a field's name and the colon", "RFC 9112, 5.1"}
	ErrFieldName  = &Violation{"a field name that isn't a token", "RFC 9110, 5.1"}
	ErrFieldValue = &Violation{"a control byte in a field's value", "RFC 9110, 5.5"}
	ErrTrailer    = &Violation{"a trailer that would change the framing", "RFC 9110, 6.5.1"}
)

// The rules for the framing of bodies.
var (
	ErrLength          = &Violation{"a malformed Content-Length", "RFC 9112, 6.3"}
	ErrLengthConflict  = &Violation{"different values of Content-Length", "RFC 9112, 6.3"}
	ErrLengthAndCoding = &Violation{"both Transfer-Encoding and Content-Length", "RFC 9112, 6.3"}
	ErrCoding          = &Violation{"a transfer coding other than chunked alone", "RFC 9112, 6.1"}
	ErrCodingVersion   = &Violation{"Transfer-Encoding in HTTP/1.0", "RFC 9112, 6.1"}
	ErrBodyNotAllowed  = &Violation{"a body to a status that has none", "RFC 9110, 6.4.1"}
	ErrChunkSize       = &Violation{"a malformed chunk size", "RFC 9112, 7.1"}
	ErrChunkExtension  = &Violation{"a malformed chunk extension", "RFC 9112, 7.1.1"}
	ErrChunkEnd        = &Violation{"a chunk that doesn't end after its size", "RFC 9112, 7.1"}
)

// phase is the part of a response that comes next.
type phase uint8

const (
	// inStatusLine comes first, and again after an informational response.
	inStatusLine phase = iota
	inHeader
	inChunkSize
	// inData is a body with a length, or a chunk.
	inData
	inChunkEnd
	inTrailers
	// inRest is a body that ends with the connection.
	inRest
	// atEnd is after a response. Bytes there belong to none, and whoever holds the connection closes it.
	atEnd
)

// Limits of lines.
const (
	maxLineBytes = 64 << 10
	// maxChunkLineBytes is the limit of the standard library.
	maxChunkLineBytes = 4 << 10
	// maxLength bounds the size of a body or chunk, so that sums of sizes don't overflow.
	maxLength = 1 << 62
)

// Reader passes the bytes of responses on as they are read, and fails at the first response that breaks a rule: neither
// that read nor a later one returns any bytes. The zero Reader needs a Reset.
type Reader struct {
	src io.Reader
	// violation is why nothing more is passed on.
	violation *Violation
	phase     phase
	// headOnly is set for the response to a HEAD request.
	headOnly bool
	head     head
	// remaining is how many bytes of a body, of a chunk or of its end are to come.
	remaining uint64
	// line holds the beginning of a line that wasn't read at once.
	line []byte
}

// Reset has the reader read from a source.
func (r *Reader) Reset(src io.Reader) { *r = Reader{src: src, line: r.line[:0]} }

// Begin has the reader expect the response to a request of a method.
func (r *Reader) Begin(method string) {
	r.phase, r.head, r.remaining, r.line = inStatusLine, head{}, 0, r.line[:0]
	r.headOnly = method == http.MethodHead
}

// Release drops the source and all memory that the reader holds.
func (r *Reader) Release() { *r = Reader{} }

// Violation returns the rule that was broken, or nil.
func (r *Reader) Violation() *Violation { return r.violation }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.violation != nil {
		return 0, r.violation
	}
	n, err := r.src.Read(p)
	if r.violation = r.inspect(p[:n]); r.violation != nil {
		return 0, r.violation
	}
	return n, err
}

func (r *Reader) inspect(p []byte) *Violation {
	var violation *Violation
	for len(p) > 0 && violation == nil {
		switch r.phase {
		case inData:
			p = r.skipData(p)
		case inChunkEnd:
			p, violation = r.inspectChunkEnd(p)
		case inRest:
			if r.head.status == http.StatusResetContent {
				return ErrBodyNotAllowed
			}
			return nil
		case atEnd:
			return nil
		default:
			p, violation = r.inspectLines(p)
		}
	}
	return violation
}

// skipData passes over data of a body.
func (r *Reader) skipData(p []byte) []byte {
	n := min(uint64(len(p)), r.remaining)
	r.remaining -= n
	switch {
	case r.remaining > 0:
	case r.head.chunked:
		r.phase, r.remaining = inChunkEnd, uint64(len(lineEnd))
	default:
		r.phase = atEnd
	}
	return p[n:]
}

const lineEnd = "\r\n"

func (r *Reader) inspectChunkEnd(p []byte) ([]byte, *Violation) {
	if p[0] != lineEnd[uint64(len(lineEnd))-r.remaining] {
		return nil, ErrChunkEnd
	}
	r.remaining--
	if r.remaining == 0 {
		r.phase = inChunkSize
	}
	return p[1:], nil
}

// inspectLines inspects the first line of p, and returns what comes after it.
func (r *Reader) inspectLines(p []byte) ([]byte, *Violation) {
	end := bytes.IndexByte(p, '\n')
	read := end
	if end < 0 {
		read = len(p)
	}
	if len(r.line)+read > r.maxLine() {
		return nil, ErrLineTooLong
	}
	if end < 0 {
		r.line = append(r.line, p...)
		return nil, nil
	}
	line, rest := p[:end], p[end+1:]
	if len(r.line) > 0 {
		r.line = append(r.line, line...)
		line, r.line = r.line, r.line[:0]
	}
	if len(line) == 0 || line[len(line)-1] != '\r' {
		return nil, ErrBareLF
	}
	line = line[:len(line)-1]
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, ErrBareCR
	}
	return rest, r.inspectLine(line)
}

func (r *Reader) maxLine() int {
	if r.phase == inChunkSize {
		return maxChunkLineBytes
	}
	return maxLineBytes
}

// inspectLine inspects a line without its end, and enters the next phase.
func (r *Reader) inspectLine(line []byte) *Violation {
	switch {
	case r.phase == inStatusLine:
		r.phase = inHeader
		return r.head.statusLine(line)
	case r.phase == inChunkSize:
		return r.chunkSize(line)
	case len(line) == 0 && r.phase == inTrailers:
		r.phase = atEnd
		return nil
	case len(line) == 0:
		return r.endHeader()
	}
	name, value, violation := fieldLine(line)
	if violation != nil {
		return violation
	}
	if r.phase == inTrailers {
		return trailer(name)
	}
	return r.head.field(name, value)
}

// endHeader enters the phase after a header.
func (r *Reader) endHeader() *Violation {
	if violation := r.head.framing(); violation != nil {
		return violation
	}
	switch h := &r.head; {
	case h.status < http.StatusOK:
		r.phase, r.head = inStatusLine, head{}
	case r.headOnly, h.status == http.StatusNoContent, h.status == http.StatusNotModified:
		r.phase = atEnd
	case h.chunked:
		r.phase = inChunkSize
	case h.hasLength && h.length == 0:
		r.phase = atEnd
	case h.hasLength:
		r.phase, r.remaining = inData, h.length
	default:
		r.phase = inRest
	}
	return nil
}

// chunkSize inspects the line before a chunk, and enters the next phase.
func (r *Reader) chunkSize(line []byte) *Violation {
	size, violation := parseChunkSize(line)
	if violation != nil {
		return violation
	}
	if size == 0 {
		r.phase = inTrailers
		return nil
	}
	if r.head.status == http.StatusResetContent {
		return ErrBodyNotAllowed
	}
	r.phase, r.remaining = inData, size
	return nil
}
