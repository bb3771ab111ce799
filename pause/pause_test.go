package pause

import (
	"fmt"
	"net/http/httptest"
	"slices"
	"testing"

	"sapphiretray/code"
	"sapphiretray/fake"
	"sapphiretray/table"

	"golang.org/x/sync/errgroup"
)

// TestPauses guards against a pause that is lost when operators pause several services at the same time, and against a Clear that ends
// other pauses than that of its target.
func TestPauses(t *testing.T) {
	server := httptest.NewServer((&fake.Platform{}).Handler())
	defer server.Close()
	c := table.New(server.URL)
	var group errgroup.Group
	for _, target := range []string{"a", "b", "c", All} {
		group.Go(func() error {
			_, err := Set(t.Context(), c, target, "ana", "checks "+target)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	if _, err := Clear(t.Context(), c, All, "ben", "checked"); err != nil {
		t.Fatal(err)
	}
	state, err := Load(t.Context(), c)
	if err != nil || state.Version != 5 || !slices.Equal(state.Value.Targets(), []string{"a", "b", "c"}) {
		t.Errorf("got version %d, %v, %v", state.Version, state.Value.Targets(), err)
	}
	p, paused := state.Value.Paused("a")
	if _, other := state.Value.Paused("d"); !paused || other || fmt.Sprint(p.By, ":", p.Why) != "ana:checks a" {
		t.Errorf("a: %t %+v, d: %t", paused, p, other)
	}
	_, err = Clear(t.Context(), c, "d", "ben", "")
	if number, _ := code.Of(err); number != code.BadRequest {
		t.Errorf("got %v, want code %d", err, code.BadRequest)
	}
}
