package inspector

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/iotest"
)

// maxFuzzBytes keeps the inputs below the limits on sizes of the standard library, which are no rules of the protocol.
const maxFuzzBytes = 2 << 10

// FuzzReader guards against responses that are read in two ways: whatever the reader accepts, the standard library
// accepts too, and both find the end of the response at the same byte; and how a response arrives makes no difference.
func FuzzReader(f *testing.F) {
	for _, tt := range malformed {
		f.Add([]byte(tt.text), false)
	}
	for _, tt := range wellFormed {
		f.Add([]byte(tt.text), tt.method == http.MethodHead)
	}
	f.Fuzz(func(t *testing.T, data []byte, headOnly bool) {
		if len(data) > maxFuzzBytes {
			return
		}
		method := http.MethodGet
		if headOnly {
			method = http.MethodHead
		}
		var r Reader
		r.Reset(iotest.OneByteReader(bytes.NewReader(data)))
		r.Begin(method)
		end := -1
		one := make([]byte, 1)
		var err error
		for n := 0; err == nil; n++ {
			if r.phase == atEnd && end < 0 {
				end = n
			}
			_, err = r.Read(one)
		}

		var whole Reader
		whole.Reset(bytes.NewReader(data))
		whole.Begin(method)
		_, _ = io.Copy(io.Discard, &whole)
		if whole.violation != r.violation {
			t.Fatalf("%v at once, %v byte by byte", whole.violation, r.violation)
		}
		if r.violation != nil || (r.phase != atEnd && r.phase != inRest) {
			return // refused, or not at its end
		}
		source := bytes.NewReader(data)
		reader := bufio.NewReader(source)
		response, body, err := readResponse(reader, method)
		if err != nil {
			t.Fatalf("the library refuses what the reader accepts: %v", err)
		}
		if r.phase == inRest {
			if !response.Close || !bytes.HasSuffix(data, body) || reader.Buffered() != 0 || source.Len() != 0 {
				t.Fatalf("the library ends a body without a length before its connection: %q", body)
			}
			return
		}
		if got := len(data) - source.Len() - reader.Buffered(); got != end {
			t.Fatalf("the response ends at %d for the library, at %d for the reader", got, end)
		}
	})
}

// FuzzPieces guards against a head that the library takes from a response which the reader refuses: both see the same
// bytes, so the refusal must come no later than the end of the head.
func FuzzPieces(f *testing.F) {
	for _, tt := range malformed {
		f.Add([]byte(tt.text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > maxFuzzBytes {
			return
		}
		var r Reader
		r.Reset(iotest.OneByteReader(bytes.NewReader(data)))
		r.Begin(http.MethodGet)
		response, err := http.ReadResponse(bufio.NewReader(&r), nil)
		if err != nil {
			return
		}
		if r.phase <= inHeader && response.StatusCode >= http.StatusOK {
			t.Fatalf("the library has read a head that the reader hasn't: %d", response.StatusCode)
		}
		if _, err := io.Copy(io.Discard, response.Body); err == nil && r.violation != nil {
			t.Fatalf("the library has read a whole body that the reader refuses: %v", r.violation)
		}
	})
}
