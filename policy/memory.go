package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// StalledAfter is the time without progress after which a claim may be revoked for any other one. It is longer than callers within
	// their limits pause, and no claim is revoked while there is room.
	StalledAfter = time.Second
	// SmallMessage is the size in bytes up to which a claim may use all of the memory.
	SmallMessage = 64 << 10
	// mediumMessage is the size up to which a claim may use mediumShare of the memory. Larger ones may use largeShare, so that they leave
	// room for others. A single claim takes up to aloneShare; one that needs more gets that and is served alone.
	mediumMessage = 1 << 20
	mediumShare   = 0.9
	largeShare    = 0.8
	aloneShare    = 0.75
	// yieldFactor is the multiple of what the owner of a claim would hold from which on another owner's body gives way to it although it
	// is still arriving.
	yieldFactor = 4
)

// MemoryAccount decides which messages of callers may be held in memory at the same time. Messages for which there is no room wait or are
// refused, and those that can still be refused give way to others: first those without progress for StalledAfter, then those of owners that
// hold a multiple. It isn't safe for concurrent use. Create it with NewMemoryAccount.
type MemoryAccount struct {
	limit, used int64
	claims      map[*MemoryClaim]struct{}
}

// NewMemoryAccount returns an account of a number of bytes.
func NewMemoryAccount(limit int64) *MemoryAccount {
	return &MemoryAccount{limit: limit, claims: make(map[*MemoryClaim]struct{})}
}

// Limit returns the size of the account in bytes.
func (a *MemoryAccount) Limit() int64 { return a.limit }

// Used returns the bytes that are claimed.
func (a *MemoryAccount) Used() int64 { return a.used }

// Claims returns the number of claims.
func (a *MemoryAccount) Claims() int { return len(a.claims) }

// Revocability tells when a claim may be revoked.
type Revocability int

const (
	// Irrevocable is for messages that must not be lost, such as a body that has been passed on to an upstream.
	Irrevocable Revocability = iota
	// RevocableIfStalled is for messages that are lost only if their receiver doesn't read them.
	RevocableIfStalled
	// Revocable is for messages that can still be refused.
	Revocable
)

// MemoryClaim is the memory of one message or request. Create it with MemoryAccount.Open.
type MemoryClaim struct {
	owner      string
	bytes      int64
	progressed time.Time
	revocable  Revocability
	revoked    bool
}

// Revoked reports whether the claim has been revoked, so that its memory is to be released.
func (c *MemoryClaim) Revoked() bool { return c.revoked }

// Bytes returns the size of the claim.
func (c *MemoryClaim) Bytes() int64 { return c.bytes }

// SetRevocable sets when the claim may be revoked from now on.
func (c *MemoryClaim) SetRevocable(now time.Time, r Revocability) { c.revocable, c.progressed = r, now }

// Progress records that a part of the message has moved.
func (c *MemoryClaim) Progress(now time.Time) { c.progressed = now }

// Open returns an empty claim of an owner, such as a connection.
func (a *MemoryAccount) Open(now time.Time, owner string) *MemoryClaim {
	c := &MemoryClaim{owner: owner, progressed: now}
	a.claims[c] = struct{}{}
	return c
}

// Close releases a claim.
func (a *MemoryAccount) Close(c *MemoryClaim) {
	if _, ok := a.claims[c]; ok {
		delete(a.claims, c)
		a.used -= c.bytes
		c.bytes = 0
	}
}

// Shrink lowers a claim to a number of bytes.
func (a *MemoryAccount) Shrink(c *MemoryClaim, bytes int64) {
	if bytes < c.bytes {
		a.used -= c.bytes - bytes
		c.bytes = bytes
	}
}

// MemoryDecision is the result of MemoryAccount.Grow.
type MemoryDecision int

const (
	// MemoryGranted means that the claim has grown.
	MemoryGranted MemoryDecision = iota
	// MemoryAwaited means that there will be room once the claims that have been revoked are released.
	MemoryAwaited
	// MemoryRefused means that there is no room.
	MemoryRefused
)

// Grow raises a claim to a number of bytes in all. It returns the claims that it has revoked to make room, which are to be released.
func (a *MemoryAccount) Grow(now time.Time, c *MemoryClaim, bytes int64) (MemoryDecision, []*MemoryClaim) {
	bytes = max(c.bytes, min(bytes, int64(aloneShare*float64(a.limit))))
	needed := a.used - c.bytes + bytes - a.share(bytes)
	if needed <= 0 {
		a.used += bytes - c.bytes
		c.bytes = bytes
		return MemoryGranted, nil
	}
	for other := range a.claims {
		if other.revoked {
			needed -= other.bytes
		}
	}
	var revoked []*MemoryClaim
	for _, other := range a.victims(now, c, bytes) {
		if needed <= 0 {
			break
		}
		needed -= other.bytes
		revoked = append(revoked, other)
	}
	if needed > 0 {
		return MemoryRefused, nil
	}
	for _, other := range revoked {
		other.revoked = true
	}
	return MemoryAwaited, revoked
}

// Largest returns the owner that holds most, and how many bytes that is.
func (a *MemoryAccount) Largest() (owner string, bytes int64) {
	for name, held := range a.heldByOwner() {
		if held > bytes {
			owner, bytes = name, held
		}
	}
	return owner, bytes
}

func (a *MemoryAccount) heldByOwner() map[string]int64 {
	held := make(map[string]int64)
	for c := range a.claims {
		held[c.owner] += c.bytes
	}
	return held
}

// share returns the memory that claims may use in all so that one of the given size may be granted.
func (a *MemoryAccount) share(bytes int64) int64 {
	switch {
	case bytes <= SmallMessage:
		return a.limit
	case bytes <= mediumMessage:
		return int64(mediumShare * float64(a.limit))
	default:
		return int64(largeShare * float64(a.limit))
	}
}

// victims returns the claims that give way to a claim of the given size, the first ones first.
func (a *MemoryAccount) victims(now time.Time, c *MemoryClaim, bytes int64) []*MemoryClaim {
	held := a.heldByOwner()
	own := held[c.owner] - c.bytes + bytes
	stalled := func(other *MemoryClaim) bool { return now.Sub(other.progressed) >= StalledAfter }
	var victims []*MemoryClaim
	for other := range maps.Keys(a.claims) {
		if other == c || other.revoked || other.bytes == 0 || other.revocable == Irrevocable {
			continue
		}
		if stalled(other) || other.revocable == Revocable && other.owner != c.owner && held[other.owner] >= yieldFactor*own {
			victims = append(victims, other)
		}
	}
	slices.SortFunc(victims, func(x, y *MemoryClaim) int {
		if sx, sy := stalled(x), stalled(y); sx != sy {
			if sx {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(held[y.owner], held[x.owner]), cmp.Compare(y.bytes, x.bytes))
	})
	return victims
}
