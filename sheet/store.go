package sheet

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"sapphiretray/code"
	"sapphiretray/object"
	"sapphiretray/table"
	"sapphiretray/wait"

	"github.com/oklog/ulid/v2"
)

const (
	// RowKey is the table key of the accepted sheet's entry.
	RowKey = "sheet"

	// putAttempts is the number of attempts to write a sheet to the object store.
	putAttempts = 3
	// putDelay is half the pause before the second attempt; each further pause is twice as long as the one before.
	putDelay = 100 * time.Millisecond
)

// Mode is what the planner does with an accepted sheet.
type Mode string

// The modes.
const (
	// Observe computes and reports moves but doesn't make them.
	Observe Mode = "observe"
	// Propose computes moves and waits until a sheet is accepted with mode apply.
	Propose Mode = "propose"
	// Apply makes the moves.
	Apply Mode = "apply"
)

// Entry is the value of the table's row RowKey, which names the sheet in effect. The ChangeInfo of table.Accepted tells who accepted it and
// when.
type Entry struct {
	// Object is the name of the CSV file in the object store.
	Object string `json:"object"`
	// SHA256 is the checksum of the file in hexadecimal.
	SHA256 string `json:"sha256"`
	// Rows is the number of the sheet's rules.
	Rows int  `json:"rows"`
	Mode Mode `json:"mode"`
}

// Clients holds the clients of the table service and the object store.
type Clients struct {
	Table  *table.Client
	Object *object.Client
}

// Current returns the sheet in effect; version 0 means that none was accepted yet. If the table's row can be read but its
// object is missing or damaged, the entry is returned with an error that doesn't carry code.PlatformDown.
func Current(ctx context.Context, clients Clients) (Sheet, table.Accepted[Entry], error) {
	entry, err := table.Read[Entry](ctx, clients.Table, RowKey)
	if err != nil || entry.Version == 0 {
		return Sheet{}, entry, err
	}
	s, err := Fetch(ctx, clients.Object, entry.Value)
	return s, entry, err
}

// Fetch reads the sheet that an entry names and compares its checksum. The error carries code.BadSheet if the object doesn't match
// the entry or can't be parsed.
func Fetch(ctx context.Context, c *object.Client, e Entry) (Sheet, error) {
	content, err := c.Get(ctx, e.Object)
	if err != nil {
		return Sheet{}, err
	}
	if checksum(content) != e.SHA256 {
		return Sheet{}, code.New(code.BadSheet, "the checksum of object %s differs from the one in row %s", e.Object, RowKey)
	}
	return Parse(content, skipServiceCheck)
}

// fetchOlder reads the sheet that is about to be replaced. A missing or damaged one counts as empty, so that operators can still
// replace it.
func fetchOlder(ctx context.Context, c *object.Client, e Entry) (Sheet, error) {
	if e.Object == "" {
		return Sheet{}, nil
	}
	s, err := Fetch(ctx, c, e)
	if number, _ := code.Of(err); number == code.PlatformDown {
		return Sheet{}, err
	}
	return s, nil
}

func checksum(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Request is a request to accept a sheet.
type Request struct {
	// Content is the CSV file, which is stored unchanged.
	Content []byte
	Mode    Mode
	// Seen is the version that the operator has seen and wants to replace; 0 stands for none.
	Seen uint64
	// By and Why are the author and the reason, which are kept with the version.
	By  string
	Why string
	// Options are those of Parse.
	Options []Option
}

// Accept checks the sheet, writes it to the object store and accepts it with one compare-and-set on the table's row. It returns the
// changes that were accepted. Errors are those of Parse and table.Update. If the row isn't accepted, the object remains without
// effect, and since its name is unique it can't block a later sheet.
func Accept(ctx context.Context, clients Clients, r Request) (table.Accepted[Entry], []Change, error) {
	next, err := Parse(r.Content, r.Options...)
	if err != nil {
		return table.Accepted[Entry]{}, nil, err
	}
	switch r.Mode {
	case Observe, Propose, Apply:
	default:
		return table.Accepted[Entry]{}, nil, code.New(code.BadSheet, "mode %q: want observe, propose or apply", r.Mode)
	}
	var changes []Change
	entry, err := table.Update(ctx, clients.Table, RowKey, table.Change[Entry]{
		Seen: r.Seen, By: r.By, Why: r.Why,
		Next: func(current Entry, version uint64) (Entry, error) {
			older, err := fetchOlder(ctx, clients.Object, current)
			if err != nil {
				return current, err
			}
			changes = Plan(older, next)
			return store(ctx, clients.Object, version, r, len(next.rules))
		},
		Diff: func(older, newer Entry) []string {
			lines := Lines(changes)
			if older.Mode != newer.Mode {
				lines = append([]string{fmt.Sprintf("mode: %s -> %s", older.Mode, newer.Mode)}, lines...)
			}
			return lines
		},
	})
	return entry, changes, err
}

// store writes the sheet to the object store under a unique name and returns its entry.
func store(ctx context.Context, c *object.Client, version uint64, r Request, rows int) (Entry, error) {
	id, err := ulid.New(ulid.Now(), rand.Reader)
	if err != nil {
		return Entry{}, err
	}
	entry := Entry{
		Object: fmt.Sprintf("sheet/%d/%s", version, id), SHA256: checksum(r.Content), Rows: rows, Mode: r.Mode,
	}
	return entry, put(ctx, c, entry.Object, r.Content)
}

// put writes an object and retries the write if its response was lost, which is safe because the name is unique. If every
// response is lost, the error carries code.PlatformDown, because the row isn't written yet and nothing was accepted.
func put(ctx context.Context, c *object.Client, name string, content []byte) error {
	var err error
	for attempt := range putAttempts {
		if attempt > 0 {
			wait.For(ctx, putDelay<<attempt)
		}
		err = c.Put(ctx, name, content)
		if number, _ := code.Of(err); err == nil || number != code.WriteUnknown {
			return err
		}
	}
	return code.New(code.PlatformDown, "object %s can't be written: %s", name, err)
}
