package server

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/logging"
)

// Guards against a change of the token file that takes effect only after a restart, against one
// invalid line that disables all tokens, and against secrets in the file.
func TestTokenFileIsReadAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tokens")
	first, err := NewToken(path, "first", RoleReader)
	assert.NilError(t, err)
	_, err = NewToken(path, "first", RoleAdmin)
	assert.ErrorContains(t, err, "already")
	_, err = NewToken(path, "a b", RoleAdmin)
	assert.ErrorContains(t, err, "blanks")
	tokens, err := LoadTokens(path, logging.Discard())
	assert.NilError(t, err)

	now := time.Now()
	second, err := NewToken(path, "second", RoleAdmin)
	assert.NilError(t, err)
	found, ok := tokens.Find(second, now.Add(reloadInterval))
	assert.Assert(t, ok && found.Role == RoleAdmin && found.Name == "second")
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(content), "gwh_"))

	broken := "# tokens\n\nname reader\nname king 00\nname reader 00\n"
	assert.NilError(t, os.WriteFile(path, []byte(broken), tokenFileMode))
	_, ok = tokens.Find(first, now.Add(2*reloadInterval))
	assert.Assert(t, ok)
	_, err = LoadTokens(path, logging.Discard())
	for _, line := range []string{"line 3", "line 4", "line 5"} {
		assert.ErrorContains(t, err, line)
	}
}
