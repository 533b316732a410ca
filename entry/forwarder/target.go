package forwarder

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// errInvalidTarget is returned for a request target that would end the request line.
var errInvalidTarget = errors.New("the request target contains a space or a control character")

// checkTarget returns an error for a target that can't stand in a request line.
func checkTarget(target string) error {
	if target == "" || strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return errInvalidTarget
	}
	return nil
}

// outgoing is a request as it is written to an endpoint.
type outgoing struct {
	*http.Request
	// target stands in the request line, byte for byte.
	target string
}

func (o outgoing) writeTo(w *bufio.Writer) error {
	for _, part := range []string{o.Method, " ", o.target, " HTTP/1.1\r\n"} {
		_, _ = w.WriteString(part) // the writer keeps its first error, which the next call returns
	}
	return o.Write(&requestWriter{Writer: w})
}

// requestWriter leaves out the request line that the standard library writes, in which the target is decoded and
// encoded anew.
type requestWriter struct {
	*bufio.Writer
	// lineSkipped is set once the library's request line has been left out.
	lineSkipped bool
}

// Write implements io.Writer.
func (w *requestWriter) Write(p []byte) (int, error) {
	if w.lineSkipped {
		return w.Writer.Write(p)
	}
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		return len(p), nil
	}
	w.lineSkipped = true
	n, err := w.Writer.Write(p[end+1:])
	return end + 1 + n, err
}

// WriteString implements io.StringWriter.
func (w *requestWriter) WriteString(text string) (int, error) {
	if w.lineSkipped {
		return w.Writer.WriteString(text)
	}
	return w.Write([]byte(text))
}

// WriteByte implements io.ByteWriter, without which the library would buffer the request once more.
func (w *requestWriter) WriteByte(c byte) error {
	if w.lineSkipped {
		return w.Writer.WriteByte(c)
	}
	w.lineSkipped = c == '\n'
	return nil
}

// ReadFrom implements io.ReaderFrom, for bodies.
func (w *requestWriter) ReadFrom(r io.Reader) (int64, error) {
	if w.lineSkipped {
		return w.Writer.ReadFrom(r)
	}
	return io.Copy(struct{ io.Writer }{w}, r)
}
