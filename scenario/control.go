package scenario

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/control/server"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/resource"
)

const (
	// firstControlVM is the number of the VM of the first control process.
	firstControlVM = 51
	// applyTimeout bounds a write, including an election before it.
	applyTimeout = 10 * time.Second
)

// controlState is the control group of one script.
type controlState struct {
	count   int
	relayed bool // whether a relay is in front of each member's link address
	// selfRepair makes members join the group and repair it by themselves.
	selfRepair bool
	token      string // API token of the script
	client     *http.Client
	// appliedVersion is the configuration version of the last accepted write.
	appliedVersion resource.Version
}

func controlName(i int) string { return "c" + strconv.Itoa(i) }

// maxControls is the number of control VMs that a script may use.
const maxControls = 9

// controlAddrs returns the addresses of all control VMs at a port. With a group that repairs itself, they include those
// of VMs that have not been started yet.
func (w *workspace) controlAddrs(port int) []string {
	var out []string
	count := w.control.count
	if w.control.selfRepair {
		count = maxControls
	}
	for i := range count {
		out = append(out, joinPort(w.vmAddr(firstControlVM+i), port))
	}
	return out
}

// startControl starts a control group.
func (w *workspace) startControl(ts *testscript.TestScript, countText string, relayed bool) error {
	n, err := strconv.Atoi(countText)
	if err != nil || n < 1 || n > maxControls {
		return scriptErrorf("invalid number of control VMs %q", countText)
	}
	if w.control.count > 0 {
		return scriptErrorf("the control group is already running")
	}
	w.control.count, w.control.relayed = n, relayed
	w.control.token, err = server.NewToken(w.tokenFile(), "scenario", server.RoleAdmin)
	if err != nil {
		return err
	}
	for i := range n {
		m := member{controlName(i + 1), firstControlVM + i}
		ts.Setenv(m.name, w.vmAddr(m.vm))
		if err := w.startMemberRelay(m); err != nil {
			return err
		}
		if err := w.startMember(m, false); err != nil {
			return err
		}
	}
	return w.createAPIClient()
}

func (w *workspace) tokenFile() string { return filepath.Join(w.dir, "keys", "tokens") }

func (w *workspace) createAPIClient() error {
	conf, err := keys.APIClient(filepath.Join(w.dir, "keys", "authority", "ca.crt"))
	if err != nil {
		return err
	}
	w.control.client = &http.Client{
		Timeout:   httpTimeout,
		Transport: &http.Transport{TLSClientConfig: conf},
		// Following a redirect to the leader on another host would drop the token.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return nil
}

// applyConfig writes a JSON array of resources, each with a field "type", as one
// batch. Resources that exist are replaced.
func (w *workspace) applyConfig(text string) error {
	var list []json.RawMessage
	if err := json.Unmarshal([]byte(text), &list); err != nil {
		return scriptErrorf("configuration: %v", err)
	}
	var request apiv1.ApplyRequest
	for _, raw := range list {
		o, err := apiv1.Decode("", raw)
		if err != nil {
			return scriptErrorf("configuration: %v", err)
		}
		request.Writes = append(request.Writes, apiv1.Write{Op: apiv1.OpPut, Object: &apiv1.Resource{Object: o}})
	}
	var body []byte
	err := waitUntil(applyTimeout, func() (err error) {
		for _, write := range request.Writes {
			if err := w.setRevision(write.Object.Object); err != nil {
				return err
			}
		}
		body, err = json.Marshal(request)
		return err
	})
	if err != nil {
		return err
	}
	return w.applyBatch(body)
}

// applyBatch applies a batch and retries until it is accepted. All tries have the
// same change id and body, so that a resend after a lost answer takes effect once.
func (w *workspace) applyBatch(body []byte) error {
	changeID := uuid.NewString()
	return waitUntil(applyTimeout, func() error { return w.tryApply(body, changeID) })
}

// setRevision sets the revision of o to that of the resource that it replaces.
func (w *workspace) setRevision(o resource.Object) error {
	var current apiv1.Resource
	status, body, err := w.callControl(http.MethodGet, "/v1/"+resource.KeyOf(o).String(), nil, "")
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		o.Metadata().Revision = 0
		return nil
	}
	if err := json.Unmarshal(body, &current); err != nil {
		return err
	}
	o.Metadata().Revision = current.Metadata().Revision
	return nil
}

func (w *workspace) tryApply(batch []byte, changeID string) error {
	status, body, err := w.callControl(http.MethodPost, "/v1/apply", batch, changeID)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("apply: status %d: %s", status, body)
	}
	var applied apiv1.Applied
	if err := json.Unmarshal(body, &applied); err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	w.control.appliedVersion = applied.Version
	return nil
}

// callControl sends a request to each control VM in turn until the leader answers.
func (w *workspace) callControl(method, path string, body []byte, changeID string) (status int, answer []byte, err error) {
	err = errors.New("no control group has been started")
	for _, addr := range w.controlAddrs(portAPI) {
		status, answer, err = w.requestOnce(method, "https://"+addr+path, body, changeID)
		if err == nil {
			return status, answer, nil
		}
	}
	return 0, nil, err
}

func (w *workspace) requestOnce(method, url string, body []byte, changeID string) (int, []byte, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+w.control.token)
	req.Header.Set("Content-Type", "application/json")
	if changeID != "" {
		req.Header.Set(apiv1.HeaderChangeID, changeID)
	}
	resp, err := w.control.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, err
	}
	if resp.StatusCode/100 == 3 || resp.StatusCode == http.StatusServiceUnavailable {
		return 0, nil, fmt.Errorf("%s %s: status %d: %s", method, url, resp.StatusCode, b)
	}
	return resp.StatusCode, b, nil
}
