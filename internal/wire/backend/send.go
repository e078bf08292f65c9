package backend

import (
	"net/http"

	"github.com/greengagetally/greengagetally/internal/wire/caller"
)

// Send implements caller.Sender by Do.
func (t *Transport) Send(req *http.Request, first, cancel func()) (*http.Response, caller.Trip, error) {
	return t.Do(req, first, cancel)
}
