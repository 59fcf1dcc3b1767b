package walog

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// headerBytes is the size in bytes of a record's header: its length and its checksum.
const headerBytes = 8

// MaxRecord is the largest payload of a record, in bytes.
const MaxRecord = 64 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrTorn reports a record whose end is missing or whose checksum is wrong.
var ErrTorn = errors.New("record is torn")

// encode appends payload to buf as a record with a header.
func encode(buf, payload []byte) []byte {
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], checksum(header[0:4], payload))
	buf = append(buf, header[:]...)
	return append(buf, payload...)
}

// decode returns the payload of the first record in data, and the size of the record with its header, in bytes.
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

// checksum covers the length too, so that a run of zero bytes is not a valid record.
func checksum(length, payload []byte) uint32 {
	sum := crc32.Update(0, castagnoli, length)
	return crc32.Update(sum, castagnoli, payload) ^ 0xa5a5a5a5
}

// hasRecord reports whether a complete record starts anywhere in data.
func hasRecord(data []byte) bool {
	for i := range data {
		payload, _, err := decode(data[i:])
		if err == nil && len(payload) > 0 {
			return true
		}
	}
	return false
}
