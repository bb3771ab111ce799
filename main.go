// Command sapphiretray routes requests to upstreams; each key is served by one upstream at a time.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/signal"
	"syscall"

	"sapphiretray/code"
	"sapphiretray/document"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2
	exitRefused = 3
)

const description = `Routes requests to upstreams; each key is served by one upstream at a time.

Durations are written as in 150ms or 5s; sizes are in bytes.
Exit codes: 0 success, 1 failure, 2 usage, 3 refused input.`

// commands defines the command line for the parser. Each field is one command, implemented in the file of the same name; Resume is in
// pause.go.
type commands struct {
	Globals

	Run      RunCommand      `cmd:"" help:"Run an instance for one upstream until SIGTERM or SIGINT."`
	Platform PlatformCommand `cmd:"" help:"Run an instance for one upstream on the users' platform, with its settings file."`
	Demo     DemoCommand     `cmd:"" help:"Run a deployment on loopback, send requests, kill an owner and check that its keys are served."`
	Check    CheckCommand    `cmd:"" help:"Check a settings file, a sheet or a configuration without the platform."`
	Config   ConfigCommand   `cmd:"" help:"Accept or show the configuration: services, routes, limits and weights."`
	Sheet    SheetCommand    `cmd:"" help:"Plan or accept the operators' sheet, or show which instances have it."`
	Pause    PauseCommand    `cmd:"" help:"Pause automatic moves of services immediately. Each key still has a single owner."`
	Resume   ResumeCommand   `cmd:"" help:"End a pause of automatic moves."`
	Status   StatusCommand   `cmd:"" help:"Print the state of all instances."`
	Timeline TimelineCommand `cmd:"" help:"Print the merged events of all instances."`
	Codes    CodesCommand    `cmd:"" help:"Print the table of result codes."`
	Measure  MeasureCommand  `cmd:"" help:"Measure or simulate performance, failover and placement."`
}

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// execute runs one command and returns the exit code.
func execute(args []string, stdout, stderr io.Writer) int {
	var c commands
	parser, err := kong.New(&c, kong.Name("sapphiretray"), kong.Description(description), kong.Writers(stdout, stderr),
		kong.Vars{"modes": modesHelp})
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "sapphiretray: %v\n", err)
		return exitFailure
	}
	selected, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "sapphiretray: %v; see --help\n", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	selected.BindTo(ctx, (*context.Context)(nil))
	err = selected.Run(&output{stdout: stdout, stderr: stderr, json: c.JSON}, &c.Globals)
	if err != nil {
		printError(stderr, c.JSON, err)
	}
	return exitCode(err)
}

// usageError reports an invalid command line that the parser accepts, such as flags that exclude each other.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

// fileError adds the name of a file to the errors found in it.
type fileError struct {
	file string
	err  error
}

func (e fileError) Error() string { return e.file + ": " + e.err.Error() }

func (e fileError) Unwrap() error { return e.err }

// lines returns each error of the file as FILE:LINE:COLUMN: TEXT, the form from which editors open the position.
func (e fileError) lines() []string {
	var errs document.ValidationErrors
	if !errors.As(e.err, &errs) {
		return nil
	}
	lines := make([]string, len(errs))
	for n, v := range errs {
		lines[n] = e.file + ":" + v.String()
	}
	return lines
}

// exitCode returns the exit code of a command that returned err.
func exitCode(err error) int {
	number, _ := code.Of(err)
	var usage usageError
	var path *fs.PathError
	switch {
	case err == nil:
		return exitSuccess
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &path):
		return exitFailure
	case number == code.BadSettings, number == code.BadSheet, number == code.BadConfig:
		return exitRefused
	}
	return exitFailure
}

// printError writes the validation errors, the result code and the text of err, as text or as JSON.
func printError(w io.Writer, asJSON bool, err error) {
	number, _ := code.Of(err)
	var file fileError
	var lines []string
	if errors.As(err, &file) {
		lines = file.lines()
	}
	if asJSON {
		_ = writeJSON(w, map[string]any{"code": int(number), "name": number.Entry().Name(), "text": err.Error(), "faults": lines})
		return
	}
	for _, line := range lines {
		_, _ = fmt.Fprintln(w, line)
	}
	switch {
	case len(lines) > 0:
		_, _ = fmt.Fprintf(w, "sapphiretray: code %s: %s is refused; faults: %d\n", number, file.file, len(lines))
	case number != 0:
		_, _ = fmt.Fprintf(w, "sapphiretray: code %s: %v\n", number, err)
	default:
		_, _ = fmt.Fprintf(w, "sapphiretray: %v\n", err)
	}
}
