package config

import (
	"context"

	"sapphiretray/code"
	"sapphiretray/document"
	"sapphiretray/table"
)

// Load returns the accepted configuration with its version and who accepted it when and why. Version 0 means that none was
// accepted yet. Errors carry the codes of table.Read.
func Load(ctx context.Context, c *table.Client) (table.Accepted[Config], error) {
	return table.Read[Config](ctx, c, RowKey)
}

// Apply makes next the accepted configuration, with version seen+1. The argument seen is the version that the operator saw, 0
// for none; Apply fails if another one is accepted by now. Errors carry code.BadConfig for a configuration in which Check finds
// errors, and otherwise the codes of table.Update.
func Apply(ctx context.Context, c *table.Client, next Config, seen uint64, who, why string) (table.Accepted[Config], error) {
	if err := next.Check().Err(); err != nil {
		return table.Accepted[Config]{}, code.Wrap(code.BadConfig, err, "configuration")
	}
	return table.Update(ctx, c, RowKey, table.Change[Config]{
		Seen: seen, By: who, Why: why,
		Next: func(_ Config, version uint64) (Config, error) { return next.WithVersion(version), nil },
		Diff: Diff,
	})
}

// Diff lists the fields in which two configurations differ, except for the version.
func Diff(older, newer Config) []string {
	return document.Diff(older.WithVersion(0), newer.WithVersion(0))
}
