package server

import (
	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/resource"
)

// shown returns o as the API shows it: customers without their keys.
func shown(o resource.Object) apiv1.Resource {
	if c, ok := o.(*resource.Customer); ok {
		return apiv1.Resource{Object: c.WithoutKeys()}
	}
	return apiv1.Resource{Object: o}
}

// markKeptKeys marks the writes of customers without the field keys: a client that changes what it has read does not
// know the keys. An empty list removes them.
func markKeptKeys(objects []resource.Object, writes []control.Write) {
	for i, o := range objects {
		if c, ok := o.(*resource.Customer); ok {
			writes[i].KeepKeys = c.Keys == nil
		}
	}
}
