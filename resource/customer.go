package resource

import (
	"crypto/sha256"
	"slices"
)

// KeyDigest is the SHA-256 digest of a customer's key. It has no salt: operators are expected to choose long random
// keys, and a lookup would have to try each salt.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Customer is a tenant whose requests carry one of its keys.
type Customer struct {
	Meta
	// Keys holds the keys as operators wrote them. Only control has them; see Redacted. In a write over the API, nil
	// keeps the present keys, and an empty list, which JSON must not leave out, removes them.
	Keys []string `cbor:"keys,omitempty" json:"keys,omitzero" validate:"max=64,dive,min=1,max=255,printascii"`
	// KeyDigests holds the digests of the keys, which nodes get in place of Keys.
	KeyDigests []KeyDigest `json:"keyDigests,omitempty"`
	// Level is the rank level of the customer's requests. It goes before that of their kind. Nil: that of
	// the kind.
	Level *int `json:"level,omitempty" validate:"omitempty,min=0,max=31"`
	// RatePerSecond and Burst are the customer's quota over all nodes: a token bucket that holds up to Burst
	// requests. RatePerSecond 0: no limit.
	RatePerSecond float64 `json:"ratePerSecond,omitempty" validate:"min=0"`
	Burst         float64 `json:"burst,omitempty" validate:"min=0"`
	// RateWritten and BurstWritten say that a document of the platform has the field although it is 0. The
	// document is read back as it was written.
	RateWritten  bool `cbor:"rateWritten,omitempty" json:"-"`
	BurstWritten bool `cbor:"burstWritten,omitempty" json:"-"`
}

// Type implements Object.
func (*Customer) Type() Type { return TypeCustomer }

// Clone implements Object.
func (c *Customer) Clone() Object {
	d := *c
	d.Keys, d.KeyDigests = slices.Clone(c.Keys), slices.Clone(c.KeyDigests)
	if c.Level != nil {
		level := *c.Level
		d.Level = &level
	}
	return &d
}

// countCustomers returns the numbers of customers and of their digests.
func (s *Set) countCustomers() (customers, keys int) {
	for _, o := range s.objects {
		if c, ok := o.(*Customer); ok {
			customers, keys = customers+1, keys+len(c.KeyDigests)
		}
	}
	return customers, keys
}

// WithoutKeys returns a copy that tells nothing of the keys.
func (c *Customer) WithoutKeys() *Customer {
	d := c.Clone().(*Customer)
	d.Keys, d.KeyDigests = nil, nil
	return d
}

// Redacted returns a copy with the digests of the keys in place of the keys.
func (c *Customer) Redacted() *Customer {
	d := c.WithoutKeys()
	d.RateWritten, d.BurstWritten = false, false
	d.KeyDigests = make([]KeyDigest, len(c.Keys))
	for i, k := range c.Keys {
		d.KeyDigests[i] = DigestKey(k)
	}
	return d
}
