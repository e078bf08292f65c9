// Package backend runs the simulated backend servers of `greengagetally-lab backend`,
// many in one process, and the HTTP forwarder of `greengagetally-lab forward`, whose
// throughput is the baseline for entry VMs.
package backend

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"strconv"
)

// Headers between the load generator and the simulated servers.
const (
	// HeaderID is the id of a caller's request; retries of the request have the same id.
	HeaderID = "Lab-Request-Id"
	// HeaderAttempt is the number of the attempt of a request, from 0.
	HeaderAttempt = "Lab-Attempt"
	// HeaderSize is the least size of the response body in bytes.
	HeaderSize = "Lab-Size"
	// HeaderFactor multiplies the service time of the request.
	HeaderFactor = "Lab-Factor"
	// HeaderCrash, when not empty, makes the server that runs the request crash.
	HeaderCrash = "Lab-Crash"
	// HeaderRegion is the region of the server; only in responses.
	HeaderRegion = "Lab-Region"
)

// ResponseBody returns the response body for a request: the id, the CRC-32 checksum of
// the request body and filler that depends on the id, at least size bytes in all. The
// load generator compares the bodies of responses with this body.
func ResponseBody(id string, request []byte, size int) []byte {
	var b bytes.Buffer
	b.Grow(size + 64)
	_, _ = fmt.Fprintf(&b, "%s %08x\n", id, crc32.ChecksumIEEE(request))
	seed := uint64(crc32.ChecksumIEEE([]byte(id)))
	random := rand.New(rand.NewPCG(seed, seed))
	for b.Len() < size {
		_, _ = b.WriteString(strconv.FormatUint(random.Uint64(), 36))
	}

	return b.Bytes()
}
