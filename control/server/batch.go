package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/resource"
)

// rawWrite is an apiv1.Write whose object is not yet decoded. Objects are decoded one by one, so that
// the faults of all of them can be listed.
type rawWrite struct {
	Op       apiv1.WriteOp   `json:"op"`
	Object   json.RawMessage `json:"object"`
	Key      *resource.Key   `json:"key"`
	Revision uint64          `json:"revision"`
}

// decodeBatch decodes an apiv1.ApplyRequest. An *apiv1.FaultsError lists the faults of all objects.
func decodeBatch(body []byte) ([]resource.Object, []control.Write, error) {
	var request struct {
		Writes []rawWrite `json:"writes"`
	}
	if err := decodeStrict(body, &request); err != nil {
		return nil, nil, err
	}
	if n := len(request.Writes); n == 0 || n > control.MaxWrites {
		return nil, nil, fmt.Errorf("a batch has 1 to %d writes, not %d", control.MaxWrites, n)
	}
	var objects []resource.Object
	var writes []control.Write
	var faults []resource.FieldError
	for i, raw := range request.Writes {
		o, w, err := raw.decode()
		var faultsErr *apiv1.FaultsError
		switch {
		case errors.As(err, &faultsErr):
			faults = append(faults, faultsErr.Faults...)
		case err != nil:
			return nil, nil, fmt.Errorf("write %d: %w", i, err)
		}
		objects, writes = append(objects, o), append(writes, w)
	}
	if len(faults) > 0 {
		return nil, nil, &apiv1.FaultsError{Faults: faults}
	}
	return objects, writes, nil
}

func (r *rawWrite) decode() (resource.Object, control.Write, error) {
	switch {
	case r.Op == apiv1.OpDelete && r.Key != nil && r.Object == nil:
		return nil, control.Write{Key: *r.Key, Revision: r.Revision, Delete: true}, nil
	case r.Op == apiv1.OpPut && r.Key == nil && r.Revision == 0 && r.Object != nil:
		o, err := apiv1.Decode("", r.Object)
		if err != nil {
			return nil, control.Write{}, err
		}
		w, err := control.PutWrite(o)
		return o, w, err
	}
	return nil, control.Write{}, errors.New(`a write is {"op":"put","object":...} or {"op":"delete","key":...,"revision":...}`)
}

// decodeStrict decodes one JSON value and refuses unknown fields and trailing data.
func decodeStrict(body []byte, target any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data follows the JSON value")
	}
	return nil
}
