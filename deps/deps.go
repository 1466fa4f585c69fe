//go:build deps

// Package deps keeps the libraries of the project in go.mod until their first user has landed.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/ansel1/merry/v2"
	_ "github.com/apex/log"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/gorilla/mux"
	_ "github.com/integrii/flaggy"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/smartystreets/goconvey/convey"
	_ "github.com/twitchtv/twirp"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sync/singleflight"
	_ "pgregory.net/rapid"
)
