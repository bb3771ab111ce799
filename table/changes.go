package table

import (
	"context"
	"net/http"
	"strconv"

	"sapphiretray/code"
)

// Changes are the rows that were written after a revision.
type Changes struct {
	Rows []Row `json:"rows"`
	// Revision is the version of the newest write in the whole table, to be passed to the next call.
	Revision uint64 `json:"revision"`
}

// Changes returns all rows with a version above after. Versions grow over the whole table, so the answer to one call with
// the last revision seen holds everything new.
func (c *Client) Changes(ctx context.Context, after uint64) (Changes, error) {
	status, body, err := c.call(ctx, http.MethodGet, "/v1/rows?after="+strconv.FormatUint(after, 10), nil)
	if err != nil {
		return Changes{}, err
	}
	if status != http.StatusOK {
		return Changes{}, code.New(code.PlatformDown, "table service answered %d", status)
	}
	var changes Changes
	return changes, decode(body, &changes)
}
