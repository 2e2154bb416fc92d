package loadgen

import (
	"fmt"
	"strconv"
	"strings"
)

// Kind is one kind of request in the load.
type Kind struct {
	Name   string
	Method string
	Host   string // Host header; empty: the target's address
	Path   string
	Caller string // Godwithub-Caller header; empty: none
	// CustomerKey is the Godwithub-Customer-Key header; empty: none.
	CustomerKey string
	// ReadRate is how many bytes of an answer's body are read per second; 0: as many as arrive.
	ReadRate int64
	// Share is the kind's weight within the common rate, relative to the other kinds without a rate
	// of their own.
	Share float64
	// Rate is the kind's own schedule, in addition to the common rate. Nil: it uses Share.
	Rate Schedule
	// BodyBytes is the least size of the request's body.
	BodyBytes int
	// Body is the text at the start of the request's body.
	Body string
	// IdempotencyKey gives each request an Idempotency-Key of its own.
	IdempotencyKey bool
	// TimeoutMs is the Godwithub-Timeout-Ms header; 0: none.
	TimeoutMs int64
	// Limit is the largest number of requests of this kind. 0: no limit.
	Limit int64
}

// ParseKind parses "name=N,method=M,host=H,path=P,share=S,..." with the fields name, method, host,
// path, caller, customerkey, share, rate, bytes, body, key (yes or no), timeout (in milliseconds), limit and read (in
// bytes per second).
func ParseKind(s string) (Kind, error) {
	k := Kind{Method: "GET", Path: "/"}
	for part := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(part, "=")
		if !ok {
			return Kind{}, fmt.Errorf("loadgen: kind: %q is not NAME=VALUE", part)
		}
		if err := k.set(name, value); err != nil {
			return Kind{}, fmt.Errorf("loadgen: kind %q: %w", s, err)
		}
	}
	if k.Name == "" {
		return Kind{}, fmt.Errorf("loadgen: kind %q has no name", s)
	}
	if k.Rate == nil && k.Share == 0 {
		k.Share = 1
	}
	return k, nil
}

func (k *Kind) set(name, value string) (err error) {
	switch name {
	case "name":
		k.Name = value
	case "method":
		k.Method = value
	case "host":
		k.Host = value
	case "path":
		k.Path = value
	case "caller":
		k.Caller = value
	case "customerkey":
		k.CustomerKey = value
	case "read":
		k.ReadRate, err = strconv.ParseInt(value, 10, 64)
		if err == nil && k.ReadRate <= 0 {
			err = fmt.Errorf("read %d is not positive", k.ReadRate)
		}
	case "body":
		k.Body = value
	case "share":
		k.Share, err = strconv.ParseFloat(value, 64)
		if err == nil && k.Share <= 0 {
			err = fmt.Errorf("share %v is not positive", k.Share)
		}
	case "rate":
		k.Rate, err = ParseSchedule(value)
	case "bytes":
		k.BodyBytes, err = strconv.Atoi(value)
	case "timeout":
		k.TimeoutMs, err = strconv.ParseInt(value, 10, 64)
	case "limit":
		k.Limit, err = strconv.ParseInt(value, 10, 64)
	case "key":
		k.IdempotencyKey = value == "yes"
		if value != "yes" && value != "no" {
			err = fmt.Errorf("key %q is neither yes nor no", value)
		}
	default:
		err = fmt.Errorf("unknown field %q", name)
	}
	return err
}
