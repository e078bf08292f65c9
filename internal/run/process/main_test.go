package process

import (
	"io"
	"log"
	"os"
	"testing"
)

// TestMain discards what net/http logs about the malformed responses that backend
// servers of these tests send.
func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}
