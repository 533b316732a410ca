package sequencer

import (
	"io"
	"net/http"
	"time"
)

const (
	// Documents is how many documents of operators a replica reads, checks or proposes at once.
	Documents = 16
	// readWithin is how long the sender of a document may take.
	readWithin = 10 * time.Second
)

// Handler passes on requests as far as there are places. The others go to full, unread.
func (s *Sequencer) Handler(next, full http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		leave, err := s.Admit()
		if err != nil {
			full(w, r)
			return
		}
		defer leave()
		next(w, r)
	}
}

// ReadDocument reads the body of an admitted request, up to a limit in bytes. A sender that stalls doesn't keep the place of others.
func ReadDocument(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readWithin)) // a test's writer takes none
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}
