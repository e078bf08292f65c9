package world

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// Sent is a request as a client sent it.
type Sent struct {
	ID, Method, Target string
	Body               string
	BodyBytes          int
	// Unsafe is true if the request may run once at most.
	Unsafe bool
	// Retry is the ID of the attempt before, or "".
	Retry string
}

// Run is a request that a backend server ran.
type Run struct {
	Server, Service, ID, Method, Target, Body string
	BodyBytes                                 int
}

// Answered is what a client got.
type Answered struct {
	ID string
	// Status is 0 if the connection ended without a complete answer.
	Status int
	Stamp  string
	// Whole is true if the body is that of the answer to this request.
	Whole bool
	Err   error
}

// Record holds all that was sent, run and answered.
type Record struct {
	mu       sync.Mutex
	start    time.Time
	lines    []string
	sent     map[string]Sent
	runs     []Run
	answered map[string]Answered
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{start: time.Now(), sent: map[string]Sent{}, answered: map[string]Answered{}}
}

// Note adds a line.
func (r *Record) Note(format string, args ...any) { r.note(format, args...) }

func (r *Record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *Record) line(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

// Sending records a request that is sent now.
func (r *Record) Sending(s Sent) { r.sending(s) }

// Got records an answer.
func (r *Record) Got(a Answered) { r.got(a) }

// HasRun reports whether a server ran a request.
func (r *Record) HasRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return slices.ContainsFunc(r.runs, func(run Run) bool { return run.ID == id })
}

func (r *Record) sending(s Sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[s.ID] = s
	r.line("sent %s %s %s, body %s of %d bytes, unsafe %v, repeats %q", s.ID, s.Method, s.Target, s.Body, s.BodyBytes, s.Unsafe, s.Retry)
}

func (r *Record) ran(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
	r.line("run  %s at %s: %s %s, body %s of %d bytes", run.ID, run.Server, run.Method, run.Target, run.Body, run.BodyBytes)
}

func (r *Record) got(a Answered) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered[a.ID] = a
	r.line("answered %s: %d, stamp %q, whole %v, error %v", a.ID, a.Status, a.Stamp, a.Whole, a.Err)
}

// Breaks returns a line for each broken rule of those that concern single requests.
func (r *Record) Breaks() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	count := map[string]int{}
	for _, run := range r.runs {
		count[run.ID]++
		if service := serviceOf(run.Target); service != run.Service {
			out = append(out, fmt.Sprintf("ROUTE: %s of service %s runs %s %s of %s, which goes to %s", run.Server, run.Service, run.Method, run.Target, run.ID, service))
		}
		s, ok := r.sent[run.ID]
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("UNASKED: %s runs %q, which no client sent", run.Server, run.ID))
		case s.Method != run.Method || s.Target != run.Target:
			out = append(out, fmt.Sprintf("UNASKED: %s runs %s as %s %s, sent as %s %s", run.Server, run.ID, run.Method, run.Target, s.Method, s.Target))
		case s.Body != run.Body:
			out = append(out, fmt.Sprintf("UNASKED: %s runs %s with a body of %d bytes, sent with %d bytes", run.Server, run.ID, run.BodyBytes, s.BodyBytes))
		}
	}
	refusals := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	for id, a := range r.answered {
		s := r.sent[id]
		if s.Unsafe && count[id] > 1 {
			out = append(out, fmt.Sprintf("TWICE: %s ran %d times", id, count[id]))
		}
		if s.Unsafe && slices.Contains(refusals, a.Status) && count[id] > 0 {
			out = append(out, fmt.Sprintf("REFUSED: %s was answered %d (stamp %q) and has run", id, a.Status, a.Stamp))
		}
		if a.Status/100 == 2 && (a.Stamp == "" || !a.Whole) {
			out = append(out, fmt.Sprintf("MIXED: %s got %d, stamp %q, whole %v", id, a.Status, a.Stamp, a.Whole))
		}
	}
	slices.Sort(out)

	return out
}

// serviceOf returns the only service to which a configuration sends a target.
func serviceOf(target string) string {
	if strings.HasPrefix(target, PathSearch) {
		return ServiceTalent
	}

	return ServiceBooking
}

// Counts returns how many requests were sent, run and answered with success.
func (r *Record) Counts() (sent, runs, successes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.answered {
		if a.Status/100 == 2 {
			successes++
		}
	}

	return len(r.sent), len(r.runs), successes
}

// Write writes the record to a file, after a summary.
func (r *Record) Write(path string, summary ...string) error {
	r.mu.Lock()
	defer r.mu.Unlock()

	return os.WriteFile(path, []byte(strings.Join(append(summary, r.lines...), "\n")+"\n"), 0o644)
}
