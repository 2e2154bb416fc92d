package node

import (
	"expvar"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/dispatch"
	"github.com/godwithub/godwithub/ingress"
)

// Guards against metrics that are missing in docs/METRICS.md.
func TestMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/METRICS.md")
	assert.NilError(t, err)
	parts := map[string]*expvar.Map{
		"ingress":  ingress.New(ingress.Config{}).Metrics(),
		"dispatch": dispatch.New(dispatch.Config{}).Metrics(),
	}
	for part, m := range parts {
		m.Do(func(kv expvar.KeyValue) {
			name := "`" + part + "." + kv.Key + "`"
			assert.Check(t, strings.Contains(string(page), name), "docs/METRICS.md lacks %s", name)
		})
	}
}
