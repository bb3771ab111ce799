// Command sapphiretray routes requests to servers that own keys exclusively.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type commands struct {
	Run  RunCommand  `cmd:"" help:"Run the process beside one upstream."`
	Demo DemoCommand `cmd:"" help:"Show a deployment on loopback: requests, the loss of an owner, its keys served again."`
}

func main() {
	var c commands
	selected := kong.Parse(&c)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	selected.BindTo(ctx, (*context.Context)(nil))
	selected.FatalIfErrorf(selected.Run())
}
