package scenario

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// httpTimeout bounds each HTTP request that a script command sends.
const httpTimeout = 2 * time.Second

var httpClient = &http.Client{Timeout: httpTimeout}

// faultCommand sets the faults of a stand-in upstream that was started with the flag
// -admin-listen.
func faultCommand(w *workspace, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return scriptErrorf("usage: fault NAME JSON|none|drain|undrain")
	}
	p, err := w.process(args[0])
	if err != nil {
		return err
	}
	admin := p.flagValue("admin-listen")
	if admin == "" {
		return scriptErrorf("process %q was started without -admin-listen", args[0])
	}
	switch args[1] {
	case "none":
		return adminRequest(http.MethodDelete, admin, "/faults", "")
	case "drain":
		return adminRequest(http.MethodPut, admin, "/drain", "")
	case "undrain":
		return adminRequest(http.MethodDelete, admin, "/drain", "")
	}
	return adminRequest(http.MethodPut, admin, "/faults", args[1])
}

// flagValue returns the value of a flag that the process was started with, or "".
func (p *process) flagValue(name string) string {
	for i, arg := range p.args {
		flag, value, joined := strings.Cut(strings.TrimLeft(arg, "-"), "=")
		if flag != name || !strings.HasPrefix(arg, "-") {
			continue
		}
		if joined {
			return value
		}
		if i+1 < len(p.args) {
			return p.args[i+1]
		}
	}
	return ""
}

func adminRequest(method, addr, path, body string) error {
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return scriptErrorf("%v", err)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: status %d: %s", method, path, resp.StatusCode, bytes.TrimSpace(text))
	}
	return nil
}
