//go:build pending

// Package pending keeps the modules that the next commits import, so that parallel
// work shares one go.mod; it is deleted once they do.
package pending

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-kit/log"
	_ "github.com/labstack/echo/v4"
	_ "github.com/rotisserie/eris"
	_ "github.com/spf13/cobra"
	_ "github.com/tidwall/btree"
	_ "github.com/vmihailenco/msgpack/v5"
	_ "go.yaml.in/yaml/v3"
	_ "golang.org/x/net/netutil"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/gonum/stat/distuv"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "pgregory.net/rapid"
)
