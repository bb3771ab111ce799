package sidecar

import (
	"context"
	"errors"
	"testing"
	"time"

	"sapphiretray/member"
	"sapphiretray/store"
)

// TestReplaceRemovedRow guards against a process whose writes of a row conflict for ever, because its copy counts as complete and holds a
// row that was removed, and against a write that counts as done because the removed row had the same value.
func TestReplaceRemovedRow(t *testing.T) {
	for _, test := range []struct{ name, value string }{{"other value", `{"State":"draining"}`}, {"same value", `{"State":"ready"}`}} {
		t.Run(test.name, func(t *testing.T) {
			key := member.RowKey("slot-0")
			row := store.Row{Table: TableName, Key: key, Value: []byte(`{"State":"ready"}`), Version: 5}
			testPlanner(t, 20, []store.Row{row}, func(p plannerTest) {
				p.store.mu.Lock()
				delete(p.store.rows, key)
				p.store.mu.Unlock()
				ctx := context.WithoutCancel(t.Context())
				_, err := p.sc.replaceRow(ctx, key, 5, []byte(test.value))
				var conflict *store.ConflictError
				if !errors.As(err, &conflict) {
					t.Errorf("the write that replaces the removed row: error %v, want a conflict", err)
				}
				time.Sleep(retryWait)
				known := p.sc.rows.Get(key)
				if !known.Deleted {
					t.Errorf("the copy has version %d of the removed row", known.Version)
				}
				if version, err := p.sc.replaceRow(ctx, key, 0, []byte(test.value)); err != nil || version <= 20 {
					t.Errorf("the next write: version %d, error %v", version, err)
				}
			})
		})
	}
}
