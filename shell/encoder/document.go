package encoder

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"comfreyplank.org/core/validator"
)

const (
	// packFrom is the size from which a document is compressed, in bytes: below it the
	// whole message fits into a few packets.
	packFrom = 4 << 10
	// maxDocumentBytes bounds a document, as the messages of replicas do.
	maxDocumentBytes = 64 << 20
)

// gzipMagic begins a compressed document; JSON begins otherwise.
var gzipMagic = []byte{0x1f, 0x8b}

// ErrDocumentSize is returned for a document above the bound.
var ErrDocumentSize = errors.New("the document is too large")

// encodeDocument returns a document as JSON, compressed where it is large.
func encodeDocument(d validator.Document) ([]byte, error) {
	plain, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	if len(plain) < packFrom {
		return plain, nil
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	return packed.Bytes(), nil
}

func decodeDocument(data []byte) (validator.Document, error) {
	var d validator.Document
	plain, err := unpack(data)
	if err != nil {
		return d, err
	}
	return d, errors.Wrap(json.Unmarshal(plain, &d), "decode document")
}

func unpack(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress document")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress document")
	}
	if len(plain) > maxDocumentBytes {
		return nil, ErrDocumentSize
	}
	return plain, nil
}
