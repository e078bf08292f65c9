package model

import "strings"

// Traits are the properties of a request that follow from its service, route and
// method.
type Traits struct {
	Class      Class
	Idempotent bool
}

// TraitsOf returns the traits of a request with the given method and path. The
// first route that matches applies. If no route matches, the class of the service
// applies, and the method decides whether the request is idempotent.
func (s Service) TraitsOf(method, path string) Traits {
	traits := Traits{Class: s.Class, Idempotent: idempotentMethod(method)}
	for _, r := range s.Routes {
		if r.Method != "" && r.Method != method {
			continue
		}
		if !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		traits.Class = r.Class
		if r.Idempotent != nil {
			traits.Idempotent = *r.Idempotent
		}

		return traits
	}

	return traits
}

// idempotentMethod reports whether RFC 9110, section 9.2.2, defines the method as
// idempotent.
func idempotentMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE":
		return true
	}

	return false
}
