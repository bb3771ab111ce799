package main

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/goccy/go-yaml"
	_ "github.com/oklog/ulid/v2"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "k8s.io/klog/v2"
	_ "pgregory.net/rapid"
)
