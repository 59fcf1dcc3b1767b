package http1

import (
	"errors"
	"net"
)

var errTooLarge = errors.New("the head of the message is over the limit")

// limitedReader reads from a connection up to a limit.
type limitedReader struct {
	raw   net.Conn
	limit int64 // bytes that may still be read; a negative value means no limit
}

func (r *limitedReader) Read(buf []byte) (int, error) {
	if r.limit == 0 {
		return 0, errTooLarge
	}
	if r.limit > 0 && int64(len(buf)) > r.limit {
		buf = buf[:r.limit]
	}
	n, err := r.raw.Read(buf)
	if r.limit > 0 {
		r.limit -= int64(n)
	}
	return n, err
}
