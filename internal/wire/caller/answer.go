package caller

import (
	"net/http"
	"sync"
	"time"
)

const (
	// holdAnswer is how long the answer of a keyed request is held.
	holdAnswer = 5 * time.Minute
	// maxAnswers and maxAnswerBytes bound the memory of held answers.
	maxAnswers     = 4096
	maxAnswerBytes = 16 << 20
)

// Answer is the whole response to a request with an idempotency key.
type Answer struct {
	// Fingerprint is that of the request, so that another request that uses the
	// same key is not given the answer.
	Fingerprint uint64
	Status      int
	Header      http.Header
	Body        []byte
}

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
		header["Content-Type"] = nil
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

type heldAnswer struct {
	key    string
	answer Answer
	until  time.Duration
}

// AnswerCache holds the answers of keyed requests for their duplicates.
type AnswerCache struct {
	now func() time.Duration

	mu       sync.Mutex
	held     map[string]heldAnswer
	progress map[string]int
	order    []heldAnswer
	bytes    int
}

// NewAnswerCache returns an empty holder; now tells the time of the process.
func NewAnswerCache(now func() time.Duration) *AnswerCache {
	return &AnswerCache{now: now, held: map[string]heldAnswer{}, progress: map[string]int{}}
}

// Fetch returns the held answer and whether the request is still in progress.
func (s *AnswerCache) Fetch(key string, fingerprint uint64) (answer Answer, found, inProgress bool) {
	answer, found = s.get(key, fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()

	return answer, found, !found && s.progress[key] > 0
}

func (s *AnswerCache) get(key string, fingerprint uint64) (Answer, bool) {
	if key == "" {
		return Answer{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	h, ok := s.held[key]
	if !ok || h.answer.Fingerprint != fingerprint {
		return Answer{}, false
	}

	return h.answer, true
}

// begin marks a key as in progress until drop.
func (s *AnswerCache) begin(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progress[key]++
}

// drop ends the progress of a key.
func (s *AnswerCache) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progress[key]--
	if s.progress[key] <= 0 {
		delete(s.progress, key)
	}
}

// put holds the answer of a key.
func (s *AnswerCache) put(key string, answer Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.held[key]; ok {
		return
	}
	h := heldAnswer{key: key, answer: answer, until: s.now() + holdAnswer}
	s.held[key] = h
	s.order = append(s.order, h)
	s.bytes += answer.size()
	for len(s.order) > maxAnswers || s.bytes > maxAnswerBytes {
		s.removeOldest()
	}
}

func (s *AnswerCache) expire() {
	for len(s.order) > 0 && s.order[0].until <= s.now() {
		s.removeOldest()
	}
}

func (s *AnswerCache) removeOldest() {
	oldest := s.order[0]
	s.order = s.order[1:]
	s.bytes -= oldest.answer.size()
	delete(s.held, oldest.key)
}

// recorder keeps a copy of a response while it is relayed.
type recorder struct {
	answers *AnswerCache
	key     string
	answer  Answer
	tooLong bool
}

// recorder returns nil when the response need not be held.
func (x *exchange) recorder(resp *http.Response) *recorder {
	if !x.keyed || resp.ContentLength > maxHeld {
		return nil
	}
	answer := Answer{Fingerprint: x.fingerprint, Status: resp.StatusCode, Header: resp.Header.Clone()}

	return &recorder{answers: x.answers, key: x.key, answer: answer}
}

func (r *recorder) write(p []byte) {
	if r.tooLong || len(r.answer.Body)+len(p) > maxHeld {
		r.tooLong = true
		r.answer.Body = nil

		return
	}
	r.answer.Body = append(r.answer.Body, p...)
}

func (r *recorder) done() {
	if !r.tooLong {
		r.answers.put(r.key, r.answer)
	}
}
