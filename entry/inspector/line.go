package inspector

import "bytes"

// fieldLine returns the parts of a field line, the value without the blanks around it.
func fieldLine(line []byte) (name, value []byte, violation *Violation) {
	if isBlank(line[0]) {
		return nil, nil, ErrFolding
	}
	colon := bytes.IndexByte(line, ':')
	if colon < 0 {
		return nil, nil, ErrNoColon
	}
	name, value = line[:colon], line[colon+1:]
	if colon > 0 && isBlank(name[colon-1]) {
		return nil, nil, ErrBlankName
	}
	if !isToken(name) {
		return nil, nil, ErrFieldName
	}
	if !isText(value) {
		return nil, nil, ErrFieldValue
	}
	return name, trimBlanks(value), nil
}

// trailer returns a violation if a field must not be among the trailers.
func trailer(name []byte) *Violation {
	if equalFold(name, "Content-Length") || equalFold(name, "Transfer-Encoding") || equalFold(name, "Trailer") {
		return ErrTrailer
	}
	return nil
}

// maxSizeDigits is the limit of the standard library.
const maxSizeDigits = 16

// parseChunkSize returns the size of a chunk from the line before it.
func parseChunkSize(line []byte) (uint64, *Violation) {
	var size uint64
	digits := 0
	for digits < len(line) {
		value, ok := hexDigit(line[digits])
		if !ok {
			break
		}
		digits++
		if digits > maxSizeDigits || size >= maxLength>>4 {
			return 0, ErrChunkSize
		}
		size = size<<4 | uint64(value)
	}
	if digits == 0 {
		return 0, ErrChunkSize
	}
	return size, chunkExtensions(line[digits:])
}

// chunkExtensions inspects what follows the size of a chunk: any number of ";name", ";name=token" and ";name="quoted"",
// with blanks around the separators. The standard library takes no blank between the size and the first semicolon.
func chunkExtensions(text []byte) *Violation {
	if len(text) > 0 && text[0] != ';' {
		return ErrChunkSize
	}
	for len(text) > 0 {
		if text[0] != ';' {
			return ErrChunkExtension
		}
		name, rest := cutToken(trimLeadingBlanks(text[1:]))
		if len(name) == 0 {
			return ErrChunkExtension
		}
		text = rest
		if afterBlanks := trimLeadingBlanks(rest); len(afterBlanks) > 0 {
			text = afterBlanks
		}
		if len(text) == 0 || text[0] != '=' {
			continue
		}
		value := trimLeadingBlanks(text[1:])
		text = afterExtensionValue(value)
		if len(text) == len(value) {
			return ErrChunkExtension
		}
		if afterBlanks := trimLeadingBlanks(text); len(afterBlanks) > 0 {
			text = afterBlanks
		}
	}
	return nil
}

// afterExtensionValue returns what follows a token or a quoted string; all of the text if it begins with neither.
func afterExtensionValue(text []byte) []byte {
	if len(text) == 0 || text[0] != '"' {
		_, rest := cutToken(text)
		return rest
	}
	for i := 1; i < len(text); i++ {
		switch c := text[i]; {
		case c == '"':
			return text[i+1:]
		case c == '\\' && i+1 < len(text) && classes[text[i+1]]&textClass != 0:
			i++
		case c == '\\' || classes[c]&textClass == 0:
			return text
		}
	}
	return text
}

// Classes of bytes.
const (
	tokenClass = 1 << iota
	textClass
)

// classes holds the classes of each byte.
var classes = func() (all [256]uint8) {
	for c := range all {
		// Blanks, visible bytes, and bytes of other encodings than ASCII: RFC 9110, 5.5.
		if c == '\t' || (c >= ' ' && c != 0x7f) {
			all[c] |= textClass
		}
	}
	// RFC 9110, 5.6.2.
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		all[c] |= tokenClass
	}
	return all
}()

func isText(text []byte) bool {
	for _, c := range text {
		if classes[c]&textClass == 0 {
			return false
		}
	}
	return true
}

func isToken(text []byte) bool {
	name, rest := cutToken(text)
	return len(name) > 0 && len(rest) == 0
}

// cutToken splits a text after its first bytes that may stand in a token.
func cutToken(text []byte) (token, rest []byte) {
	for i, c := range text {
		if classes[c]&tokenClass == 0 {
			return text[:i], text[i:]
		}
	}
	return text, nil
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func hexDigit(c byte) (value byte, ok bool) {
	switch {
	case isDigit(c):
		return c - '0', true
	case c >= 'a' && c <= 'f':
		return c - 'a' + 10, true
	case c >= 'A' && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}

func trimBlanks(text []byte) []byte { return bytes.Trim(text, " \t") }

func trimLeadingBlanks(text []byte) []byte { return bytes.TrimLeft(text, " \t") }

// equalFold compares a text with one of letters and hyphens in any case. Letters of other alphabets are never equal to
// those of ASCII, as they are to bytes.EqualFold.
func equalFold(text []byte, name string) bool {
	if len(text) != len(name) {
		return false
	}
	for i, c := range text {
		if lower(c) != lower(name[i]) {
			return false
		}
	}
	return true
}

func lower(c byte) byte {
	if c >= 'A' && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}
