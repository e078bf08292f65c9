package event

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
)

// Outcome tells the caller whether its request ran. An entry VM that answers in place
// of a backend server sends the outcome in the Greengagetally-Outcome header.
type Outcome string

// Outcomes of requests that no backend server answered.
const (
	// OutcomeNotRun means that no backend server has run or will run the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeDuplicate means that the idempotency key was claimed before.
	OutcomeDuplicate Outcome = "duplicate"
)

// Reason is the cause of an outcome.
type Reason string

// Reasons given in the Greengagetally-Reason header.
const (
	// ReasonNoCapacity: the queue of the service is full.
	ReasonNoCapacity Reason = "no-capacity"
	// ReasonQueueTimeout: no token of a backend server became free in time.
	ReasonQueueTimeout Reason = "queue-timeout"
	// ReasonLinkLimit: the link to the serving region is full. No code uses this
	// reason.
	ReasonLinkLimit Reason = "link-limit"
	// ReasonShiftCap: the limit on moving the service's traffic between regions
	// (model.ShiftCap) lets no usable region get the request.
	ReasonShiftCap Reason = "shift-cap"
	// ReasonNoBackend: no backend server or entry VM can take the request.
	ReasonNoBackend Reason = "no-backend"
	// ReasonSuspect: requests with the same fingerprint crashed backend servers.
	ReasonSuspect Reason = "suspect"
	// ReasonStoreUnavailable: the idempotency key could not be claimed.
	ReasonStoreUnavailable Reason = "store-unavailable"
	// ReasonKeyExpired: the idempotency key is too old.
	ReasonKeyExpired Reason = "key-expired"
	// ReasonKeyMalformed: the idempotency key has a wrong form or a time in the
	// future.
	ReasonKeyMalformed Reason = "key-malformed"
	// ReasonLengthMissing: the request may have a body whose end cannot be told.
	ReasonLengthMissing Reason = "length-missing"
	// ReasonStopping: the entry VM is stopping.
	ReasonStopping Reason = "stopping"
	// ReasonStaleEntry: the entry VM has lost contact with the store and with the
	// other availability zones.
	ReasonStaleEntry Reason = "stale-entry"
	// ReasonUnknownService: the configuration has no such service.
	ReasonUnknownService Reason = "unknown-service"
	// ReasonBackendFailed: an attempt at a backend server or entry VM failed.
	ReasonBackendFailed Reason = "backend-failed"
	// ReasonUnclearRefusal: the status of a response says that a request which must not be
	// repeated has not run, but its headers do not.
	ReasonUnclearRefusal Reason = "unclear-refusal"
	// ReasonDeadline: the deadline passed.
	ReasonDeadline Reason = "deadline"
	// ReasonKeyClaimed: the idempotency key was claimed before.
	ReasonKeyClaimed Reason = "key-claimed"
)

// RequestArrived reports a new request. The request comes from a caller, or from
// another entry VM that sent it here to be served.
type RequestArrived struct {
	At

	ID      RequestID
	Service string
	Traits  model.Traits
	// RouteKey is the method and the first two path segments. The reducer learns by
	// RouteKey which routes have long work.
	RouteKey string
	// Key is the idempotency key, or "".
	Key string
	// Fingerprint is a hash of the request. It identifies a request that crashed
	// backend servers when a caller sends that request again.
	Fingerprint uint64
	// Deadline is the time, since the start of the process, by which the request
	// must be answered.
	Deadline time.Duration
	// CallerRegion is the region of the entry VM that the caller used.
	CallerRegion string
	// Carried is true when another entry VM sent the request here to be served.
	Carried bool
	// BodyBytes is the length of the body in bytes, or -1 when it is not known.
	BodyBytes int64
	// Replayable is true when the whole body is held so that it can be sent again.
	Replayable bool
}

// AttemptStarted reports that the first byte of an attempt is about to be written
// to the connection.
type AttemptStarted struct {
	At

	Request RequestID
	Attempt AttemptID
}

// HeaderReceived reports that an attempt received a response header.
type HeaderReceived struct {
	At

	Request RequestID
	Attempt AttemptID
	// Status is the HTTP status code.
	Status int
}

// Result is how an attempt ended.
type Result int

// Results of attempts.
const (
	// ResultComplete means that the whole response was received.
	ResultComplete Result = iota
	// ResultNotSent means that no byte of the request reached the connection.
	ResultNotSent
	// ResultRefused means that the backend server or entry VM declared the request
	// not run.
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

// AttemptEnded reports how an attempt ended. Each SendToBackend and CarryToEntry is
// followed by exactly one AttemptEnded.
type AttemptEnded struct {
	At

	Request RequestID
	Attempt AttemptID
	Result  Result
	// Status is the HTTP status code of the response, or 0 without a response.
	Status int
	// Reason is the reason that the response gives for ResultRefused, or "".
	Reason Reason
}

// CallerDisconnected reports that the caller closed its connection.
type CallerDisconnected struct {
	At

	ID RequestID
}

// ClaimResult is the answer to a ClaimKey effect.
type ClaimResult int

// Results of claims.
const (
	// ClaimGranted means that this entry may send the request.
	ClaimGranted ClaimResult = iota
	// ClaimDuplicate means that the key was claimed before.
	ClaimDuplicate
	// ClaimUnavailable means that the key could not be claimed, for example because
	// the store does not answer.
	ClaimUnavailable
)

// ClaimEnded reports the result of claiming an idempotency key.
type ClaimEnded struct {
	At

	ID     RequestID
	Result ClaimResult
	// Holder is the entry that claimed the key when the result is ClaimDuplicate.
	Holder Member
}

// SendToBackend sends the request to a backend server. Hedge is true for a second
// attempt that is sent while the first one is still running.
type SendToBackend struct {
	effect

	Request  RequestID
	Attempt  AttemptID
	Backend  string
	Deadline time.Duration
	Hedge    bool
}

// CarryToEntry sends the request to another entry VM, which serves it. Region is
// the region of that entry VM.
type CarryToEntry struct {
	effect

	Request  RequestID
	Attempt  AttemptID
	Entry    Member
	Region   string
	Deadline time.Duration
}

// CancelAttempt cancels an attempt whose response is not needed any more.
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

// Refuse answers the caller without a response of a backend server. RetryAfter is
// how long the caller should wait before it sends the request again, or 0 for no
// hint.
type Refuse struct {
	effect

	Request    RequestID
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration
	// Holder is the entry that may still hold the response when the outcome is
	// OutcomeDuplicate.
	Holder Member
}

// ClaimKey claims the idempotency key of a request before the request is sent;
// ClaimEnded answers it.
type ClaimKey struct {
	effect

	Request RequestID
	Key     string
}

// ReleaseClaim releases the claim of a request that did not run. ClaimReleaseEnded
// answers it. A refusal that tells the caller "not-run" waits for this answer, up to a
// time limit.
type ReleaseClaim struct {
	effect

	Request RequestID
	Key     string
}

// ClaimReleaseEnded reports how a ReleaseClaim ended. When Released is false, the
// store may still hold the claim.
type ClaimReleaseEnded struct {
	At

	ID       RequestID
	Released bool
}
