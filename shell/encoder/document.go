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
	// compressionThreshold is the size from which a document is compressed, in bytes. The
	// message of a smaller document fits into a few packets anyway.
	compressionThreshold = 4 << 10
	// maxDocumentBytes limits the decompressed size of a document. It is the same as the
	// limit of messages between replicas.
	maxDocumentBytes = 64 << 20
)

// gzipMagic is the prefix of a compressed document. JSON never starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

// ErrDocumentSize is returned for a document that exceeds the size limit.
var ErrDocumentSize = errors.New("the document is too large")

// encodeDocument returns a document as JSON, which is compressed if it is large.
func encodeDocument(d validator.Document) ([]byte, error) {
	plain, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	if len(plain) < compressionThreshold {
		return plain, nil
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	return compressed.Bytes(), nil
}

func decodeDocument(data []byte) (validator.Document, error) {
	var d validator.Document
	plain, err := decompress(data)
	if err != nil {
		return d, err
	}
	return d, errors.Wrap(json.Unmarshal(plain, &d), "decode document")
}

func decompress(data []byte) ([]byte, error) {
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
