package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/internal/strictjson"
	"github.com/godwithub/godwithub/resource"
)

// writeJSON answers the request with v as JSON and runs no further handlers.
func writeJSON(ctx iris.Context, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("server: encode %T: %v", v, err))
	}
	ctx.ContentType("application/json")
	ctx.StatusCode(status)
	ctx.Write(append(b, '\n'))
	ctx.StopExecution()
}

// writeError answers the request with an error and runs no further handlers.
func writeError(ctx iris.Context, status int, code apiv1.ErrorCode, format string, args ...any) {
	writeJSON(ctx, status, &apiv1.Error{Code: code, Message: fmt.Sprintf(format, args...)})
}

// writeBodyError answers the request with err, which says why its body was not accepted. If err is an
// *apiv1.FaultsError, the answer lists the faults.
func writeBodyError(ctx iris.Context, err error) {
	var faultsErr *apiv1.FaultsError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(ctx, http.StatusRequestEntityTooLarge, apiv1.CodeTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	case errors.As(err, &faultsErr):
		writeJSON(ctx, http.StatusUnprocessableEntity, &apiv1.Error{Code: apiv1.CodeInvalid, Message: "the resource is not valid", Faults: faultsErr.Faults})
	default:
		writeError(ctx, http.StatusBadRequest, apiv1.CodeBadRequest, "the body cannot be decoded: %s", strings.TrimPrefix(err.Error(), "apiv1: "))
	}
}

// bodyTimeout bounds the time to receive the body of a request.
const bodyTimeout = time.Minute

// readBody returns the body of the request. It returns false if it has answered the request with an
// error.
func readBody(ctx iris.Context, limit int64) ([]byte, bool) {
	r := ctx.Request()
	// The deadline covers the body only, because a deadline on the whole request would end watches.
	rc := http.NewResponseController(ctx.ResponseWriter().Naive())
	rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer rc.SetReadDeadline(time.Time{})
	b, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), r.Body, limit))
	if err != nil {
		writeBodyError(ctx, err)
		return nil, false
	}
	return b, true
}

// readJSON returns the body of the request, which has to be one JSON value that can be read in one way only. It returns false if
// it has answered the request with an error.
func readJSON(ctx iris.Context) ([]byte, bool) {
	body, ok := readBody(ctx, apiv1.MaxBodyBytes)
	if !ok {
		return nil, false
	}
	if err := strictjson.Check(body); err != nil {
		writeBodyError(ctx, err)
		return nil, false
	}
	return body, true
}

// readDocument decodes the body of the request into target. It returns false if it has answered the request
// with an error.
func readDocument(ctx iris.Context, target any) bool {
	body, ok := readJSON(ctx)
	if !ok {
		return false
	}
	if err := decodeStrict(body, target); err != nil {
		writeBodyError(ctx, err)
		return false
	}
	return true
}

// writeRefusal answers the request with the error for r, the result of a refused command.
func writeRefusal(ctx iris.Context, r *control.Result) {
	e := &apiv1.Error{Faults: r.Faults, Message: r.Message}
	for _, c := range r.Conflicts {
		e.Conflicts = append(e.Conflicts, apiConflict(c))
	}
	switch r.Code {
	case control.CodeConflict:
		e.Code, e.Status = apiv1.CodeConflict, http.StatusConflict
		if e.Message == "" {
			e.Message = "the named revision is not the present one"
		}
	case control.CodeInvalid:
		e.Code, e.Status, e.Message = apiv1.CodeInvalid, http.StatusUnprocessableEntity, "the change is not valid"
	case control.CodeChangeIDReused:
		e.Code, e.Status = apiv1.CodeChangeIDReused, http.StatusConflict
	default:
		e.Code, e.Status = apiv1.CodeBadRequest, http.StatusBadRequest
	}
	writeJSON(ctx, e.Status, e)
}

func apiConflict(c control.Conflict) apiv1.Conflict {
	out := apiv1.Conflict{Key: c.Key, Revision: c.Revision}
	if c.Current == nil {
		return out
	}
	o, err := c.Current.Decode()
	if err != nil {
		panic(err)
	}
	current := shown(o)
	out.Current = &current
	return out
}

// appliedAnswer returns the answer to an accepted batch: the objects as the client sent them, with the
// fields that the system set. objects has nil for each delete.
func appliedAnswer(writes []control.Write, objects []resource.Object, r *control.Result, dryRun bool) *apiv1.Applied {
	out := &apiv1.Applied{Version: r.Version, DryRun: dryRun}
	revision := r.Version.Revision
	if dryRun {
		revision++
	}
	for i, w := range writes {
		if objects[i] == nil {
			out.Deleted = append(out.Deleted, w.Key)
			continue
		}
		o := objects[i].Clone()
		o.Metadata().Generation, o.Metadata().Revision = r.SystemFields[i].Generation, revision
		if service, ok := o.(*resource.Service); ok {
			service.Group = r.SystemFields[i].Group
		}
		out.Objects = append(out.Objects, shown(o))
	}
	return out
}
