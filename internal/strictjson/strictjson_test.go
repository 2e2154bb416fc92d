package strictjson

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

type inner struct {
	Count int64    `json:"count"`
	Names []string `json:"names"`
}

type outer struct {
	Host  string   `json:"host"`
	Share *float64 `json:"share,omitempty"`
	List  []inner  `json:"list"`
}

const valid = `{"host":"a.example","share":null,"list":[{"count":3,"names":["x","y"]}]}`

// Guards against text that is decoded as something else than was sent.
func TestDamageIsRefused(t *testing.T) {
	var v outer
	assert.NilError(t, Unmarshal([]byte(valid), &v))
	assert.DeepEqual(t, v, outer{Host: "a.example", List: []inner{{3, []string{"x", "y"}}}})
	nested := strings.Repeat(`[`, 2*maxDepth) + strings.Repeat(`]`, 2*maxDepth)
	for name, change := range map[string][2]string{
		"not UTF-8 in a value":      {"a.example", "a.ex\xe1mple"},
		"not UTF-8 in a name":       {`"host"`, "\"h\xefst\""},
		"half of a surrogate pair":  {"a.example", `\ud800`},
		"low half first":            {"a.example", `\uDC00\ud800`},
		"two high halves":           {"a.example", `\ud800\ud801`},
		"a field named twice":       {`"host"`, `"host":"b.example","host"`},
		"a field in another case":   {`"host"`, `"Host"`},
		"and in both":               {`"host"`, `"HOST":"b.example","host"`},
		"an unknown field":          {`"host"`, `"port":7,"host"`},
		"another case further down": {`"count"`, `"COUNT"`},
		"text after the end":        {`}]}`, `}]} {}`},
		"a bracket after the end":   {`}]}`, `}]}]`},
		"a number out of range":     {`3`, `9223372036854775808`},
		"a fraction":                {`3`, `3.5`},
		"null":                      {`3`, `null`},
		"null in a list":            {`"y"`, `null`},
		"deep nesting":              {`"x"`, nested},
		"another type":              {`"a.example"`, `7`},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(valid, change[0], change[1], 1)
			assert.Assert(t, text != valid)
			assert.Assert(t, Unmarshal([]byte(text), new(outer)) != nil)
		})
	}
	for i := range len(valid) {
		assert.Assert(t, Unmarshal([]byte(valid[:i]), new(outer)) != nil, "cut after %d bytes", i)
	}
}

// Guards against valid text that is refused.
func TestTextWithoutDamageIsDecoded(t *testing.T) {
	for _, text := range []string{`"\ud83d\ude00"`, `"\\ud800"`, `"\\\\ud800"`, `"\ufffd"`, `"ä"`, `{"a":{"a":1},"b":[{"a":2},{"a":3}]}`, `[]`, `null`, ` 7 `} {
		assert.NilError(t, Check([]byte(text)), text)
	}
	assert.ErrorIs(t, Check([]byte(`"\\\ud800"`)), ErrSurrogate)
	assert.ErrorIs(t, Check([]byte("\xff")), ErrNotUTF8)
	assert.ErrorIs(t, Check([]byte(strings.Repeat(`[`, 3*maxDepth))), ErrTooDeep)
	var nameErr *NameError
	assert.Assert(t, errors.As(Check([]byte(`{"a":1,"A":2}`)), &nameErr))
}

// Guards against a single damaged bit after which another value is decoded than the one that was sent.
func FuzzUnmarshal(f *testing.F) {
	for bit := range 8 * len(valid) {
		text := []byte(valid)
		text[bit/8] ^= 1 << (bit % 8)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var v outer
		if Unmarshal(text, &v) != nil {
			return
		}
		encoded, err := json.Marshal(v)
		assert.NilError(t, err)
		var sent, decoded map[string]any
		assert.NilError(t, json.Unmarshal(text, &sent))
		assert.NilError(t, json.Unmarshal(encoded, &decoded))
		for name, value := range decoded {
			if sent[name] != nil {
				assert.Assert(t, name == "list" || reflect.DeepEqual(sent[name], value), "%s of %q is decoded as %v", name, text, value)
			}
		}
	})
}
