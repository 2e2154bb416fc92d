package cli

import (
	"context"
	"errors"
	"reflect"

	"github.com/godwithub/godwithub/client"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/resource"
)

// Actions of differences.
const (
	actionCreate  = "create"
	actionReplace = "replace"
	actionKeep    = "keep"
)

// difference is what a write of one wanted object would do.
type difference struct {
	Key    resource.Key  `json:"key"`
	Action string        `json:"action"`
	Fields []fieldChange `json:"fields,omitempty"`

	object resource.Object // with the revision to write
}

// fieldChange is one field that a replacement changes.
type fieldChange struct {
	Field string `json:"field"`
	From  any    `json:"from"`
	To    any    `json:"to"`
}

// listAbove is the number of wanted objects of one type from which the type is
// listed as a whole instead of being read one by one.
const listAbove = 20

// compare tells what writing the wanted objects would do at present.
func compare(ctx context.Context, c *client.Client, wanted []resource.Object) ([]difference, error) {
	current, err := readCurrent(ctx, c, wanted)
	if err != nil {
		return nil, err
	}
	out := make([]difference, len(wanted))
	for i, o := range wanted {
		out[i] = differenceOf(o.Clone(), current[resource.KeyOf(o)])
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
		if len(keys) > listAbove {
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
				// An invalid name is left to the write, which lists all faults.
			default:
				return nil, err
			}
		}
	}
	return out, nil
}

// differenceOf compares wanted with current, which may be nil. A wanted object
// without a revision takes that of current.
func differenceOf(wanted, current resource.Object) difference {
	d := difference{Key: resource.KeyOf(wanted), Action: actionCreate, object: wanted}
	if current == nil {
		return d
	}
	if service, ok := wanted.(*resource.Service); ok && service.Group == "" {
		service.Group = current.(*resource.Service).Group
	}
	before := fieldsOf(current)
	for i, f := range fieldsOf(wanted) {
		if !equal(f.value, before[i].value) {
			d.Fields = append(d.Fields, fieldChange{f.name, before[i].value, f.value})
		}
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

// equal takes nil and empty lists for the same.
func equal(a, b any) bool {
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	if x.Kind() == reflect.Slice && x.Len() == 0 && y.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a, b)
}
