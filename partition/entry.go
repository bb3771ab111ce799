package partition

import (
	"fmt"
	"slices"

	"sapphiretray/member"
)

// MaxMembers is the maximum number of members of an entry: the owner and its successors. A member's index is its rank.
const MaxMembers = 3

// Entry lists the incarnations that may serve a partition.
type Entry struct {
	// Epoch grows by at least one with each change of the entry.
	Epoch uint64 `json:"epoch"`
	// Members are the owner, at rank 0, and its successors in order, at most MaxMembers in all.
	Members []member.Incarnation `json:"members"`
	// Previous are the incarnations of earlier entries that may still serve the partition under an older epoch.
	Previous []member.Incarnation `json:"from,omitempty"`
}

// Fence returns the fencing token of the member at a rank: the epoch with the rank in the lowest 8 bits.
func (e Entry) Fence(rank int) uint64 { return e.Epoch<<8 | uint64(rank) }

// Rank returns the rank of an incarnation, or -1 if it isn't a member.
func (e Entry) Rank(i member.Incarnation) int { return slices.Index(e.Members, i) }

// Next returns the entry that replaces e when the given members get the partition. Previous contains the former members and
// those of e.Previous, except the new owner and the incarnations for which ended returns true, which can't serve any more.
func (e Entry) Next(members []member.Incarnation, ended func(member.Incarnation) bool) Entry {
	next := Entry{Epoch: e.Epoch + 1, Members: slices.Clone(members)}
	add := func(candidates []member.Incarnation) {
		for _, i := range candidates {
			owner := len(members) > 0 && i == members[0]
			if !owner && !ended(i) && !slices.Contains(next.Previous, i) {
				next.Previous = append(next.Previous, i)
			}
		}
	}
	add(e.Members)
	add(e.Previous)
	return next
}

// Move replaces the entry of one partition.
type Move struct {
	Partition int    `json:"partition"`
	Entry     Entry  `json:"entry"`
	Reason    string `json:"reason"`
}

// Describe returns the entry's epoch and a rank as text for events.
func (e Entry) Describe(rank int) string {
	return fmt.Sprintf("epoch %d rank %d", e.Epoch, rank)
}
