package store

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"time"
)

const (
	// MaxKeyAge is how long after its issue a key may be used.
	MaxKeyAge = 24 * time.Hour
	// maxKeyLead is how far in the future a key's time of issue may be, because a
	// caller's clock may run ahead.
	maxKeyLead = 5 * time.Minute
	// pageReuseHours is the number of hours after which the store key of a page is
	// reused for later idempotency keys. The last idempotency key of a page expires
	// 25 hours after the page's hour began, which leaves 47 hours for clock offsets.
	pageReuseHours = 72
	// pagesPerHour is the number of pages among which the keys of an hour are spread,
	// so that entries seldom write the same page at the same time.
	pagesPerHour = 64
)

// Errors that ParseKey and CheckAge return or wrap.
var (
	ErrKeyMalformed = errors.New("idempotency key must be <unix seconds>-<16 to 64 letters or digits>")
	ErrKeyExpired   = errors.New("idempotency key is older than 24 hours")
)

var keyPattern = regexp.MustCompile(`^([0-9]{1,12})-([0-9A-Za-z]{16,64})$`)

// Key is a parsed idempotency key: its time of issue and a random part.
type Key struct {
	text   string
	issued time.Time
}

// ParseKey parses the value of an Idempotency-Key header. The error is or wraps
// ErrKeyMalformed.
func ParseKey(text string) (Key, error) {
	match := keyPattern.FindStringSubmatch(text)
	if match == nil {
		return Key{}, ErrKeyMalformed
	}
	seconds, err := strconv.ParseInt(match[1], 10, 64)
	if err != nil {
		return Key{}, fmt.Errorf("parse time of key: %w", ErrKeyMalformed)
	}

	return Key{text: text, issued: time.Unix(seconds, 0)}, nil
}

// CheckAge checks a key's time of issue against the wall-clock time. It returns
// ErrKeyExpired for a key that is older than MaxKeyAge. For a key that was issued more
// than maxKeyLead in the future, it returns an error that wraps ErrKeyMalformed.
func (k Key) CheckAge(wall time.Time) error {
	age := wall.Sub(k.issued)
	if age > MaxKeyAge {
		return ErrKeyExpired
	}
	if age < -maxKeyLead {
		return fmt.Errorf("key was issued in the future: %w", ErrKeyMalformed)
	}

	return nil
}

// hour returns the hour of issue of the key, in hours since 1970.
func (k Key) hour() int64 {
	return k.issued.Unix() / int64(time.Hour/time.Second)
}

// digest returns the hash under which page.Claims holds the key's claim.
func (k Key) digest() string {
	sum := sha256.Sum256([]byte(k.text))

	return hex.EncodeToString(sum[:16])
}

// document returns a store key: that of the page to which the claim of the
// idempotency key k belongs.
func (k Key) document() string {
	sum := sha256.Sum256([]byte(k.text))
	page := binary.BigEndian.Uint32(sum[16:20]) % pagesPerHour

	return fmt.Sprintf("%s%d/%d", documentPrefix, k.hour()%pageReuseHours, page)
}
