package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

// targets are request targets that a parser may write in another way.
var targets = []string{
	"/order/7", "/order/a|b", "/order/{x}", "/order/a^b", "/order/a?", "/order/a?x=1&&y=%zz;|", "/order/archive%2F7", "/order/../order/7", "/order/./a//b",
	"/order/%41%7e%7E", "/order/a%20b", "/order/caf\xe9", "/order/\"<>`", "/order/a;b=c,d", "/order/a#b", "/order/a+b%2B", "/order/[1]", "/order/a\\b", "/order/:@!$&'()*",
}

// Guards against targets that reach an upstream otherwise than the caller sent them.
func TestTargetsAreNotRewritten(t *testing.T) {
	f := newTestFleet(t, make([]float64, 1), 1, 0, func(f *testFleet) { f.path = "/order/*" })
	received := make(chan string, 1)
	f.nodes[0].fault = func(_ http.ResponseWriter, r *http.Request) { received <- r.RequestURI }
	callers := httptest.NewServer(f.nodes[0].process.Load().ingress)
	t.Cleanup(callers.Close)
	for _, target := range targets {
		for _, form := range []string{"", "http://shop.example"} {
			c, err := net.Dial("tcp", callers.Listener.Addr().String())
			assert.NilError(t, err)
			fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", form, target)
			b, err := io.ReadAll(c)
			c.Close()
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(string(b), "HTTP/1.1 200 "), "%q: %.200q", target, b)
			assert.Equal(t, <-received, target)
		}
	}
}

// Guards against a route that is found by the decoded path, so that a request goes to a service that no prefix of its path
// names.
func TestRouteIsFoundByTheBytesOfThePath(t *testing.T) {
	s := resource.NewSet(resource.Version{Epoch: 1, Revision: 1})
	for name, prefix := range map[string]string{"shop": "/order/", "audit": "/order/archive/"} {
		s.Put(&resource.Route{Meta: resource.Meta{Name: name}, Host: "*", PathPrefix: prefix, Service: name})
	}
	c := resource.Compile(s)
	for target, want := range map[string]string{
		"/order/archive/7": "audit", "/order/archive%2F7": "shop", "/order/%61rchive/7": "shop", "/order/../order/archive/7": "shop",
		"/order/archive/..%2F7": "audit", "/order/archive/?/order/": "audit", "/order/?/order/archive/": "shop",
	} {
		r := httptest.NewRequest(http.MethodGet, "http://h"+target, nil)
		route, err := findRoute(c, r, pathOf(targetOf(r)))
		assert.NilError(t, err)
		assert.Equal(t, route.Service, want, target)
	}
	r := httptest.NewRequest(http.MethodGet, "http://h/%6frder/7", nil)
	_, err := findRoute(c, r, pathOf(targetOf(r)))
	assert.ErrorContains(t, err, "no route")
}

// What comes in is what the parser of an upstream sees.
func FuzzTarget(f *testing.F) {
	for _, t := range targets {
		f.Add(t)
	}
	f.Fuzz(func(t *testing.T, target string) {
		parse := func(b []byte) (*http.Request, error) { return http.ReadRequest(bufio.NewReader(bytes.NewReader(b))) }
		in, err := parse([]byte("POST " + target + " HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n\r\n"))
		// A target that begins with two slashes is sent as net/url writes it.
		if err != nil || !strings.HasPrefix(in.RequestURI, "/") || strings.HasPrefix(in.RequestURI, "//") {
			return
		}
		head := wire.AttemptHead{Target: targetOf(in)}
		var out bytes.Buffer
		assert.NilError(t, (&http.Request{Method: in.Method, URL: head.URL("127.0.0.1:80"), Host: in.Host}).Write(&out))
		seen, err := parse(out.Bytes())
		assert.NilError(t, err)
		assert.Equal(t, seen.RequestURI, in.RequestURI)
	})
}
