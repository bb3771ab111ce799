package table

import (
	"context"
	"net/http"
	"strconv"

	"sapphiretray/code"
)

// Changes holds the rows that were written after a revision.
type Changes struct {
	Rows []Row `json:"rows"`
	// Revision is the version of the newest write in the whole table, to pass to the next call of Client.Changes.
	Revision uint64 `json:"revision"`
}

// Changes returns all rows with a version above after. Versions increase over the whole table, so a call with the last revision seen
// returns all newer rows. Errors carry code.PlatformDown.
func (c *Client) Changes(ctx context.Context, after uint64) (Changes, error) {
	status, body, err := c.call(ctx, http.MethodGet, "/v1/rows?after="+strconv.FormatUint(after, 10), nil)
	if err != nil {
		return Changes{}, err
	}
	if status != http.StatusOK {
		return Changes{}, code.New(code.PlatformDown, "table service responded with status %d", status)
	}
	var changes Changes
	return changes, decode(body, &changes)
}
