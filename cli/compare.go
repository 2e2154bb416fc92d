package cli

import (
	"context"
	"errors"
	"fmt"
	"reflect"

	"github.com/godwithub/godwithub/client"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/resource"
)

// Values of difference.Action.
const (
	actionCreate  = "create"
	actionReplace = "replace"
	actionKeep    = "keep"
)

// difference describes what writing one wanted object would change.
type difference struct {
	Key    resource.Key  `json:"key"`
	Action string        `json:"action"`
	Fields []fieldChange `json:"fields,omitempty"`

	object resource.Object // the object to write, with the revision that it replaces
}

// fieldChange is a field whose value would change, with both values.
type fieldChange struct {
	Field string `json:"field"`
	From  any    `json:"from"`
	To    any    `json:"to"`
}

// maxSingleReads is the largest number of wanted objects of one type that are read
// one by one. If more are wanted, all objects of the type are listed.
const maxSingleReads = 20

// compare reads the current configuration and returns what writing the wanted
// objects would change.
func compare(ctx context.Context, c *client.Client, wanted []resource.Object) ([]difference, error) {
	current, err := readCurrent(ctx, c, wanted)
	if err != nil {
		return nil, err
	}
	out := make([]difference, len(wanted))
	for i, o := range wanted {
		out[i] = diffObject(o.Clone(), current[resource.KeyOf(o)])
	}
	return out, nil
}

func readCurrent(ctx context.Context, c *client.Client, wanted []resource.Object) (map[resource.Key]resource.Object, error) {
	byType := map[resource.Type][]resource.Key{}
	for _, o := range wanted {
		byType[o.Type()] = append(byType[o.Type()], resource.KeyOf(o))
	}
	out := map[resource.Key]resource.Object{}
	for t, keys := range byType {
		if len(keys) > maxSingleReads {
			for o, err := range c.All(ctx, t) {
				if err != nil {
					return nil, err
				}
				out[resource.KeyOf(o)] = o
			}
			continue
		}
		for _, k := range keys {
			o, err := c.Get(ctx, k)
			var refused *apiv1.Error
			switch {
			case err == nil:
				out[k] = o
			case errors.As(err, &refused) && (refused.Code == apiv1.CodeNotFound || refused.Code == apiv1.CodeInvalid):
				// An invalid name is not reported here: the write reports all errors at once.
			default:
				return nil, err
			}
		}
	}
	return out, nil
}

// diffObject compares wanted with current, which may be nil. If wanted has no
// revision, it gets that of current.
func diffObject(wanted, current resource.Object) difference {
	d := difference{Key: resource.KeyOf(wanted), Action: actionCreate, object: wanted}
	if current == nil {
		return d
	}
	if service, ok := wanted.(*resource.Service); ok && service.Group == "" {
		service.Group = current.(*resource.Service).Group
	}
	before := writableFields(current)
	for i, f := range writableFields(wanted) {
		if !equalValues(f.value, before[i].value) {
			d.Fields = append(d.Fields, fieldChange{f.name, before[i].value, f.value})
		}
	}
	if c, ok := wanted.(*resource.Customer); ok && c.Keys != nil {
		// The present keys are not known, so they may differ.
		d.Fields = append(d.Fields, fieldChange{fieldKeys, "not shown", fmt.Sprintf("%d, not shown", len(c.Keys))})
	}
	d.Action = actionReplace
	if len(d.Fields) == 0 {
		d.Action = actionKeep
	}
	if meta := wanted.Metadata(); meta.Revision == 0 {
		meta.Revision = current.Metadata().Revision
	}
	return d
}

// equalValues compares two field values. It treats a nil slice and an empty one as equal.
func equalValues(a, b any) bool {
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	if x.Kind() == reflect.Slice && x.Len() == 0 && y.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a, b)
}
