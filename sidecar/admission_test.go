package sidecar

import (
	"testing"
	"time"

	"sapphiretray/code"
)

// TestNoKeysWithoutConfiguration guards against requests with keys that reach the upstream of an instance without a configuration: other
// instances send them by the key map, and the upstream refuses each of them because it holds no keys yet.
func TestNoKeysWithoutConfiguration(t *testing.T) {
	sc := New(Settings{Slot: "10.0.0.0", Service: "books"}, Adapters{Store: &silentStore{}, ConfigTable: "op"})
	keys := sc.keys()
	if keys == nil {
		t.Fatal("keys aren't checked")
	}
	if f := keys.Admit(t.Context(), 7, time.Now().Add(time.Second)); f == nil || f.Code != code.NotOwner || f.Arrived {
		t.Errorf("key 7: %v, want %v", f, code.NotOwner)
	}
}
