package router

import (
	"net/url"
	"strconv"
	"strings"
)

// A route is sought by the normal form of a path, which is that of RFC 3986, 6.2.2.1 and 6.2.2.2, and RFC 9110, 4.2.3: an encoded
// unreserved character is the same as the character, the letters of encodings have no case, and a character that a path can't hold
// as it is (RFC 3986, 3.3) is the same as its encoding. An encoded reserved character, such as the slash, differs from the
// character (2.2). Segments of dots and empty segments are segments like others, as a request's path is sent on byte for byte and
// a prefix is one of segments.
//
// Endpoints may read a path otherwise: decoded as a whole, with segments of dots resolved (6.2.2.3), with doubled slashes as one,
// without parameters, or with backslashes as slashes. Such readings never choose the route. A request's execution is the strictest
// of the routes that they lead to, so that no reading makes a request repeatable that another says runs once.

// form is how a path and the prefixes of routes are written to be compared.
type form uint8

const (
	// formNormal is the normal form.
	formNormal form = iota
	// formLiteral is as the caller and the document wrote them.
	formLiteral
	// formDecoded has all percent-encodings decoded once.
	formDecoded
	formCount
)

// of returns a path in the form.
func (f form) of(path string) string {
	switch f {
	case formLiteral:
		return path
	case formDecoded:
		return decoded(path)
	}
	return normalForm(path)
}

// reading is what an endpoint may take a path for, and the form of the prefixes that it is compared with.
type reading struct {
	form form
	path string
}

// otherReadings returns the readings of a path besides its normal form.
func otherReadings(path string) []reading {
	normal, open := normalForm(path), decoded(path)
	withoutParameters := decoded(withoutParameters(path))
	slashes := strings.ReplaceAll(open, `\`, "/")
	return []reading{
		{formLiteral, path},
		{formNormal, withoutDots(normal)},
		{formNormal, withoutDots(withSingleSlashes(normal))},
		{formDecoded, open},
		{formDecoded, withoutDots(open)},
		{formDecoded, withoutDots(withSingleSlashes(open))},
		{formDecoded, withoutDots(withSingleSlashes(withoutParameters))},
		{formDecoded, withoutDots(withSingleSlashes(slashes))},
	}
}

// isPlain reports whether all readings of a path are the same.
func isPlain(path string) bool {
	before := byte(0)
	for i := range len(path) {
		c := path[i]
		if byteClasses[c] == classEncoded || c == ';' || (before == '/' && (c == '/' || c == '.')) {
			return false
		}
		before = c
	}
	return true
}

// byteClass tells how a byte may stand in a path.
type byteClass uint8

const (
	// classEncoded bytes must be percent-encoded.
	classEncoded byteClass = iota
	// classReserved bytes may stand in a path, and differ from their encodings: the slash, and a "pchar" that is not unreserved
	// (RFC 3986, 2.2 and 3.3).
	classReserved
	// classUnreserved bytes are the same as their encodings (RFC 3986, 2.3).
	classUnreserved
)

// byteClasses holds the class of each byte.
var byteClasses = func() (classes [256]byteClass) {
	for _, c := range []byte("/!$&'()*+,;=:@") {
		classes[c] = classReserved
	}
	for _, c := range []byte("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~") {
		classes[c] = classUnreserved
	}
	return classes
}()

// normalForm returns the normal form of a path. A percent sign that begins no encoding stands for itself.
func normalForm(path string) string {
	var b strings.Builder
	b.Grow(len(path))
	for i := 0; i < len(path); i++ {
		c := path[i]
		if value, ok := encodedByte(path[i:]); ok {
			c = value
			i += encodedBytes - 1
			if byteClasses[c] != classUnreserved {
				writeEncoded(&b, c)
				continue
			}
		}
		if byteClasses[c] == classEncoded {
			writeEncoded(&b, c)
		} else {
			b.WriteByte(c)
		}
	}
	return b.String()
}

// encodedBytes is the length of a percent-encoding.
const encodedBytes = 3

// encodedByte returns the byte whose percent-encoding begins a string.
func encodedByte(s string) (byte, bool) {
	if len(s) < encodedBytes || s[0] != '%' {
		return 0, false
	}
	value, err := strconv.ParseUint(s[1:encodedBytes], 16, 8)
	return byte(value), err == nil
}

const hexDigits = "0123456789ABCDEF"

func writeEncoded(b *strings.Builder, c byte) {
	b.WriteByte('%')
	b.WriteByte(hexDigits[c>>4])
	b.WriteByte(hexDigits[c&0xf])
}

// decoded returns a path with its percent-encodings decoded once. A path in which a percent sign stands for itself is returned as
// it is.
func decoded(path string) string {
	if open, err := url.PathUnescape(path); err == nil {
		return open
	}
	return path
}

// withoutDots returns a path with its segments of dots resolved (RFC 3986, 5.2.4).
func withoutDots(path string) string {
	root, rest, ok := strings.Cut(path, "/")
	if !ok || root != "" {
		return path
	}
	var kept []string
	segments := strings.Split(rest, "/")
	for i, s := range segments {
		isDots := s == "." || s == ".."
		if s == ".." && len(kept) > 0 {
			kept = kept[:len(kept)-1]
		}
		if !isDots {
			kept = append(kept, s)
		} else if i == len(segments)-1 {
			kept = append(kept, "")
		}
	}
	return "/" + strings.Join(kept, "/")
}

// withSingleSlashes returns a path with one slash for each row of slashes.
func withSingleSlashes(path string) string {
	var b strings.Builder
	for i := range len(path) {
		if path[i] != '/' || i == 0 || path[i-1] != '/' {
			b.WriteByte(path[i])
		}
	}
	return b.String()
}

// withoutParameters returns a path with each segment cut off at its first semicolon.
func withoutParameters(path string) string {
	segments := strings.Split(path, "/")
	for i, s := range segments {
		segments[i], _, _ = strings.Cut(s, ";")
	}
	return strings.Join(segments, "/")
}
