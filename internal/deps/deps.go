//go:build deps

// Package deps pins libraries that packages under construction use. It is
// never built.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/google/uuid"
	_ "github.com/kataras/iris/v12"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "go.etcd.io/bbolt"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sync/singleflight"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
)
