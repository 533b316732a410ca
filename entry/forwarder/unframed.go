package forwarder

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// errUnprovenEnd is returned at the end of a connection that doesn't prove the end of a response's body.
var errUnprovenEnd = errors.New("the connection ended before the whole request was sent")

// endsWithConnection reports whether nothing but the end of its connection tells the end of a response's body.
func endsWithConnection(response *http.Response) bool {
	return response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// unframedBody is the body of a response that ends with its connection and that came while the request was still sent.
// A reset is reported once: if the writer gets the error, the reader sees a normal end.
type unframedBody struct {
	io.ReadCloser
	sending *sending
}

// Read implements io.Reader. The end is one only if the whole request was sent without an error before.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.sending.completeBeforeEnd() {
		err = errUnprovenEnd
	}
	return n, err
}

// completeBeforeEnd is called at the end of the connection, and reports whether the whole request had been sent before.
// The endpoint may have got the last bytes before the goroutine that sends them has noticed: it is waited for if only the
// result of the last write is missing. That write ends soon, with an error if the connection was reset, or with the
// attempt.
func (s *sending) completeBeforeEnd() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
	}
	if !s.body.Whole() {
		return false
	}
	<-s.done
	return s.err == nil
}
