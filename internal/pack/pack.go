package pack

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"
)

// ErrTooLarge is returned by Unpack if the message is over the limit.
var ErrTooLarge = errors.New("packed message is over the size limit")

// A compressor holds several hundred KB, so it is kept for the next message.
var writers = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.DefaultCompression) // fails for an unknown level only
	return w
}}

// A decompressor holds 40 KB, and an entry host receives several messages a second.
var readers = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// Pack returns the compressed message.
func Pack(message []byte) ([]byte, error) {
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	if _, err := w.Write(message); err != nil {
		return nil, fmt.Errorf("compress message of %d bytes: %w", len(message), err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress message of %d bytes: %w", len(message), err)
	}
	return out.Bytes(), nil
}

// Unpack returns the message in packed, which may have maxBytes at most; the error is ErrTooLarge or that of damaged
// data.
func Unpack(packed []byte, maxBytes int64) ([]byte, error) {
	r := readers.Get().(io.ReadCloser)
	defer readers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(packed), nil); err != nil {
		return nil, fmt.Errorf("decompress message of %d bytes: %w", len(packed), err)
	}
	message, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("decompress message of %d bytes: %w", len(packed), err)
	case int64(len(message)) > maxBytes:
		return nil, ErrTooLarge
	}
	return message, nil
}
