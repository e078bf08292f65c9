package process

import (
	"io"
	"log"
	"os"
	"testing"
)

// TestMain discards the log of net/http: backend servers of these tests send malformed
// responses, and net/http logs each one.
func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}
