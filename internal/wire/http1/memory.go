package http1

import (
	"errors"
	"io"
	"sync/atomic"
)

// memory bounds the bytes that are held for one purpose.
type memory struct {
	limit int64
	used  atomic.Int64
}

// reserve takes n bytes; it returns false, without taking any, if they are not free.
func (m *memory) reserve(n int64) bool {
	// A stated length may be so long that the sum would overflow.
	if n > m.limit {
		return false
	}
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)

	return false
}

// reserveHalf is like reserve, but leaves at least half of the memory to others.
func (m *memory) reserveHalf(n int64) bool {
	if !m.reserve(n) {
		return false
	}
	if m.used.Load() <= m.limit/2 {
		return true
	}
	m.release(n)

	return false
}

func (m *memory) release(n int64) {
	m.used.Add(-n)
}

// hold returns a reservation that holds nothing yet.
func (m *memory) hold() *reservation {
	return &reservation{memory: m}
}

// reservation is the memory that one attempt holds for its response. It is not safe for
// concurrent use.
type reservation struct {
	memory *memory
	bytes  int64
	// tookOnce is true after a successful takeOnce.
	tookOnce bool
}

// take reserves n more bytes; it returns false, without taking any, if they are not free.
func (r *reservation) take(n int64) bool {
	if !r.memory.reserve(n) {
		return false
	}
	r.bytes += n

	return true
}

// takeOnce is like take, but takes nothing more after it has succeeded.
func (r *reservation) takeOnce(n int64) bool {
	r.tookOnce = r.tookOnce || r.take(n)

	return r.tookOnce
}

// release gives back all that is reserved.
func (r *reservation) release() {
	r.memory.release(r.bytes)
	r.bytes = 0
}

// freeResponseBody is the number of bytes of a body that are held without a reservation, so
// that short responses are whole even when a server in trouble fills the memory.
const freeResponseBody = 4 << 10

// readBody reads a body of the stated length, negative if it is unknown, into memory. It
// stops, with whole false, when the body is longer than maxBufferedResponse or there is no
// memory for more of it.
func (r *reservation) readBody(body io.Reader, length int64) (data []byte, whole bool, err error) {
	// One byte more than the body, so that its end is read too.
	size := int64(freeResponseBody)
	if length >= 0 {
		size = min(length, maxBufferedResponse) + 1
	}
	if size > freeResponseBody && !r.take(size) {
		size = freeResponseBody
	}
	data = make([]byte, 0, size)
	for len(data) <= maxBufferedResponse {
		if len(data) == cap(data) {
			grown := min(2*int64(cap(data)), maxBufferedResponse+1)
			if !r.take(grown - int64(cap(data))) {
				return data, false, nil
			}
			data = append(make([]byte, 0, grown), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, true, nil
		case err != nil:
			return data, false, err //nolint:wrapcheck // The caller adds the context.
		}
	}

	return data, false, nil
}
