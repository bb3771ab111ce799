package placement

// memberHeap is a heap of members with the smallest sort key on top. Equal sort keys are ordered by member. container/heap took a
// third of the time of a large plan, mostly in calls through its interface.
type memberHeap struct {
	entries []heapEntry
	at      []int32 // Position in entries by member, or none.
	sortKey func(int32) float64
}

type heapEntry struct {
	sortKey float64
	node    int32
}

// before reports whether an entry belongs above another.
func (h heapEntry) before(other heapEntry) bool {
	return h.sortKey < other.sortKey || h.sortKey == other.sortKey && h.node < other.node
}

// newMemberHeap returns an empty heap for members 0 to nodes-1, which are ordered by sortKey.
func newMemberHeap(nodes int, sortKey func(int32) float64) *memberHeap {
	h := &memberHeap{at: make([]int32, nodes), sortKey: sortKey}
	for n := range h.at {
		h.at[n] = none
	}
	return h
}

func (h *memberHeap) add(n int32) {
	h.at[n] = int32(len(h.entries))
	h.entries = append(h.entries, heapEntry{h.sortKey(n), n})
	h.up(len(h.entries) - 1)
}

// fix restores the order after the sort key of a member has changed. It ignores members that aren't in the heap.
func (h *memberHeap) fix(n int32) {
	at := h.at[n]
	if at == none {
		return
	}
	h.entries[at].sortKey = h.sortKey(n)
	h.up(int(at))
	h.down(int(h.at[n]))
}

// top returns the member with the smallest sort key, or none.
func (h *memberHeap) top() int32 {
	if len(h.entries) == 0 {
		return none
	}
	return h.entries[0].node
}

// pop removes the top. The heap must not be empty.
func (h *memberHeap) pop() {
	h.at[h.entries[0].node] = none
	last := len(h.entries) - 1
	if last > 0 {
		h.put(0, h.entries[last])
	}
	h.entries = h.entries[:last]
	if last > 0 {
		h.down(0)
	}
}

// put stores an entry at a position.
func (h *memberHeap) put(at int, e heapEntry) {
	h.entries[at] = e
	h.at[e.node] = int32(at)
}

// up moves the entry at a position towards the top until its parent is before it.
func (h *memberHeap) up(at int) {
	moving := h.entries[at]
	for at > 0 {
		parent := (at - 1) / 2
		if !moving.before(h.entries[parent]) {
			break
		}
		h.put(at, h.entries[parent])
		at = parent
	}
	h.put(at, moving)
}

// down moves the entry at a position away from the top until it is before its children.
func (h *memberHeap) down(at int) {
	moving := h.entries[at]
	for {
		child := 2*at + 1
		if child >= len(h.entries) {
			break
		}
		if right := child + 1; right < len(h.entries) && h.entries[right].before(h.entries[child]) {
			child = right
		}
		if !h.entries[child].before(moving) {
			break
		}
		h.put(at, h.entries[child])
		at = child
	}
	h.put(at, moving)
}
