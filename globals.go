package main

import (
	"encoding/json"
	"fmt"
	"io"

	"sapphiretray/object"
	"sapphiretray/sheet"
	"sapphiretray/table"
)

// Globals are the flags that all commands share.
type Globals struct {
	Table  string `help:"Base URL of the table service, such as http://127.0.0.1:9000." env:"SAPPHIRE_TABLE" placeholder:"URL"`
	Object string `help:"Base URL of the object store, such as http://127.0.0.1:9000." env:"SAPPHIRE_OBJECT" placeholder:"URL"`
	JSON   bool   `help:"Print JSON."`
}

// tableClient returns the client of the table service, which the command needs.
func (g *Globals) tableClient() (*table.Client, error) {
	if g.Table == "" {
		return nil, usageError{"this command needs --table or SAPPHIRE_TABLE"}
	}
	return table.New(g.Table), nil
}

// clients returns the clients of the table service and the object store, which the command needs.
func (g *Globals) clients() (sheet.Clients, error) {
	if g.Table == "" || g.Object == "" {
		return sheet.Clients{}, usageError{"this command needs --table and --object, or SAPPHIRE_TABLE and SAPPHIRE_OBJECT"}
	}
	return sheet.Clients{Table: table.New(g.Table), Object: object.New(g.Object)}, nil
}

// Author is the flag of commands that change a row in the table.
type Author struct {
	By string `help:"Who makes the change." env:"SAPPHIRE_BY,USER" required:"" placeholder:"NAME"`
}

// output writes the result of a command as text or, if json is set, as JSON.
type output struct {
	stdout, stderr io.Writer
	json           bool
}

// printf writes one line of the result.
func (o *output) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(o.stdout, format+"\n", args...)
}

// note writes one line that isn't part of the result to standard error.
func (o *output) note(format string, args ...any) {
	_, _ = fmt.Fprintf(o.stderr, format+"\n", args...)
}

// write writes value as JSON if json is set, and calls printText otherwise.
func (o *output) write(value any, printText func()) error {
	if o.json {
		return writeJSON(o.stdout, value)
	}
	printText()
	return nil
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}
