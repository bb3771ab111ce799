package placement

// ranking is a heap of members with the smallest key on top; equal keys are ordered by position. container/heap took a
// third of the time of a large plan, most of it in calls through its interface.
type ranking struct {
	entries []ranked
	at      []int32
	key     func(int32) float64
}

type ranked struct {
	key  float64
	node int32
}

func (r ranked) before(other ranked) bool {
	return r.key < other.key || r.key == other.key && r.node < other.node
}

func newRanking(nodes int, key func(int32) float64) *ranking {
	r := &ranking{at: make([]int32, nodes), key: key}
	for n := range r.at {
		r.at[n] = none
	}
	return r
}

func (r *ranking) add(n int32) {
	r.at[n] = int32(len(r.entries))
	r.entries = append(r.entries, ranked{r.key(n), n})
	r.up(len(r.entries) - 1)
}

// fix restores the order after the key of a member changed.
func (r *ranking) fix(n int32) {
	at := r.at[n]
	if at == none {
		return
	}
	r.entries[at].key = r.key(n)
	r.up(int(at))
	r.down(int(r.at[n]))
}

func (r *ranking) top() int32 {
	if len(r.entries) == 0 {
		return none
	}
	return r.entries[0].node
}

func (r *ranking) pop() {
	r.at[r.entries[0].node] = none
	last := len(r.entries) - 1
	if last > 0 {
		r.put(0, r.entries[last])
	}
	r.entries = r.entries[:last]
	if last > 0 {
		r.down(0)
	}
}

func (r *ranking) put(at int, e ranked) {
	r.entries[at] = e
	r.at[e.node] = int32(at)
}

func (r *ranking) up(at int) {
	moving := r.entries[at]
	for at > 0 {
		parent := (at - 1) / 2
		if !moving.before(r.entries[parent]) {
			break
		}
		r.put(at, r.entries[parent])
		at = parent
	}
	r.put(at, moving)
}

func (r *ranking) down(at int) {
	moving := r.entries[at]
	for {
		child := 2*at + 1
		if child >= len(r.entries) {
			break
		}
		if right := child + 1; right < len(r.entries) && r.entries[right].before(r.entries[child]) {
			child = right
		}
		if !r.entries[child].before(moving) {
			break
		}
		r.put(at, r.entries[child])
		at = child
	}
	r.put(at, moving)
}
