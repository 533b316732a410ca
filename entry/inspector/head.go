package inspector

import (
	"bytes"
	"net/http"
)

// head is what the head of a response says of its framing.
type head struct {
	status int
	// oldVersion is set for HTTP/1.0.
	oldVersion bool
	// length is the Content-Length if hasLength is set; lengthDigits tells 07 from 7.
	hasLength    bool
	length       uint64
	lengthDigits int
	chunked      bool
	// framingTrailer is set if a Trailer field names one that would change the framing.
	framingTrailer bool
}

const (
	versionBytes = len("HTTP/1.1")
	statusBytes  = len("200")
	minStatus    = 100
)

// statusLine inspects the first line of a response: version, space, status, space and reason. The second space may be
// missing along with the reason, as with many senders.
func (h *head) statusLine(line []byte) *Violation {
	if len(line) < versionBytes+1 || string(line[:len("HTTP/")]) != "HTTP/" {
		return ErrStatusLine
	}
	version, rest := string(line[:versionBytes]), line[versionBytes:]
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return ErrVersion
	}
	h.oldVersion = version == "HTTP/1.0"
	if rest[0] != ' ' {
		return ErrStatusLine
	}
	code, reason, hasReason := bytes.Cut(rest[1:], []byte{' '})
	if len(code) != statusBytes {
		return ErrStatus
	}
	for _, c := range code {
		if !isDigit(c) {
			return ErrStatus
		}
		h.status = 10*h.status + int(c-'0')
	}
	switch {
	case h.status < minStatus:
		return ErrStatus
	case h.status == http.StatusSwitchingProtocols:
		return ErrSwitched
	case hasReason && !isText(reason):
		return ErrReason
	}
	return nil
}

// field inspects a field of a header whose line is well-formed.
func (h *head) field(name, value []byte) *Violation {
	switch {
	case equalFold(name, "Content-Length"):
		return h.contentLength(value)
	case equalFold(name, "Transfer-Encoding"):
		if h.chunked || !equalFold(value, "chunked") {
			return ErrCoding
		}
		h.chunked = true
	case equalFold(name, "Trailer"):
		for part := range bytes.SplitSeq(value, []byte{','}) {
			h.framingTrailer = h.framingTrailer || trailer(trimBlanks(part)) != nil
		}
	}
	return nil
}

// contentLength inspects a Content-Length. A second one must be the same.
func (h *head) contentLength(value []byte) *Violation {
	if len(value) == 0 {
		return ErrLength
	}
	var length uint64
	for _, c := range value {
		if !isDigit(c) || length >= maxLength/10 {
			return ErrLength
		}
		length = 10*length + uint64(c-'0')
	}
	if h.hasLength && (h.length != length || h.lengthDigits != len(value)) {
		return ErrLengthConflict
	}
	h.hasLength, h.length, h.lengthDigits = true, length, len(value)
	return nil
}

// framing inspects what the whole header says of the body. A Content-Length of 0 is accepted where no body may be: it
// states none.
func (h *head) framing() *Violation {
	switch {
	case h.chunked && h.oldVersion:
		return ErrCodingVersion
	case h.chunked && h.hasLength:
		return ErrLengthAndCoding
	case h.chunked && h.framingTrailer:
		return ErrTrailer
	}
	bodiless := h.status < http.StatusOK || h.status == http.StatusNoContent
	switch {
	case bodiless && h.chunked:
		return ErrBodyNotAllowed
	case (bodiless || h.status == http.StatusResetContent) && h.hasLength && h.length > 0:
		return ErrBodyNotAllowed
	}
	return nil
}
