//go:build deps

// Package deps keeps the modules of parts that are still being built in go.mod.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alexflint/go-arg"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cockroachdb/errors"
	_ "github.com/google/uuid"
	_ "github.com/valyala/fasthttp"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "pgregory.net/rapid"
)
