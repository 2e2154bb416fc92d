package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"iter"
	"net/http"
	"net/url"
	"strconv"

	"github.com/godwithub/godwithub/burn"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/quota"
	"github.com/godwithub/godwithub/resource"
)

// WriteOptions are the options of a call that writes.
type WriteOptions struct {
	// ChangeID identifies the write: a later call with the same id returns the
	// result of the first. If it is empty, each call gets a new id, which all of its
	// attempts share.
	ChangeID string
	// DryRun validates the write without applying it.
	DryRun bool
}

func typePath(t resource.Type) string  { return "/v1/" + string(t) }
func objectPath(k resource.Key) string { return typePath(k.Type) + "/" + k.Name }
func decodeInto(v any) func(io.Reader) error {
	return func(r io.Reader) error { return json.NewDecoder(r).Decode(v) }
}
func memberPath(id string) string    { return "/v1/members/" + id }
func jsonBody(v any) ([]byte, error) { return json.Marshal(v) }
func formatRevision(n uint64) string { return strconv.FormatUint(n, 10) }

// checkKey returns an error for a type or name that is not valid. Put into a URL, it
// could lead to another path of the API.
func checkKey(k resource.Key) error {
	if resource.New(k.Type) != nil && resource.ValidName(k.Name) {
		return nil
	}
	return &apiv1.Error{Status: http.StatusUnprocessableEntity, Code: apiv1.CodeInvalid, Message: fmt.Sprintf("%q is not the key of a resource", k)}
}

func (o *WriteOptions) changeIDOrNew() string {
	if o.ChangeID != "" {
		return o.ChangeID
	}
	return NewChangeID()
}

func (o *WriteOptions) query() url.Values {
	q := url.Values{}
	if o.DryRun {
		q.Set("dryRun", "true")
	}
	return q
}

// read gets path and decodes the response into v.
func (c *Client) read(ctx context.Context, path string, q url.Values, v any) error {
	return c.do(ctx, &apiCall{method: http.MethodGet, path: path, query: q, decode: decodeInto(v)})
}

// write sends v, or an empty body if v is nil, and returns what was applied.
func (c *Client) write(ctx context.Context, method, path string, q url.Values, v any, o WriteOptions) (*apiv1.Applied, error) {
	call := &apiCall{method: method, path: path, query: q, changeID: o.changeIDOrNew()}
	if v != nil {
		body, err := jsonBody(v)
		if err != nil {
			return nil, fmt.Errorf("client: %w", err)
		}
		call.body, call.contentType = body, "application/json"
	}
	out := &apiv1.Applied{}
	call.decode = decodeInto(out)
	if err := c.do(ctx, call); err != nil {
		return nil, err
	}
	return out, nil
}

// Get returns the object with key k. If there is none, the error is an
// *apiv1.Error with code apiv1.CodeNotFound.
func (c *Client) Get(ctx context.Context, k resource.Key) (resource.Object, error) {
	if err := checkKey(k); err != nil {
		return nil, err
	}
	var r apiv1.Resource
	if err := c.read(ctx, objectPath(k), nil, &r); err != nil {
		return nil, err
	}
	return r.Object, nil
}

// List returns a page of at most limit objects of type t. token is the Continue field
// of the page before, or empty for the first page.
func (c *Client) List(ctx context.Context, t resource.Type, limit int, token string) (*apiv1.List, error) {
	q := url.Values{"limit": {strconv.Itoa(limit)}}
	if token != "" {
		q.Set("continue", token)
	}
	out := &apiv1.List{}
	return out, c.read(ctx, typePath(t), q, out)
}

// All yields all objects of type t in the order of their names. It reads them page by
// page.
func (c *Client) All(ctx context.Context, t resource.Type) iter.Seq2[resource.Object, error] {
	return func(yield func(resource.Object, error) bool) {
		token := ""
		for {
			page, err := c.List(ctx, t, apiv1.MaxPageSize, token)
			if err != nil {
				yield(nil, err)
				return
			}
			for _, r := range page.Items {
				if !yield(r.Object, nil) {
					return
				}
			}
			if token = page.Continue; token == "" {
				return
			}
		}
	}
}

// Put replaces the revision of the object that o's metadata names. Revision 0
// creates the object.
func (c *Client) Put(ctx context.Context, o resource.Object, opts WriteOptions) (*apiv1.Applied, error) {
	if err := checkKey(resource.KeyOf(o)); err != nil {
		return nil, err
	}
	return c.write(ctx, http.MethodPut, objectPath(resource.KeyOf(o)), opts.query(), apiv1.Resource{Object: o}, opts)
}

// Delete deletes the object with key k if it has the given revision.
func (c *Client) Delete(ctx context.Context, k resource.Key, revision uint64, opts WriteOptions) (*apiv1.Applied, error) {
	if err := checkKey(k); err != nil {
		return nil, err
	}
	q := opts.query()
	q.Set("revision", formatRevision(revision))
	return c.write(ctx, http.MethodDelete, objectPath(k), q, nil, opts)
}

// Apply applies all writes or none.
func (c *Client) Apply(ctx context.Context, writes []apiv1.Write, opts WriteOptions) (*apiv1.Applied, error) {
	return c.write(ctx, http.MethodPost, "/v1/apply", opts.query(), &apiv1.ApplyRequest{Writes: writes}, opts)
}

// PutOf returns the write that replaces the revision of the object that o's metadata
// names; see Client.Put.
func PutOf(o resource.Object) apiv1.Write {
	return apiv1.Write{Op: apiv1.OpPut, Object: &apiv1.Resource{Object: o}}
}

// DeleteOf returns the write that deletes the object with key k if it has the
// given revision.
func DeleteOf(k resource.Key, revision uint64) apiv1.Write {
	return apiv1.Write{Op: apiv1.OpDelete, Key: &k, Revision: revision}
}

// Status returns the version of the configuration and how many nodes have it in force.
func (c *Client) Status(ctx context.Context) (*apiv1.Status, error) {
	out := &apiv1.Status{}
	return out, c.read(ctx, "/v1/status", nil, out)
}

// Fleet returns the nodes and their upstreams as a member of the control group
// knows them.
func (c *Client) Fleet(ctx context.Context) (*apiv1.Fleet, error) {
	out := &apiv1.Fleet{}
	return out, c.read(ctx, "/v1/fleet", nil, out)
}

// BurnReport returns the report on how fast services use up their error budgets.
func (c *Client) BurnReport(ctx context.Context) (*burn.Report, error) {
	out := &burn.Report{}
	return out, c.read(ctx, "/v1/reports/burn", nil, out)
}

// QuotaReport returns the quotas of the customers that were active lately.
func (c *Client) QuotaReport(ctx context.Context) (*quota.Report, error) {
	out := &quota.Report{}
	return out, c.read(ctx, "/v1/reports/quotas", nil, out)
}

// Members returns the members of the control group.
func (c *Client) Members(ctx context.Context) ([]apiv1.Member, error) {
	out := &apiv1.Members{}
	if err := c.read(ctx, "/v1/members", nil, out); err != nil {
		return nil, err
	}
	return out.Members, nil
}

// PutMember adds a member to the control group or changes its addresses.
func (c *Client) PutMember(ctx context.Context, m apiv1.Member, opts WriteOptions) (*apiv1.Applied, error) {
	return c.write(ctx, http.MethodPut, memberPath(m.ID), nil, m, opts)
}

// ReplaceMember replaces the member of the control group with the given id by m.
func (c *Client) ReplaceMember(ctx context.Context, id string, m apiv1.Member, opts WriteOptions) (*apiv1.Applied, error) {
	return c.write(ctx, http.MethodPut, memberPath(m.ID), url.Values{"replaces": {id}}, m, opts)
}

// RemoveMember removes a member of the control group.
func (c *Client) RemoveMember(ctx context.Context, id string, opts WriteOptions) (*apiv1.Applied, error) {
	return c.write(ctx, http.MethodDelete, memberPath(id), nil, nil, opts)
}

// RaiseEpoch raises the epoch of the configuration to epoch.
func (c *Client) RaiseEpoch(ctx context.Context, epoch uint64, opts WriteOptions) (*apiv1.Applied, error) {
	return c.write(ctx, http.MethodPost, "/v1/epoch", nil, apiv1.RaiseEpoch{Epoch: epoch}, opts)
}

// Snapshot returns the encoded state of the control group.
func (c *Client) Snapshot(ctx context.Context) (state []byte, err error) {
	err = c.do(ctx, &apiCall{method: http.MethodGet, path: "/v1/snapshot", decode: func(r io.Reader) error {
		var err error
		state, err = io.ReadAll(r)
		return err
	}})
	return state, err
}

// Restore replaces the configuration by that of a snapshot and raises its epoch.
func (c *Client) Restore(ctx context.Context, state []byte, opts WriteOptions) (*apiv1.Applied, error) {
	out := &apiv1.Applied{}
	err := c.do(ctx, &apiCall{
		method: http.MethodPost, path: "/v1/snapshot", body: state, contentType: "application/cbor",
		changeID: opts.changeIDOrNew(), decode: decodeInto(out),
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}
