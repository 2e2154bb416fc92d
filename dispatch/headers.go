package dispatch

import (
	"net/http"
	"strings"

	"github.com/godwithub/godwithub/wire"
)

// hopByHop holds the headers that apply to a single connection only (RFC 9110, section 7.6.1).
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// EndToEnd returns the end-to-end headers of h. It leaves out hop-by-hop headers, those named in
// Connection, and those of this system (Godwithub-*).
func EndToEnd(h http.Header) []wire.Header {
	drop := map[string]bool{}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make([]wire.Header, 0, len(h))
	for name, values := range h {
		if hopByHop[name] || drop[name] || strings.HasPrefix(name, "Godwithub-") {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Header{Name: name, Value: v})
		}
	}
	return out
}
