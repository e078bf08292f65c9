package event

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
)

// Outcome is what a caller is told when the system answers itself.
type Outcome string

// Outcomes of requests that no backend server answered.
const (
	OutcomeNotRun    Outcome = "not-run"
	OutcomeUnknown   Outcome = "unknown"
	OutcomeDuplicate Outcome = "duplicate"
)

// Reason is the cause of an outcome.
type Reason string

// Reasons given in the Greengagetally-Reason header.
const (
	ReasonNoCapacity       Reason = "no-capacity"
	ReasonQueueTimeout     Reason = "queue-timeout"
	ReasonLinkLimit        Reason = "link-limit"
	ReasonShiftCap         Reason = "shift-cap"
	ReasonNoBackend        Reason = "no-backend"
	ReasonSuspect          Reason = "suspect"
	ReasonStoreUnavailable Reason = "store-unavailable"
	ReasonKeyExpired       Reason = "key-expired"
	ReasonKeyMalformed     Reason = "key-malformed"
	ReasonStopping         Reason = "stopping"
	ReasonStaleEntry       Reason = "stale-entry"
	ReasonUnknownService   Reason = "unknown-service"
	ReasonBackendFailed    Reason = "backend-failed"
	ReasonDeadline         Reason = "deadline"
	ReasonKeyClaimed       Reason = "key-claimed"
)

// RequestArrived starts the life of a request.
type RequestArrived struct {
	At

	ID      RequestID
	Service string
	Traits  model.Traits
	// RouteKey names the route for learning long work: method and first two
	// path segments.
	RouteKey string
	// Key is the idempotency key, or "".
	Key string
	// Fingerprint identifies a repeated request that may crash backend servers.
	Fingerprint uint64
	Deadline    time.Duration
	// CallerRegion is the region of the entry VM that the caller used.
	CallerRegion string
	// Carried is true when another entry VM sent the request here to be served.
	Carried bool
	// BodyBytes is the length of the body, or -1 when it is not known.
	BodyBytes int64
	// Replayable is true when the whole body is held so that it can be sent again.
	Replayable bool
}

// AttemptStarted tells that the first byte was written to the connection.
type AttemptStarted struct {
	At

	Request RequestID
	Attempt AttemptID
}

// HeaderReceived tells that an attempt received a response header.
type HeaderReceived struct {
	At

	Request RequestID
	Attempt AttemptID
	Status  int
}

// Result is how an attempt ended.
type Result int

// Results of attempts.
const (
	// ResultComplete means that the whole response was received.
	ResultComplete Result = iota
	// ResultNotSent means that no byte of the request reached the connection.
	ResultNotSent
	// ResultRefused means that the peer declared the request not run.
	ResultRefused
	// ResultBroken means that the connection broke before a response header.
	ResultBroken
	// ResultTruncated means that the response body broke off.
	ResultTruncated
	// ResultTimeout means that the deadline passed.
	ResultTimeout
	// ResultCanceled means that the attempt was cancelled by CancelAttempt or by
	// the caller.
	ResultCanceled
)

// AttemptEnded tells how an attempt ended; each SendToBackend and
// CarryToEntry is followed by exactly one.
type AttemptEnded struct {
	At

	Request RequestID
	Attempt AttemptID
	Result  Result
	Status  int
	Reason  Reason
}

// CallerDisconnected tells that the caller closed its connection.
type CallerDisconnected struct {
	At

	ID RequestID
}

// ClaimResult is the answer to a ClaimKey effect.
type ClaimResult int

// Results of claims.
const (
	ClaimGranted ClaimResult = iota
	ClaimDuplicate
	ClaimUnavailable
)

// ClaimEnded tells the result of claiming an idempotency key.
type ClaimEnded struct {
	At

	ID     RequestID
	Result ClaimResult
	// Holder is the claimer when the result is ClaimDuplicate.
	Holder Member
}

// SendToBackend sends the request to a backend server.
type SendToBackend struct {
	effect

	Request  RequestID
	Attempt  AttemptID
	Backend  string
	Deadline time.Duration
	Hedge    bool
}

// CarryToEntry sends the request to another entry VM, which serves it.
type CarryToEntry struct {
	effect

	Request  RequestID
	Attempt  AttemptID
	Entry    Member
	Region   string
	Deadline time.Duration
}

// CancelAttempt ends an attempt whose answer is not needed any more.
type CancelAttempt struct {
	effect

	Request RequestID
	Attempt AttemptID
}

// RelayResponse streams the response of an attempt to the caller.
type RelayResponse struct {
	effect

	Request RequestID
	Attempt AttemptID
}

// Refuse answers the caller without a response of a backend server.
type Refuse struct {
	effect

	Request    RequestID
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration
	// Holder may hold the answer when the outcome is OutcomeDuplicate.
	Holder Member
}

// ClaimKey claims the request's idempotency key before it is sent.
type ClaimKey struct {
	effect

	Request RequestID
	Key     string
}

// ReleaseClaim gives the claim up because the request did not run. It is
// answered by ClaimReleased, and the caller is refused after that.
type ReleaseClaim struct {
	effect

	Request RequestID
	Key     string
}

// ClaimReleased tells that the release asked for by ReleaseClaim ended; the
// claim may still stand when Released is false.
type ClaimReleased struct {
	At

	ID       RequestID
	Released bool
}
