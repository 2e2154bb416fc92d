package ingress

import (
	"net/http"
	"strings"

	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/resource"
)

// authenticate sets the customer of a request on a route that is not public, if the configuration requires
// keys. Its refusals never contain the key.
func (rq *request) authenticate(c *resource.Config, route *resource.Route, header string) error {
	if !needsKey(c, route) {
		return nil
	}
	key, ok := credentialOf(rq.http.Header, header)
	if !ok {
		return refuse(outcome.ReasonUnknownKey, "route %s needs exactly one key", route.Name)
	}
	customer := c.CustomerByKey(key)
	if customer == nil {
		return refuse(outcome.ReasonUnknownKey, "no customer has the key of the request")
	}
	rq.setCustomer(customer)
	return nil
}

func (rq *request) setCustomer(c *resource.Customer) {
	rq.customer, rq.caller = c, c.Name
	if c.Level != nil {
		rq.level = *c.Level
	}
}

// needsKey reports whether requests of a route need the key of a customer.
func needsKey(c *resource.Config, route *resource.Route) bool {
	return c.KeysRequired() && !route.Public
}

// credentialOf returns the value of the header with a customer's key. ok is false if there is none, or if it is
// given several times with different values: one process could then read another key than the next one.
func credentialOf(h http.Header, header string) (key string, ok bool) {
	if header == "" {
		return "", false
	}
	for name, values := range h {
		if !strings.EqualFold(name, header) {
			continue
		}
		for _, v := range values {
			if ok && v != key {
				return "", false
			}
			key, ok = v, true
		}
	}
	return key, ok && key != ""
}

// removeCredential removes the header with a customer's key, so that it gets no further than the ingress.
func removeCredential(h http.Header, header string) {
	if header == "" {
		return
	}
	for name := range h {
		if strings.EqualFold(name, header) {
			delete(h, name)
		}
	}
}

// customerName returns the name of the customer, or "" if the request has none.
func (rq *request) customerName() string {
	if rq.customer == nil {
		return ""
	}
	return rq.customer.Name
}
