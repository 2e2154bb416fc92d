package server

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/resource"
)

// Guards against an OpenAPI document whose paths and methods differ from the registered routes.
func TestOpenAPIMatchesTheRoutes(t *testing.T) {
	var doc struct {
		OpenAPI string                                `json:"openapi"`
		Paths   map[string]map[string]json.RawMessage `json:"paths"`
	}
	f := newFixture(t)
	assert.Equal(t, f.call(&doc, RoleReader, "GET", "/v1/openapi.json", ""), 200)
	assert.Assert(t, strings.HasPrefix(doc.OpenAPI, "3."))
	var described, served []string
	for path, operations := range doc.Paths {
		for method := range operations {
			described = append(described, strings.ToUpper(method)+" "+path)
		}
	}
	for _, r := range f.server.app.GetRoutes() {
		if strings.HasPrefix(r.Tmpl().Src, "/v1/") {
			served = append(served, r.Method+" "+r.Tmpl().Src)
		}
	}
	slices.Sort(described)
	slices.Sort(served)
	assert.DeepEqual(t, described, served)
}

// Guards against bodies that make a handler panic, or that are refused without an error code. CI runs
// it with -fuzz FuzzBodies -fuzztime 20000x.
func FuzzBodies(f *testing.F) {
	for _, seed := range []string{
		`{"name":"a","weight":1}`, `{"type":"kinds","name":"k","service":"s","availabilityObjective":0.5}`,
		`{"writes":[{"op":"put","object":{"type":"services","name":"s","floor":1}},{"op":"delete","key":{"type":"ranks","name":"r"},"revision":1}]}`,
		`{"name":"g","homeRegion":"r","epoch":1,"members":[{"replica":1,"node":"n"}]}`, `[]`, `null`, `{"name":null}`, `{"name":"a","weight":1e999}`,
	} {
		f.Add([]byte(seed))
	}
	fix := newFixture(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		paths := []string{"/v1/apply"}
		for _, typ := range resource.Types {
			paths = append(paths, "/v1/"+string(typ))
		}
		for _, path := range paths {
			r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(body)))
			r.Header.Set("Authorization", "Bearer "+fix.tokens[RoleAdmin])
			w := httptest.NewRecorder()
			fix.server.ServeHTTP(w, r)
			if w.Code < 300 {
				continue
			}
			var e apiv1.Error
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &e), "%s", w.Body)
			assert.Assert(t, e.Code != "" && w.Code >= 400 && w.Code < 500, "%d %s", w.Code, w.Body)
		}
	})
}
