package pack

import (
	"bytes"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// A message of any kind is unpacked as it was packed; damaged and oversized messages are errors.
func TestPack(t *testing.T) {
	is := is.New(t)
	for _, message := range [][]byte{{}, []byte("a"), bytes.Repeat([]byte("route "), 10_000)} {
		packed, err := Pack(message)
		is.NoErr(err)
		unpacked, err := Unpack(packed, int64(len(message)))
		is.NoErr(err)
		is.True(bytes.Equal(unpacked, message))
	}
	packed, err := Pack(bytes.Repeat([]byte("x"), 100))
	is.NoErr(err)
	_, err = Unpack(packed, 99)
	is.True(errors.Is(err, ErrTooLarge))
	_, err = Unpack(packed[:len(packed)-3], 100)
	is.True(err != nil)
}
