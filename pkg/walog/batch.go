package walog

import "encoding/binary"

// pack joins payloads into a single record payload, so that a crash leaves either the whole batch or none of it.
func pack(payloads [][]byte) []byte {
	var buf []byte
	for _, payload := range payloads {
		buf = binary.AppendUvarint(buf, uint64(len(payload)))
		buf = append(buf, payload...)
	}
	return buf
}

// unpack splits a batch into the payloads that pack joined.
func unpack(buf []byte) ([][]byte, error) {
	var payloads [][]byte
	for len(buf) > 0 {
		size, n := binary.Uvarint(buf)
		if n <= 0 || size > uint64(len(buf)-n) {
			return nil, ErrDamaged
		}
		end := n + int(size)
		payloads = append(payloads, buf[n:end])
		buf = buf[end:]
	}
	return payloads, nil
}
