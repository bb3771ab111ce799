package measure

import (
	"container/heap"
	"slices"
	"time"
)

// loadClock runs events on virtual time.
type loadClock struct {
	now      time.Duration
	sequence uint64
	events   loadEvents
}

type loadEvent struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type loadEvents []loadEvent

func (e loadEvents) Len() int      { return len(e) }
func (e loadEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *loadEvents) Push(x any)   { *e = append(*e, x.(loadEvent)) }

func (e loadEvents) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e *loadEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = loadEvent{}
	*e = old[:len(old)-1]
	return last
}

// time returns the virtual time as the policies take it.
func (c *loadClock) time() time.Time { return loadTime(c.now) }

func loadTime(at time.Duration) time.Time { return time.Unix(0, 0).Add(at) }

func (c *loadClock) at(at time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, loadEvent{at: max(at, c.now), sequence: c.sequence, run: run})
}

// run handles events until none is left.
func (c *loadClock) run() {
	for len(c.events) > 0 {
		event := heap.Pop(&c.events).(loadEvent)
		c.now = event.at
		event.run()
	}
}

// replay schedules the arrivals one after the other, which keeps the heap of events small.
func (c *loadClock) replay(arrivals []loadArrival, arrive func(loadArrival)) {
	if len(arrivals) == 0 {
		return
	}
	c.at(arrivals[0].at, func() {
		c.replay(arrivals[1:], arrive)
		arrive(arrivals[0])
	})
}

// loadServer models an upstream: it runs as many requests at once as it has slots and queues the others in the order of
// arrival. It accepts cancellation, unless it is frozen.
type loadServer struct {
	clock *loadClock
	mean  time.Duration
	slots int
	// bound is the number of requests above which the server sheds; 0 means that it never does.
	bound   int
	running []*loadJob
	queue   []*loadJob
	frozen  bool
	// A cold server is slower by up to coldPenalty when all slots are used.
	coldFrom, coldFor time.Duration
}

const (
	coldPenalty  = 4.0
	shedResponse = time.Millisecond
)

type loadJob struct {
	// work is the service time relative to the server's mean.
	work      float64
	done      func(ok bool)
	end       time.Duration
	run       int
	cancelled bool
}

func (s *loadServer) inFlight() int { return len(s.running) + len(s.queue) }

func (s *loadServer) submit(job *loadJob) {
	switch {
	case s.bound > 0 && s.inFlight() >= s.bound && !s.frozen:
		s.clock.at(s.clock.now+shedResponse, func() {
			if !job.cancelled {
				job.done(false)
			}
		})
	case len(s.running) < s.slots && !s.frozen:
		s.start(job)
	default:
		s.queue = append(s.queue, job)
	}
}

func (s *loadServer) start(job *loadJob) {
	s.running = append(s.running, job)
	job.end = s.clock.now + time.Duration(job.work*float64(s.mean)*s.slowdown())
	s.schedule(job)
}

func (s *loadServer) slowdown() float64 {
	elapsed := s.clock.now - s.coldFrom
	if elapsed < 0 || elapsed >= s.coldFor {
		return 1
	}
	used := float64(len(s.running)) / float64(s.slots)
	return 1 + coldPenalty*used*used*(1-float64(elapsed)/float64(s.coldFor))
}

func (s *loadServer) schedule(job *loadJob) {
	job.run++
	run := job.run
	s.clock.at(job.end, func() {
		if job.run != run || job.cancelled {
			return
		}
		s.remove(job)
		job.done(true)
	})
}

// remove frees the job's slot and starts the next job.
func (s *loadServer) remove(job *loadJob) {
	if i := slices.Index(s.running, job); i >= 0 {
		s.running = slices.Delete(s.running, i, i+1)
	}
	s.fill()
}

func (s *loadServer) fill() {
	for len(s.queue) > 0 && len(s.running) < s.slots && !s.frozen {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.start(next)
	}
}

// cancel ends a job without a call of done.
func (s *loadServer) cancel(job *loadJob) {
	job.cancelled = true
	if s.frozen {
		return
	}
	if i := slices.Index(s.queue, job); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		return
	}
	s.remove(job)
}

func (s *loadServer) freeze() {
	s.frozen = true
	for _, job := range s.running {
		job.end -= s.clock.now
		job.run++
	}
}

func (s *loadServer) thaw() {
	s.frozen = false
	isCancelled := func(job *loadJob) bool { return job.cancelled }
	s.running = slices.DeleteFunc(s.running, isCancelled)
	s.queue = slices.DeleteFunc(s.queue, isCancelled)
	for _, job := range s.running {
		job.end += s.clock.now
		s.schedule(job)
	}
	s.fill()
}
