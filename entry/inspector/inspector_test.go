package inspector

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

const (
	ok      = "HTTP/1.1 200 OK\r\n"
	chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
)

// malformed are responses that break a rule.
var malformed = []struct {
	name string
	text string
	want *Violation
	rule string
}{
	{"status 000", "HTTP/1.1 000 \r\n\r\n", ErrStatus, "RFC 9110, 15: a status is from 100 to 599"},
	{"status 099", "HTTP/1.1 099 Low\r\n\r\n", ErrStatus, "RFC 9110, 15"},
	{"status of two digits", "HTTP/1.1 20 OK\r\n\r\n", ErrStatus, "RFC 9112, 4: status-code = 3DIGIT"},
	{"status of four digits", "HTTP/1.1 2000 OK\r\n\r\n", ErrStatus, "RFC 9112, 4"},
	{"signed status", "HTTP/1.1 +20 OK\r\n\r\n", ErrStatus, "RFC 9112, 4"},
	{"status with a letter", "HTTP/1.1 20O OK\r\n\r\n", ErrStatus, "RFC 9112, 4"},
	{"tab before the reason", "HTTP/1.1 200\tOK\r\n\r\n", ErrStatus, "RFC 9112, 4"},
	{"no status", "HTTP/1.1 \r\n\r\n", ErrStatus, "RFC 9112, 4"},
	{"no status and no space", "HTTP/1.1\r\n\r\n", ErrStatusLine, "RFC 9112, 4"},
	{"two spaces before the status", "HTTP/1.1  200 OK\r\n\r\n", ErrStatus, "RFC 9112, 4: a single space"},
	{"tab before the status", "HTTP/1.1\t200 OK\r\n\r\n", ErrStatusLine, "RFC 9112, 4"},
	{"NUL in the reason", "HTTP/1.1 200 O\x00K\r\n\r\n", ErrReason, "RFC 9112, 4: reason-phrase"},
	{"escape in the reason", "HTTP/1.1 200 \x1bOK\r\n\r\n", ErrReason, "RFC 9112, 4"},
	{"empty line first", "\r\nHTTP/1.1 200 OK\r\n\r\n", ErrStatusLine, "RFC 9112, 2.1: start-line"},
	{"no status line", "Content-Length: 0\r\n\r\n", ErrStatusLine, "RFC 9112, 2.1"},
	{"blank first", " HTTP/1.1 200 OK\r\n\r\n", ErrStatusLine, "RFC 9112, 2.1"},
	{"lower case name", "http/1.1 200 OK\r\n\r\n", ErrStatusLine, "RFC 9112, 2.3: HTTP-name is case-sensitive"},
	{"other protocol", "ICY 200 OK\r\n\r\n", ErrStatusLine, "RFC 9112, 2.3"},
	{"version 9.1", "HTTP/9.1 200 OK\r\n\r\n", ErrVersion, "RFC 9112, 2.3"},
	{"version 2.0", "HTTP/2.0 200 OK\r\n\r\n", ErrVersion, "RFC 9112, 2.3"},
	{"version 1.2", "HTTP/1.2 200 OK\r\n\r\n", ErrVersion, "RFC 9112, 2.3"},
	{"version 0.9", "HTTP/0.9 200 OK\r\n\r\n", ErrVersion, "RFC 9112, 2.3"},
	{"version of one digit", "HTTP/1 200 OK\r\n\r\n", ErrVersion, "RFC 9112, 2.3: DIGIT \".\" DIGIT"},
	{"version of three digits", "HTTP/1.10 200 OK\r\n\r\n", ErrStatusLine, "RFC 9112, 2.3"},
	{"switch of protocols", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", ErrSwitched, "RFC 9110, 7.8: only to a protocol that the request names"},

	{"bare LF after the status line", "HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n", ErrBareLF, "RFC 9112, 2.2: lines end with CRLF"},
	{"bare LF after a field", ok + "X-A: b\nX-C: d\r\n\r\n", ErrBareLF, "RFC 9112, 2.2; RFC 9110, 5.5: no LF in a value"},
	{"bare LF at the end", ok + "X-A: b\r\n\n", ErrBareLF, "RFC 9112, 2.2"},
	{"bare CR in the status line", "HTTP/1.1 200 O\rK\r\n\r\n", ErrBareCR, "RFC 9112, 2.2"},
	{"bare CR in a value", ok + "X-A: b\rX-C: d\r\n\r\n", ErrBareCR, "RFC 9112, 2.2; RFC 9110, 5.5"},
	{"bare CR in a name", ok + "X\r-A: b\r\n\r\n", ErrBareCR, "RFC 9112, 2.2"},
	{"two CR", ok + "X-A: b\r\r\n\r\n", ErrBareCR, "RFC 9112, 2.2"},
	{"bare CR at the end", ok + "X-A: b\r\n\r\r\n", ErrBareCR, "RFC 9112, 2.2"},
	{"long line", ok + "X-A: " + strings.Repeat("b", maxLineBytes) + "\r\n\r\n", ErrLineTooLong, "RFC 9110, 5.4"},

	{"space in a name", ok + "X Odd: 1\r\n\r\n", ErrFieldName, "RFC 9110, 5.1: field-name = token"},
	{"tab in a name", ok + "X\tOdd: 1\r\n\r\n", ErrFieldName, "RFC 9110, 5.1"},
	{"control byte in a name", ok + "X\x01Odd: 1\r\n\r\n", ErrFieldName, "RFC 9110, 5.1"},
	{"NUL in a name", ok + "X\x00: 1\r\n\r\n", ErrFieldName, "RFC 9110, 5.1"},
	{"DEL in a name", ok + "X\x7f: 1\r\n\r\n", ErrFieldName, "RFC 9110, 5.1"},
	{"byte above ASCII in a name", ok + "X\xe9: 1\r\n\r\n", ErrFieldName, "RFC 9110, 5.1"},
	{"delimiters in a name", ok + "X(a)[b]: 1\r\n\r\n", ErrFieldName, "RFC 9110, 5.6.2: token"},
	{"no name", ok + ": 1\r\n\r\n", ErrFieldName, "RFC 9110, 5.1: at least one byte"},
	{"space before the colon", ok + "X-Odd : 1\r\n\r\n", ErrBlankName, "RFC 9112, 5.1: no whitespace before the colon"},
	{"tab before the colon", ok + "X-Odd\t: 1\r\n\r\n", ErrBlankName, "RFC 9112, 5.1"},
	{"space before the colon of Transfer-Encoding", ok + "Transfer-Encoding : chunked\r\nContent-Length: 5\r\n\r\nhello", ErrBlankName, "RFC 9112, 5.1"},
	{"no colon", ok + "X-Odd\r\n\r\n", ErrNoColon, "RFC 9112, 5"},
	{"folded with a space", ok + "X-A: b\r\n c\r\n\r\n", ErrFolding, "RFC 9112, 5.2: obs-fold"},
	{"folded with a tab", ok + "X-A: b\r\n\tc\r\n\r\n", ErrFolding, "RFC 9112, 5.2"},
	{"folded Content-Length", ok + "Content-Length: 5\r\n 5\r\n\r\nhello", ErrFolding, "RFC 9112, 5.2"},
	{"blank before the first field", ok + " X-A: b\r\n\r\n", ErrFolding, "RFC 9112, 2.2"},
	{"line of blanks", ok + "X-A: b\r\n \r\n\r\n", ErrFolding, "RFC 9112, 5.2"},
	{"NUL in a value", ok + "X-A: b\x00\r\n\r\n", ErrFieldValue, "RFC 9110, 5.5"},
	{"control byte in a value", ok + "X-A: \x08b\r\n\r\n", ErrFieldValue, "RFC 9110, 5.5"},
	{"DEL in a value", ok + "X-A: b\x7f\r\n\r\n", ErrFieldValue, "RFC 9110, 5.5"},

	{"lengths that differ", ok + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", ErrLengthConflict, "RFC 9112, 6.3, 5"},
	{"lengths that differ in writing", ok + "Content-Length: 5\r\nContent-Length: 05\r\n\r\nhello", ErrLengthConflict, "RFC 9112, 6.3, 5"},
	{"list of lengths", ok + "Content-Length: 5, 5\r\n\r\nhello", ErrLength, "RFC 9112, 6.3, 5"},
	{"list of different lengths", ok + "Content-Length: 5, 6\r\n\r\nhello", ErrLength, "RFC 9112, 6.3, 5"},
	{"signed length", ok + "Content-Length: +5\r\n\r\nhello", ErrLength, "RFC 9110, 8.6: 1*DIGIT"},
	{"negative length", ok + "Content-Length: -5\r\n\r\nhello", ErrLength, "RFC 9110, 8.6"},
	{"hexadecimal length", ok + "Content-Length: 0x5\r\n\r\nhello", ErrLength, "RFC 9110, 8.6"},
	{"length with a blank", ok + "Content-Length: 5 5\r\n\r\nhello", ErrLength, "RFC 9110, 8.6"},
	{"empty length", ok + "Content-Length:\r\n\r\n", ErrLength, "RFC 9110, 8.6"},
	{"length beyond 64 bits", ok + "Content-Length: 18446744073709551621\r\n\r\nhello", ErrLength, "RFC 9110, 8.6: no overflow"},
	{"length and chunks", ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ErrLengthAndCoding, "RFC 9112, 6.3, 3"},
	{"chunks and length", ok + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", ErrLengthAndCoding, "RFC 9112, 6.3, 3"},
	{"unknown coding", ok + "Transfer-Encoding: cow\r\n\r\n", ErrCoding, "RFC 9112, 6.1"},
	{"identity", ok + "Transfer-Encoding: identity\r\n\r\n", ErrCoding, "RFC 9112, 7: no longer a coding"},
	{"chunked not last", ok + "Transfer-Encoding: chunked, gzip\r\n\r\n", ErrCoding, "RFC 9112, 6.1"},
	{"coding that wasn't asked for", ok + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", ErrCoding, "RFC 9112, 7.4"},
	{"chunked twice", ok + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n", ErrCoding, "RFC 9112, 6.1: not more than once"},
	{"chunked on two lines", ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ErrCoding, "RFC 9112, 6.1"},
	{"chunked with a parameter", ok + "Transfer-Encoding: chunked;a=b\r\n\r\n0\r\n\r\n", ErrCoding, "RFC 9112, 7.1: no parameters"},
	{"chunked in letters that fold", ok + "Transfer-Encoding: chun\u212aed\r\n\r\n0\r\n\r\n", ErrCoding, "RFC 9112, 7.1"},
	{"empty coding", ok + "Transfer-Encoding:\r\n\r\n", ErrCoding, "RFC 9112, 6.1"},
	{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ErrCodingVersion, "RFC 9112, 6.1: faulty framing"},
	{"chunks in 204", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ErrBodyNotAllowed, "RFC 9112, 6.1"},
	{"chunks in 103", "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ErrBodyNotAllowed, "RFC 9112, 6.1"},
	{"length in 204", "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nhello", ErrBodyNotAllowed, "RFC 9110, 8.6"},
	{"length in 100", "HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\nhello", ErrBodyNotAllowed, "RFC 9110, 8.6"},
	{"length in 205", "HTTP/1.1 205 Reset Content\r\nContent-Length: 5\r\n\r\nhello", ErrBodyNotAllowed, "RFC 9110, 15.3.6"},
	{"chunk in 205", "HTTP/1.1 205 Reset Content\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", ErrBodyNotAllowed, "RFC 9110, 15.3.6"},
	{"body of 205 without a length", "HTTP/1.1 205 Reset Content\r\n\r\nhello", ErrBodyNotAllowed, "RFC 9110, 15.3.6"},

	{"empty chunk size", chunked + "\r\nhello\r\n0\r\n\r\n", ErrChunkSize, "RFC 9112, 7.1: 1*HEXDIG"},
	{"chunk size with a sign", chunked + "+5\r\nhello\r\n0\r\n\r\n", ErrChunkSize, "RFC 9112, 7.1"},
	{"chunk size with a prefix", chunked + "0x5\r\nhello\r\n0\r\n\r\n", ErrChunkSize, "RFC 9112, 7.1"},
	{"chunk size with a letter", chunked + "5g\r\nhello\r\n0\r\n\r\n", ErrChunkSize, "RFC 9112, 7.1"},
	{"blank before a chunk size", chunked + " 5\r\nhello\r\n0\r\n\r\n", ErrChunkSize, "RFC 9112, 7.1"},
	{"blank after a chunk size", chunked + "5 \r\nhello\r\n0\r\n\r\n", ErrChunkSize, "RFC 9112, 7.1"},
	{"chunk size of 17 digits", chunked + "00000000000000005\r\nhello\r\n0\r\n\r\n", ErrChunkSize, "RFC 9112, 7.1: no overflow"},
	{"chunk size beyond 63 bits", chunked + "ffffffffffffffff\r\nhello\r\n0\r\n\r\n", ErrChunkSize, "RFC 9112, 7.1: no overflow"},
	{"bare LF after a chunk size", chunked + "5\nhello\r\n0\r\n\r\n", ErrBareLF, "RFC 9112, 7.1"},
	{"bare CR in a chunk size", chunked + "5\r;a\r\nhello\r\n0\r\n\r\n", ErrBareCR, "RFC 9112, 7.1"},
	{"long line of a chunk size", chunked + "5;" + strings.Repeat("a", maxChunkLineBytes) + "\r\nhello\r\n0\r\n\r\n", ErrLineTooLong, "RFC 9112, 7.1.1: limit extensions"},
	{"extension without a name", chunked + "5;\r\nhello\r\n0\r\n\r\n", ErrChunkExtension, "RFC 9112, 7.1.1"},
	{"extension without a value", chunked + "5;a=\r\nhello\r\n0\r\n\r\n", ErrChunkExtension, "RFC 9112, 7.1.1"},
	{"extension with an open quote", chunked + "5;a=\"b\r\nhello\r\n0\r\n\r\n", ErrChunkExtension, "RFC 9112, 7.1.1"},
	{"extension with a control byte", chunked + "5;a=\"\x00\"\r\nhello\r\n0\r\n\r\n", ErrChunkExtension, "RFC 9112, 7.1.1"},
	{"extension with two values", chunked + "5;a=b c\r\nhello\r\n0\r\n\r\n", ErrChunkExtension, "RFC 9112, 7.1.1"},
	{"chunk longer than its size", chunked + "4\r\nhello\r\n0\r\n\r\n", ErrChunkEnd, "RFC 9112, 7.1: chunk-data CRLF"},
	{"chunk that ends with LF", chunked + "5\r\nhello\n0\r\n\r\n", ErrChunkEnd, "RFC 9112, 7.1"},
	{"chunk that ends with CR", chunked + "5\r\nhello\r0\r\n\r\n", ErrChunkEnd, "RFC 9112, 7.1"},
	{"chunk shorter than its size", chunked + "6\r\nhello\r\n0\r\n\r\n", ErrChunkEnd, "RFC 9112, 7.1"},
	{"space in a trailer's name", chunked + "0\r\nX Odd: 1\r\n\r\n", ErrFieldName, "RFC 9112, 7.1.2: trailer-section = *( field-line CRLF )"},
	{"space before a trailer's colon", chunked + "0\r\nX-Odd : 1\r\n\r\n", ErrBlankName, "RFC 9112, 7.1.2"},
	{"folded trailer", chunked + "0\r\nX-A: b\r\n c\r\n\r\n", ErrFolding, "RFC 9112, 7.1.2"},
	{"trailer without a colon", chunked + "0\r\nX-A\r\n\r\n", ErrNoColon, "RFC 9112, 7.1.2"},
	{"NUL in a trailer", chunked + "0\r\nX-A: \x00\r\n\r\n", ErrFieldValue, "RFC 9112, 7.1.2"},
	{"bare LF after a trailer", chunked + "0\r\nX-A: b\n\r\n", ErrBareLF, "RFC 9112, 7.1.2"},
	{"bare LF after trailers", chunked + "0\r\nX-A: b\r\n\n", ErrBareLF, "RFC 9112, 7.1"},
	{"length among the trailers", chunked + "0\r\nContent-Length: 5\r\n\r\n", ErrTrailer, "RFC 9110, 6.5.1: no framing in trailers"},
	{"coding among the trailers", chunked + "0\r\nTransfer-Encoding: chunked\r\n\r\n", ErrTrailer, "RFC 9110, 6.5.1"},
	{"length announced as a trailer", ok + "Trailer: X-A, content-length\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ErrTrailer, "RFC 9110, 6.5.1"},

	{"malformed after an informational response", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 000 \r\n\r\n", ErrStatus, "RFC 9110, 15"},
	{"malformed informational response", "HTTP/1.1 103 Early Hints\r\nLink : a\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n", ErrBlankName, "RFC 9112, 5.1"},
	{"body of an informational response", "HTTP/1.1 103 Early Hints\r\n\r\nhello\r\n" + ok + "Content-Length: 0\r\n\r\n", ErrStatusLine, "RFC 9112, 6.3, 1"},
}

// wellFormed are responses that are passed on, up to those whose form is unusual.
var wellFormed = []struct {
	name, method, text, body string
	// beyond is what follows the response.
	beyond string
}{
	{"length", "GET", ok + "Content-Length: 5\r\n\r\nhello", "hello", ""},
	{"bytes beyond the length", "GET", ok + "Content-Length: 5\r\n\r\nhello\x00 HTTP", "hello", "\x00 HTTP"},
	{"length of 0", "GET", ok + "Content-Length: 0\r\n\r\n", "", ""},
	{"length in any case with blanks", "GET", ok + "cONTENT-lENGTH:\t 5 \t\r\n\r\nhello", "hello", ""},
	{"same length twice", "GET", ok + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", "hello", ""},
	{"length with zeros", "GET", ok + "Content-Length: 00000000000000000000000005\r\n\r\nhello", "hello", ""},
	{"no length", "GET", ok + "\r\nhello\x00\n\r", "hello\x00\n\r", ""},
	{"HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nhello", "hello", ""},
	{"no reason", "GET", "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n", "", ""},
	{"no reason and no space", "GET", "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", "", ""},
	{"reason of other encoding", "GET", "HTTP/1.1 200 \xc3\xa4  b\tc\r\nContent-Length: 0\r\n\r\n", "", ""},
	{"value of other encoding", "GET", ok + "X-A: \xe4\xff \t b\r\nX-Empty:\r\nContent-Length: 0\r\n\r\n", "", ""},
	{"name of all token bytes", "GET", ok + "!#$%&'*+-.^_`|~09azAZ: b:c\r\nContent-Length: 0\r\n\r\n", "", ""},
	{"status 999", "GET", "HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n", "", ""},
	{"HEAD with a length", "HEAD", ok + "Content-Length: 5\r\n\r\n", "", ""},
	{"HEAD with chunks", "HEAD", ok + "Transfer-Encoding: chunked\r\n\r\n", "", ""},
	{"304 with a length", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", "", ""},
	{"304 with chunks", "GET", "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n", "", ""},
	{"204", "GET", "HTTP/1.1 204 No Content\r\n\r\n", "", ""},
	{"204 with a length of 0", "GET", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", "", ""},
	{"205 with a length of 0", "GET", "HTTP/1.1 205 Reset Content\r\nContent-Length: 0\r\n\r\n", "", ""},
	{"205 without chunks", "GET", "HTTP/1.1 205 Reset Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "", ""},
	{"205 that ends with its connection", "GET", "HTTP/1.1 205 Reset Content\r\nConnection: close\r\n\r\n", "", ""},
	{"chunks", "GET", chunked + "5\r\nhello\r\n0A\r\n, 10 bytes\r\n000\r\n\r\n", "hello, 10 bytes", ""},
	{"bytes beyond chunks", "GET", chunked + "1\r\na\r\n0\r\n\r\nx\n", "a", "x\n"},
	{"extensions", "GET", chunked + "5;a;b=c ; d = \"e;\\\"f\"\r\nhello\r\n0;g\r\n\r\n", "hello", ""},
	{"trailers", "GET", ok + "Trailer: X-Sum\r\nTransfer-Encoding: Chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\nX-B:\r\n\r\n", "hello", ""},
	{"length named as a trailer that can't come", "GET", ok + "Trailer: Content-Length\r\nContent-Length: 5\r\n\r\nhello", "hello", ""},
	{"informational responses", "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nhello", "hello", ""},
	{"long header", "GET", ok + strings.Repeat("X-A: "+strings.Repeat("b", 1000)+"\r\n", 60) + "Content-Length: 5\r\n\r\nhello", "hello", ""},
}

// pieces are ways in which a response may arrive.
var pieces = []struct {
	name string
	cut  func(io.Reader) io.Reader
}{
	{"at once", func(r io.Reader) io.Reader { return r }},
	{"with the end", iotest.DataErrReader},
	{"in halves", iotest.HalfReader},
	{"byte by byte", iotest.OneByteReader},
}

// newReader returns a reader of a text that arrives in pieces.
func newReader(method, text string, cut func(io.Reader) io.Reader) *Reader {
	r := &Reader{}
	r.Reset(cut(strings.NewReader(text)))
	r.Begin(method)
	return r
}

// readResponse reads a response as the forwarder does: past informational ones, with the standard library.
func readResponse(reader *bufio.Reader, method string) (response *http.Response, body []byte, err error) {
	for {
		response, err = http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, nil, err
		}
		if response.StatusCode >= http.StatusOK {
			break
		}
	}
	body, err = io.ReadAll(response.Body)
	return response, body, err
}

// TestMalformedResponsesAreRefused guards against responses whose meaning is a guess, however they arrive.
func TestMalformedResponsesAreRefused(t *testing.T) {
	for _, tt := range malformed {
		for _, p := range pieces {
			t.Run(tt.name+", "+p.name, func(t *testing.T) {
				r := newReader(http.MethodGet, tt.text, p.cut)
				_, err := io.Copy(io.Discard, r)
				assert.Equal(t, err, error(tt.want), "%s", tt.rule)
				assert.Equal(t, r.Violation(), tt.want)
				n, err := r.Read(make([]byte, 100))
				assert.Equal(t, n, 0)
				assert.Equal(t, err, error(tt.want))

				_, _, err = readResponse(bufio.NewReader(newReader(http.MethodGet, tt.text, p.cut)), http.MethodGet)
				assert.Check(t, err != nil, "%s", tt.rule)
			})
		}
	}
}

// TestWellFormedResponsesArePassedOn guards against refusals of what the rules allow, and of bytes beyond a response,
// which are none of it.
func TestWellFormedResponsesArePassedOn(t *testing.T) {
	for _, tt := range wellFormed {
		for _, p := range pieces {
			t.Run(tt.name+", "+p.name, func(t *testing.T) {
				all, err := io.ReadAll(newReader(tt.method, tt.text, p.cut))
				assert.NilError(t, err)
				assert.Equal(t, string(all), tt.text)

				reader := bufio.NewReader(newReader(tt.method, tt.text, p.cut))
				_, body, err := readResponse(reader, tt.method)
				assert.NilError(t, err)
				assert.Equal(t, string(body), tt.body)
				beyond, err := io.ReadAll(reader)
				assert.NilError(t, err)
				assert.Equal(t, string(beyond), tt.beyond)
			})
		}
	}
}

// TestReaderServesManyResponses guards against the state of a response that outlives it on a kept connection.
func TestReaderServesManyResponses(t *testing.T) {
	r := newReader(http.MethodHead, ok+"Content-Length: 5\r\n\r\n", iotest.OneByteReader)
	_, err := io.Copy(io.Discard, r)
	assert.NilError(t, err)
	r.Reset(strings.NewReader(chunked + "5\r\nhello\r\n0\r\n\r\n"))
	r.Begin(http.MethodGet)
	_, err = io.Copy(io.Discard, r)
	assert.NilError(t, err)
	r.Reset(strings.NewReader("HTTP/1.1 000 \r\n\r\n"))
	r.Begin(http.MethodGet)
	_, err = io.Copy(io.Discard, r)
	assert.Equal(t, err, error(ErrStatus))
	r.Release()
	assert.Assert(t, r.Violation() == nil)
	r.Reset(strings.NewReader(ok + "Content-Length: 5\r\n\r\nhello"))
	r.Begin(http.MethodGet)
	_, err = io.Copy(io.Discard, r)
	assert.NilError(t, err)
}

// typicalResponse is a response as services give it.
const typicalResponse = ok + "Date: Mon, 07 Dec 2026 02:41:57 GMT\r\nContent-Type: application/json\r\n" +
	"Cache-Control: no-store\r\nEndpoint-Load-Metrics: load=3, state=serving, incarnation=7\r\n" +
	"X-Request-Id: 8b8a4f6e-7a53-4f4e-9a0c-5b8de2b2d3f1\r\nVary: Accept-Encoding\r\nContent-Length: 13\r\n\r\n{\"ok\":\"yes!\"}"

// TestReaderDoesNotAllocate guards against costs for each response.
func TestReaderDoesNotAllocate(t *testing.T) {
	for _, text := range []string{typicalResponse, chunked + "5;a=b\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n"} {
		var r Reader
		source := strings.NewReader(text)
		buffer := make([]byte, 8<<10)
		assert.Equal(t, testing.AllocsPerRun(100, func() {
			source.Reset(text)
			r.Reset(source)
			r.Begin(http.MethodGet)
			for {
				if _, err := r.Read(buffer); err != nil {
					break
				}
			}
		}), 0.0)
		assert.Assert(t, r.Violation() == nil)
	}
}

// BenchmarkReadResponse compares reading a response without and with its inspection.
func BenchmarkReadResponse(b *testing.B) {
	request := &http.Request{Method: http.MethodGet}
	for _, inspects := range []bool{false, true} {
		name := map[bool]string{false: "library alone", true: "inspected"}[inspects]
		b.Run(name, func(b *testing.B) {
			var inspector Reader
			source := strings.NewReader(typicalResponse)
			reader := bufio.NewReaderSize(nil, 8<<10)
			b.ReportAllocs()
			for b.Loop() {
				source.Reset(typicalResponse)
				if inspects {
					inspector.Reset(source)
					inspector.Begin(http.MethodGet)
					reader.Reset(&inspector)
				} else {
					reader.Reset(source)
				}
				response, err := http.ReadResponse(reader, request)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, response.Body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
