package control

import "github.com/godwithub/godwithub/resource"

// addKeys records the keys of o, if it is a customer.
func (x *index) addKeys(o resource.Object) {
	c, ok := o.(*resource.Customer)
	if !ok {
		return
	}
	for _, key := range c.Keys {
		x.keyHolders[resource.DigestKey(key)] = c.Name
	}
}

// removeKeys removes the keys of o, if it is a customer. Those that another customer of the same change has
// already taken over stay.
func (x *index) removeKeys(o resource.Object) {
	c, ok := o.(*resource.Customer)
	if !ok {
		return
	}
	for _, key := range c.Keys {
		if d := resource.DigestKey(key); x.keyHolders[d] == c.Name {
			delete(x.keyHolders, d)
		}
	}
}

// checkKeys records a fault for each customer of the batch whose key another customer holds once the batch is
// applied. Only the keys of written customers are looked at. Faults do not contain keys.
func (s *staged) checkKeys() {
	holders := map[resource.KeyDigest]string{}
	for _, w := range s.writes {
		c, ok := s.after[w.Key].(*resource.Customer)
		if !ok {
			continue
		}
		if len(c.KeyDigests) > 0 {
			s.addFault(w.Key, "keyDigests", "is set by the system")
		}
		for _, key := range c.Keys {
			s.checkKey(w.Key, resource.DigestKey(key), holders)
		}
	}
}

// checkKey records a fault if another customer than that under k holds the key with digest d. holders has the
// keys of the batch that were checked before.
func (s *staged) checkKey(k resource.Key, d resource.KeyDigest, holders map[resource.KeyDigest]string) {
	holder, held := holders[d]
	if !held {
		holders[d] = k.Name
		holder, held = s.m.index.keyHolders[d]
		// The batch decides on the keys of customers that it writes.
		if _, written := s.after[resource.Key{Type: resource.TypeCustomer, Name: holder}]; written {
			return
		}
	}
	if held && holder != k.Name {
		s.addFault(k, "keys", "a key is held by customer %s as well", holder)
	}
}

// checkLastCustomer records a fault if the batch deletes the last customer and nothing says whether requests still need
// a key: without customers they need none, so that the removal of the last key would make every key good.
func (s *staged) checkLastCustomer() {
	count := len(s.m.index.names[resource.TypeCustomer])
	var deleted []resource.Key
	for _, w := range s.writes {
		if w.Key.Type != resource.TypeCustomer {
			continue
		}
		existed, exists := s.m.set.Get(w.Key) != nil, s.after[w.Key] != nil
		switch {
		case existed && !exists:
			deleted = append(deleted, w.Key)
			count--
		case exists && !existed:
			count++
		}
	}
	if len(deleted) == 0 || count > 0 {
		return
	}
	limits, ok := s.get(resource.Key{Type: resource.TypeLimits, Name: resource.LimitsName}).(*resource.Limits)
	if !ok || limits.KeysRequired == nil {
		s.addFault(deleted[0], "name", "is the last customer: set keysRequired of %s/%s, which says whether requests still need a key", resource.TypeLimits, resource.LimitsName)
	}
}

// keepKeys gives the customer o of a write with KeepKeys the keys of the current one.
func keepKeys(w *Write, o, current resource.Object) {
	next, isCustomer := o.(*resource.Customer)
	if previous, ok := current.(*resource.Customer); ok && isCustomer && w.KeepKeys {
		next.Keys = previous.Keys
	}
}
