package wire

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against malformed messages from another process that crash this one.
func FuzzDecode(f *testing.F) {
	for _, m := range []any{
		&AttemptHead{AttemptID: "a", RequestID: "r", Headers: []Header{{"A", "b"}}},
		&AnswerHead{RequestID: "r", Status: 200},
		&AnswerEnd{RequestID: "r", Load: Load{Slots: 5}},
	} {
		b, err := Encode(m)
		assert.NilError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var head AttemptHead
		if Decode(b, &head) == nil {
			head.URL("127.0.0.1:1")
		}
		Decode(b, &AnswerHead{})
		Decode(b, &AnswerEnd{})
		Decode(b, &Summaries{})
		Decode(b, &Crash{})
		Decode(b, &Survival{})
	})
}

// Guards against targets that are changed on the way to the upstream.
func TestURLKeepsTarget(t *testing.T) {
	for _, target := range []string{"/a%2Fb?x=1%20", "/plain", "/?", "/%zz", "/a|b?", "//a%2Fb?x"} {
		head := AttemptHead{Target: target}
		assert.Equal(t, head.URL("127.0.0.1:1").RequestURI(), target)
	}
}
