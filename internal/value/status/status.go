// Package status says what HTTP statuses tell callers about their requests.
package status

import "net/http"

// SaysNotRun reports whether callers take a status as the promise that their request has not run
// and never will, so that one that must not be repeated may be sent again.
func SaysNotRun(code int) bool {
	switch code {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
