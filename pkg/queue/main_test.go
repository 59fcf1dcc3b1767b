package queue_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that every run gives the same result. The flag -rapid.seed overrides the seed.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
