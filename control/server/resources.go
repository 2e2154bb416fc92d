package server

import (
	"encoding/base64"
	"net/http"
	"strconv"

	"github.com/kataras/iris/v12"

	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/resource"
)

// typeHandlers holds the HTTP handlers for the resources of one type.
type typeHandlers struct {
	*Server
	t resource.Type
}

func (h typeHandlers) key(ctx iris.Context) resource.Key {
	return resource.Key{Type: h.t, Name: ctx.Params().Get("name")}
}

func (h typeHandlers) get(ctx iris.Context) {
	if !h.readBarrier(ctx) {
		return
	}
	o := h.Machine.Get(h.key(ctx))
	if o == nil {
		writeError(ctx, http.StatusNotFound, apiv1.CodeNotFound, "%s does not exist", h.key(ctx))
		return
	}
	writeJSON(ctx, http.StatusOK, shown(o))
}

func (h typeHandlers) list(ctx iris.Context) {
	limit := apiv1.DefaultPageSize
	if text := ctx.URLParam("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > apiv1.MaxPageSize {
			writeError(ctx, http.StatusBadRequest, apiv1.CodeBadRequest, "limit is not a number from 1 to %d", apiv1.MaxPageSize)
			return
		}
		limit = n
	}
	after, err := base64.RawURLEncoding.DecodeString(ctx.URLParam("continue"))
	if err != nil {
		writeError(ctx, http.StatusBadRequest, apiv1.CodeBadRequest, "the continue token is not one of this API")
		return
	}
	if !h.readBarrier(ctx) {
		return
	}
	page := h.Machine.List(h.t, string(after), limit)
	out := &apiv1.List{Version: page.Version, Items: make([]apiv1.Resource, len(page.Objects))}
	for i, o := range page.Objects {
		out.Items[i] = shown(o)
	}
	if page.More {
		last := page.Objects[len(page.Objects)-1].Metadata().Name
		out.Continue = base64.RawURLEncoding.EncodeToString([]byte(last))
	}
	writeJSON(ctx, http.StatusOK, out)
}

func (h typeHandlers) create(ctx iris.Context) {
	o, ok := h.decode(ctx)
	if !ok {
		return
	}
	if revision := o.Metadata().Revision; revision != 0 {
		writeError(ctx, http.StatusBadRequest, apiv1.CodeBadRequest, "a resource is created over revision 0, not %d", revision)
		return
	}
	h.submitWrites(ctx, []resource.Object{o}, nil, http.StatusCreated)
}

func (h typeHandlers) replace(ctx iris.Context) {
	o, ok := h.decode(ctx)
	if !ok {
		return
	}
	switch name := ctx.Params().Get("name"); o.Metadata().Name {
	case "", name:
		o.Metadata().Name = name
	default:
		writeError(ctx, http.StatusBadRequest, apiv1.CodeBadRequest, "the body names %q, the path %q", o.Metadata().Name, name)
		return
	}
	h.submitWrites(ctx, []resource.Object{o}, nil, http.StatusOK)
}

func (h typeHandlers) delete(ctx iris.Context) {
	revision, err := strconv.ParseUint(ctx.URLParam("revision"), 10, 64)
	if err != nil {
		writeError(ctx, http.StatusBadRequest, apiv1.CodeBadRequest, "the parameter revision must name the revision to delete")
		return
	}
	w := control.Write{Key: h.key(ctx), Revision: revision, Delete: true}
	h.submitWrites(ctx, []resource.Object{nil}, []control.Write{w}, http.StatusOK)
}

func (h typeHandlers) decode(ctx iris.Context) (resource.Object, bool) {
	body, ok := readJSON(ctx)
	if !ok {
		return nil, false
	}
	o, err := apiv1.Decode(h.t, body)
	if err != nil {
		writeBodyError(ctx, err)
		return nil, false
	}
	return o, true
}

func (s *Server) applyBatch(ctx iris.Context) {
	body, ok := readJSON(ctx)
	if !ok {
		return
	}
	objects, writes, err := decodeBatch(body)
	if err != nil {
		writeBodyError(ctx, err)
		return
	}
	for _, w := range writes {
		if w.Key.Type == resource.TypeGroup && !s.checkRole(ctx, RoleAdmin) {
			return
		}
	}
	s.submitWrites(ctx, objects, writes, http.StatusOK)
}

// submitWrites submits writes, or only checks them if the request asks for a dry run, and answers the
// request. objects has the object of each write, nil for a delete. writes may be nil if all are
// puts.
func (s *Server) submitWrites(ctx iris.Context, objects []resource.Object, writes []control.Write, status int) {
	if writes == nil {
		for _, o := range objects {
			w, err := control.PutWrite(o)
			if err != nil {
				writeBodyError(ctx, err)
				return
			}
			writes = append(writes, w)
		}
	}
	markKeptKeys(objects, writes)
	dryRun, err := strconv.ParseBool(ctx.URLParamDefault("dryRun", "false"))
	if err != nil {
		writeError(ctx, http.StatusBadRequest, apiv1.CodeBadRequest, "dryRun is neither true nor false")
		return
	}
	var r *control.Result
	switch {
	case !dryRun:
		r = s.submit(ctx, &control.Command{Op: control.OpWrite, Writes: writes})
	case s.readBarrier(ctx):
		r, status = s.Machine.DryRun(writes), http.StatusOK
	}
	switch {
	case r == nil: // already answered with an error
	case r.Code != control.CodeOK:
		writeRefusal(ctx, r)
	default:
		writeJSON(ctx, status, appliedAnswer(writes, objects, r, dryRun))
	}
}
