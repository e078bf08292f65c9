// Package backend is a stand-in of backend servers: many servers in one
// process on different loopback addresses.
package backend

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"strconv"
)

// Headers between the load generator and the stand-in.
const (
	// HeaderID is the id of a caller's request; resends have the same one.
	HeaderID = "Lab-Request-Id"
	// HeaderAttempt numbers the resends of a request.
	HeaderAttempt = "Lab-Attempt"
	// HeaderSize is the size of the response body in bytes.
	HeaderSize = "Lab-Size"
	// HeaderFactor multiplies the service time of the request.
	HeaderFactor = "Lab-Factor"
	// HeaderCrash makes the server that runs the request crash.
	HeaderCrash = "Lab-Crash"
	// HeaderRegion is the region of the server, in responses.
	HeaderRegion = "Lab-Region"
)

// ResponseBody returns the response body for a request: its id, the checksum of its
// body and filler that depends on the id, at least size bytes in all.
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
