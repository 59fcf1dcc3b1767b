package paxos

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// A folder keeps its identity, and one of another host is refused.
func TestFolderBelongsToOneHost(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	first, _, err := openStore("a", folder)
	is.NoErr(err)
	is.NoErr(first.log.Close())
	again, _, err := openStore("a", folder)
	is.NoErr(err)
	is.NoErr(again.log.Close())
	is.Equal(again.id, first.id)
	_, _, err = openStore("b", folder)
	is.True(errors.Is(err, ErrForeignFolder))
}
