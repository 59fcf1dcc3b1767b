package walog

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// headerBytes is the size of a record's length and checksum.
const headerBytes = 8

// MaxRecord is the largest payload of a record, in bytes.
const MaxRecord = 64 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrTorn reports a record whose end is missing or whose checksum is wrong.
var ErrTorn = errors.New("record is torn")

// encode appends the framed payload to buf.
func encode(buf, payload []byte) []byte {
	var head [headerBytes]byte
	binary.LittleEndian.PutUint32(head[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(head[4:], checksum(head[0:4], payload))
	buf = append(buf, head[:]...)
	return append(buf, payload...)
}

// decode splits the first record off data and returns its payload and its framed size.
func decode(data []byte) ([]byte, int, error) {
	if len(data) < headerBytes {
		return nil, 0, ErrTorn
	}
	size := int(binary.LittleEndian.Uint32(data[0:]))
	if size > MaxRecord || size > len(data)-headerBytes {
		return nil, 0, ErrTorn
	}
	payload := data[headerBytes : headerBytes+size]
	if binary.LittleEndian.Uint32(data[4:]) != checksum(data[0:4], payload) {
		return nil, 0, ErrTorn
	}
	return payload, headerBytes + size, nil
}

// checksum covers the length too, so that a run of zero bytes is no valid record.
func checksum(length, payload []byte) uint32 {
	sum := crc32.Update(0, castagnoli, length)
	return crc32.Update(sum, castagnoli, payload) ^ 0xa5a5a5a5
}

// hasRecord reports whether a whole record starts anywhere in data.
func hasRecord(data []byte) bool {
	for i := range data {
		payload, _, err := decode(data[i:])
		if err == nil && len(payload) > 0 {
			return true
		}
	}
	return false
}
