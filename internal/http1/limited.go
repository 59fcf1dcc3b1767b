package http1

import (
	"errors"
	"net"
)

var errTooLarge = errors.New("the head of the request is over the limit")

// limitedReader reads from a connection up to a limit.
type limitedReader struct {
	raw   net.Conn
	limit int64 // bytes that may still be read; a negative value means no limit
}

func (s *limitedReader) Read(buf []byte) (int, error) {
	if s.limit == 0 {
		return 0, errTooLarge
	}
	if s.limit > 0 && int64(len(buf)) > s.limit {
		buf = buf[:s.limit]
	}
	n, err := s.raw.Read(buf)
	if s.limit > 0 {
		s.limit -= int64(n)
	}
	return n, err
}
