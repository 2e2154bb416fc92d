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
	"github.com/godwithub/godwithub/resource"
)

// answer sends v as JSON and ends the request.
func answer(ctx iris.Context, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("server: encode %T: %v", v, err))
	}
	ctx.ContentType("application/json")
	ctx.StatusCode(status)
	ctx.Write(append(b, '\n'))
	ctx.StopExecution()
}

// fail sends an error and ends the request.
func fail(ctx iris.Context, status int, code apiv1.ErrorCode, format string, args ...any) {
	answer(ctx, status, &apiv1.Error{Code: code, Message: fmt.Sprintf(format, args...)})
}

// failFaults sends err, with all its faults if it has any.
func failFaults(ctx iris.Context, err error) {
	var list *apiv1.FaultsError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		fail(ctx, http.StatusRequestEntityTooLarge, apiv1.CodeTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	case errors.As(err, &list):
		answer(ctx, http.StatusUnprocessableEntity, &apiv1.Error{Code: apiv1.CodeInvalid, Message: "the resource is not valid", Faults: list.Faults})
	default:
		fail(ctx, http.StatusBadRequest, apiv1.CodeBadRequest, "the body cannot be decoded: %s", strings.TrimPrefix(err.Error(), "apiv1: "))
	}
}

// bodyTimeout bounds the time to receive a body.
const bodyTimeout = time.Minute

// readBody returns the body of the request, or false if it has answered the
// request with an error.
func readBody(ctx iris.Context, limit int64) ([]byte, bool) {
	r := ctx.Request()
	// Only the body is bounded in time: a deadline on the whole request would
	// end watches.
	rc := http.NewResponseController(ctx.ResponseWriter().Naive())
	rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer rc.SetReadDeadline(time.Time{})
	b, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), r.Body, limit))
	if err != nil {
		failFaults(ctx, err)
		return nil, false
	}
	return b, true
}

// failResult sends a refusal.
func failResult(ctx iris.Context, r *control.Result) {
	e := &apiv1.Error{Faults: r.Faults, Message: r.Message}
	for _, c := range r.Conflicts {
		e.Conflicts = append(e.Conflicts, conflict(c))
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
	answer(ctx, e.Status, e)
}

func conflict(c control.Conflict) apiv1.Conflict {
	out := apiv1.Conflict{Key: c.Key, Revision: c.Revision}
	if c.Current == nil {
		return out
	}
	o, err := c.Current.Decode()
	if err != nil {
		panic(err)
	}
	out.Current = &apiv1.Resource{Object: o}
	return out
}

// applied describes an accepted batch: the objects as the client sent them,
// with what the system set. objects has nil for each delete.
func applied(writes []control.Write, objects []resource.Object, r *control.Result, dryRun bool) *apiv1.Applied {
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
		o.Metadata().Generation, o.Metadata().Revision = r.Written[i].Generation, revision
		if service, ok := o.(*resource.Service); ok {
			service.Group = r.Written[i].Group
		}
		out.Objects = append(out.Objects, apiv1.Resource{Object: o})
	}
	return out
}
