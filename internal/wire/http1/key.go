package http1

import (
	"net/http"
	"strings"
)

// keyScheme is the scheme of the header Names.Key; it is compared without regard to case.
const keyScheme = "Bearer"

// valuesOf returns the values of all headers with the given name, without regard to case.
func valuesOf(h http.Header, name string) []string {
	var out []string
	for header, values := range h {
		if strings.EqualFold(header, name) {
			out = append(out, values...)
		}
	}

	return out
}

// TakeKey returns the customer's key that a request carries, and removes the headers that
// only the entry VM may set or see: Names.Key and Names.Customer. It returns false unless
// there is exactly one header Names.Key with the scheme keyScheme and one token.
func (r *Request) TakeKey(names Names) (string, bool) {
	for header := range r.Header {
		if strings.EqualFold(header, names.Key) || strings.EqualFold(header, names.Customer) {
			delete(r.Header, header)
		}
	}
	if len(r.keyHeaders) != 1 {
		return "", false
	}
	scheme, token, _ := strings.Cut(r.keyHeaders[0], " ")
	token = strings.Trim(token, " ")
	if !strings.EqualFold(scheme, keyScheme) || token == "" || strings.ContainsAny(token, " \t") {
		return "", false
	}

	return token, true
}

// SetCustomer names the customer of a request to the backend servers.
func (r *Request) SetCustomer(names Names, customer string) {
	r.Header[names.Customer] = []string{customer}
}
