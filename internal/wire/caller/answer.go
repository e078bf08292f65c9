package caller

import (
	"net/http"
	"sync"
	"time"
)

const (
	// answerTTL is how long an AnswerCache holds an answer.
	answerTTL = 5 * time.Minute
	// maxCachedAnswers and maxCachedBytes bound the memory of an AnswerCache.
	maxCachedAnswers = 4096
	maxCachedBytes   = 16 << 20
)

// Answer is the whole response to a request that is not idempotent and has an idempotency
// key. An AnswerCache holds the response for duplicates of the request, which have the
// same key.
type Answer struct {
	// Fingerprint is the fingerprint of the request. A request with the same key but
	// another fingerprint does not get the answer.
	Fingerprint uint64
	Status      int
	Header      http.Header
	Body        []byte
}

// size returns the size of header and body in bytes.
func (a Answer) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		for _, value := range values {
			n += len(name) + len(value)
		}
	}

	return n
}

func (a Answer) write(w http.ResponseWriter) {
	header := w.Header()
	copyHeader(header, a.Header)
	if _, ok := header["Content-Type"]; !ok {
		// Keeps net/http from guessing a Content-Type.
		header["Content-Type"] = nil
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// cachedAnswer is an Answer in an AnswerCache.
type cachedAnswer struct {
	key    string
	answer Answer
	// expiresAt is a time since the start of the process.
	expiresAt time.Duration
}

// AnswerCache holds answers by idempotency key. It also counts the requests in progress
// for each key. It drops the oldest answers beyond answerTTL, maxCachedAnswers and
// maxCachedBytes.
type AnswerCache struct {
	now func() time.Duration

	mu    sync.Mutex
	byKey map[string]cachedAnswer
	// running counts the requests in progress for each key.
	running     map[string]int
	oldestFirst []cachedAnswer
	cachedBytes int
}

// NewAnswerCache returns an empty cache; now returns the time since the start of
// the process.
func NewAnswerCache(now func() time.Duration) *AnswerCache {
	return &AnswerCache{now: now, byKey: map[string]cachedAnswer{}, running: map[string]int{}}
}

// Fetch returns the answer held for a key if it belongs to a request with the same
// fingerprint. When no such answer is held, inProgress tells whether a request with the
// key is in progress.
func (c *AnswerCache) Fetch(key string, fingerprint uint64) (answer Answer, found, inProgress bool) {
	answer, found = c.get(key, fingerprint)
	c.mu.Lock()
	defer c.mu.Unlock()

	return answer, found, !found && c.running[key] > 0
}

func (c *AnswerCache) get(key string, fingerprint uint64) (Answer, bool) {
	if key == "" {
		return Answer{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeExpired()
	cached, ok := c.byKey[key]
	if !ok || cached.answer.Fingerprint != fingerprint {
		return Answer{}, false
	}

	return cached.answer, true
}

// beginRequest counts a request with the key as in progress until endRequest is called.
func (c *AnswerCache) beginRequest(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[key]++
}

// endRequest counts one request with the key as ended.
func (c *AnswerCache) endRequest(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[key]--
	if c.running[key] <= 0 {
		delete(c.running, key)
	}
}

// put stores the answer for a key, unless the cache already holds an answer for the key.
func (c *AnswerCache) put(key string, answer Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeExpired()
	if _, ok := c.byKey[key]; ok {
		return
	}
	cached := cachedAnswer{key: key, answer: answer, expiresAt: c.now() + answerTTL}
	c.byKey[key] = cached
	c.oldestFirst = append(c.oldestFirst, cached)
	c.cachedBytes += answer.size()
	for len(c.oldestFirst) > maxCachedAnswers || c.cachedBytes > maxCachedBytes {
		c.removeOldest()
	}
}

func (c *AnswerCache) removeExpired() {
	for len(c.oldestFirst) > 0 && c.oldestFirst[0].expiresAt <= c.now() {
		c.removeOldest()
	}
}

func (c *AnswerCache) removeOldest() {
	oldest := c.oldestFirst[0]
	c.oldestFirst = c.oldestFirst[1:]
	c.cachedBytes -= oldest.answer.size()
	delete(c.byKey, oldest.key)
}

// answerRecorder records a response for an AnswerCache while the response is relayed.
type answerRecorder struct {
	answers *AnswerCache
	key     string
	answer  Answer
	// tooLong is true once the body exceeds maxHeldBodyBytes; save then stores nothing.
	tooLong bool
}

// answerRecorder returns a recorder of the response. It returns nil when the response is
// not to be held: atMostOnce is false, or the announced length exceeds maxHeldBodyBytes.
func (x *exchange) answerRecorder(resp *http.Response) *answerRecorder {
	if !x.atMostOnce || resp.ContentLength > maxHeldBodyBytes {
		return nil
	}
	answer := Answer{Fingerprint: x.fingerprint, Status: resp.StatusCode, Header: resp.Header.Clone()}

	return &answerRecorder{answers: x.answers, key: x.key, answer: answer}
}

func (r *answerRecorder) write(p []byte) {
	if r.tooLong || len(r.answer.Body)+len(p) > maxHeldBodyBytes {
		r.tooLong = true
		r.answer.Body = nil

		return
	}
	r.answer.Body = append(r.answer.Body, p...)
}

// save puts the complete response into the cache.
func (r *answerRecorder) save() {
	if !r.tooLong {
		r.answers.put(r.key, r.answer)
	}
}
