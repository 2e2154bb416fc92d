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
	})
}

// Guards against percent escapes in the path that are changed on the way to the upstream.
func TestURLKeepsEscapes(t *testing.T) {
	for _, target := range []string{"/a%2Fb?x=1%20", "/plain", "/?", "/%zz"} {
		head := AttemptHead{Target: target}
		got := head.URL("127.0.0.1:1").RequestURI()
		if target == "/?" {
			target = "/"
		}
		if target == "/%zz" {
			target = "/%25zz" // not a valid escape, so the percent sign is data
		}
		assert.Equal(t, got, target)
	}
}
