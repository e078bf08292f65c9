package direct

import (
	"time"

	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

// denial says why a request is not handed to the reducer.
type denial struct {
	// status is the HTTP status of the answer.
	status     int
	reason     steer.Reason
	retryAfter time.Duration
}

// identifyCustomer returns the customer whose key a request carries, and prepares the headers
// that the backend server gets. It returns a denial if the request must not be served.
func (p *Process) identifyCustomer(_ *http1.Exchange, _ *intent.Intent, _ intent.Route) (intent.Customer, *denial) {
	return intent.Customer{}, nil
}

// takeQuota takes one request from the quota of a customer, and waits up to patience for it.
// It returns a denial if the customer has used up its quota. giveBack returns the request to
// the quota; it is called when no backend server has run the request.
func (p *Process) takeQuota(_ *http1.Exchange, _ intent.Customer, _ time.Duration) (giveBack func(), denied *denial) {
	return func() {}, nil
}
