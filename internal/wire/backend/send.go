package backend

import (
	"net/http"

	"github.com/greengagetally/greengagetally/internal/wire/caller"
)

// Send implements caller.Sender; it calls Do.
func (t *Transport) Send(req *http.Request, onFirstByte, cancel func()) (*http.Response, caller.Trip, error) {
	return t.Do(req, onFirstByte, cancel)
}
