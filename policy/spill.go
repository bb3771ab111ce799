package policy

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// patience is the part of the time to its objective that a request may be expected to take without a loss to its caller. Service times
	// vary so much that requests which are expected to take longer often miss the objective.
	patience = 0.5
	// spillMargin is the time that leaving must save, as a part of the time to the objective, and spillBytes the size of a request and its
	// answer, in bytes, that requires as much again.
	spillMargin = 0.05
	spillBytes  = 10 << 10
	// firstAllowance is the share of the requests for which leaving pays that may go to a data centre at first. Each one that finds room
	// there raises it by allowanceStep, and each one that finds none multiplies it by allowanceCut.
	firstAllowance = 0.25
	allowanceStep  = 0.1
	allowanceCut   = 0.5
	minAllowance   = 0.02
	// allowanceTime is the time within which an allowance returns to firstAllowance if no request goes there.
	allowanceTime = time.Second
)

// Spill decides which requests for a service leave the data centre, and how many may go to each other one. A request leaves if it would
// otherwise miss its objective and the time that it saves is worth the bytes between the data centres. The data centres tell by their
// refusals whether they have room beside their own requests; the share that may go to one rises slowly and falls quickly, so that it
// settles at what the other side can bear. Two data centres that are both short of room refuse each other's requests, and a request leaves
// only while its own data centre is short, so that nothing has to be taken back when the shortage ends.
//
// The zero value is ready to use and seeded at random.
type Spill[D comparable] struct {
	mu         sync.Mutex
	random     *rand.Rand
	allowances map[D]*allowance
}

// allowance is the share of the requests for which leaving pays that may go to a data centre, as of at.
type allowance struct {
	share float64
	at    time.Time
}

// NewSpill returns a Spill with a seed.
func NewSpill[D comparable](seed uint64) *Spill[D] {
	return &Spill[D]{random: rand.New(rand.NewPCG(seed, seed))}
}

// SpillPays reports whether a request should leave its data centre: local and remote are the expected times until its answer, left is the
// time to its objective, and bytes the size of the request and its answer.
func SpillPays(local, remote, left time.Duration, bytes int) bool {
	free := time.Duration(patience * float64(left))
	margin := time.Duration(spillMargin * float64(left) * (1 + float64(bytes)/spillBytes))
	return max(local, free)-max(remote, free) > margin
}

// Allows reports whether one more request for which leaving pays may go to a data centre.
func (s *Spill[D]) Allows(now time.Time, dc D) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	draw := rand.Float64
	if s.random != nil {
		draw = s.random.Float64
	}
	return draw() < s.allowance(now, dc).share
}

// allowance returns the allowance of a data centre at a time. mu must be held.
func (s *Spill[D]) allowance(now time.Time, dc D) *allowance {
	a := s.allowances[dc]
	if a == nil {
		if s.allowances == nil {
			s.allowances = make(map[D]*allowance)
		}
		a = &allowance{share: firstAllowance, at: now}
		s.allowances[dc] = a
	}
	a.share = firstAllowance + (a.share-firstAllowance)*decay(now.Sub(a.at), allowanceTime)
	a.at = now
	return a
}

// Observe records whether a request that left found room in a data centre.
func (s *Spill[D]) Observe(now time.Time, dc D, room bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.allowance(now, dc)
	if room {
		a.share = min(a.share+allowanceStep, 1)
	} else {
		a.share = max(a.share*allowanceCut, minAllowance)
	}
}
