package receiver

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"comfreyplank.org/entry/keeper"
	"comfreyplank.org/shell/observer"
)

// Handler passes requests on to the next handler. Those with a body get a *Body as their Body, whose
// reading ends as the handler returns.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody || BodyOf(r) != nil {
			next.ServeHTTP(w, r)
			return
		}
		serve(next, w, r)
	})
}

// BodyOf returns the body of a request that has come through Handler; nil if it has none.
func BodyOf(r *http.Request) *Body {
	b, _ := r.Body.(*Body)
	return b
}

func serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex() // other servers than net/http's don't read bodies on their own
	source := r.Body
	body := &Body{
		source: source, size: r.ContentLength, setDeadline: controller.SetReadDeadline,
		abandon: func() { abandon(controller, r) },
	}
	expectsContinue := r.Header.Get("Expect") != ""
	response := observer.New(w, func(h http.Header) { closeUnlessRead(h, body, expectsContinue) })
	r.Body = body
	defer func() {
		body.stop()
		r.Body = source // the server looks at its own body afterwards
	}()
	next.ServeHTTP(response, r)
	response.Begin() // a handler that has written nothing gets the server's empty response
}

// abandon interrupts a pending read from a caller's connection and has the connection closed after the
// response.
func abandon(controller *http.ResponseController, r *http.Request) {
	if !keeper.Abandon(r.Context()) {
		_ = controller.SetReadDeadline(time.Unix(1, 0)) // without deadlines, the caller ends the read
	}
}

// closeUnlessRead closes the caller's connection after the response unless the whole body of the request
// has been read by then: what comes later would be taken for the next request. ExpectsContinue is set when
// the first read of the body asks the caller to send it.
func closeUnlessRead(h http.Header, body *Body, expectsContinue bool) {
	if !bodyEnds(body, expectsContinue) {
		h.Set("Connection", "close")
	}
}

// bodyEnds reports whether the whole body has been read, and reads it where that is cheap and nobody
// else does.
func bodyEnds(body *Body, expectsContinue bool) bool {
	err := body.Err()
	asked := !expectsContinue || body.receivedBytes() > 0
	if err == nil && asked && !body.transferred() {
		return body.discard(time.Now())
	}
	return errors.Is(err, io.EOF)
}
