package caller

import (
	"net/http"
	"testing"

	"sapphiretray/code"
	"sapphiretray/partition"
)

// TestOverrideDuringAdmission guards against a request that runs under the partition that its key was in before it got one of its own. The
// owner of the new partition may be another instance.
func TestOverrideDuringAdmission(t *testing.T) {
	c := newCluster(t, 1, testSettings{})
	i := c.instances[0]
	var admitted []int
	i.onAdmit = func(p int) {
		if admitted = append(admitted, p); len(admitted) > 1 {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		next, err := c.current.WithOverride(c.current.Version()+1, partition.Hash("k"))
		if err != nil {
			t.Error(err)
			return
		}
		c.current = next
	}
	if a := i.send(t.Context(), testRequest{method: http.MethodPost, path: "/plain/k"}); a.code != code.OK {
		t.Fatal(a)
	}
	i.admissions.Wait()
	if last, want := admitted[len(admitted)-1], c.current.Partition("k"); last != want {
		t.Errorf("the request ran under partition %d, want %d", last, want)
	}
}
