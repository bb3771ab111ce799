package measure

import (
	"container/heap"
	"slices"
	"time"
)

// virtualClock is the scheduler of a discrete-event simulation. Events at the same time run in the order in which they were scheduled.
type virtualClock struct {
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

// timestamp returns the virtual time as a time.Time, which the policies take.
func (c *virtualClock) timestamp() time.Time { return virtualTimestamp(c.now) }

// virtualTimestamp converts a virtual time to a time.Time.
func virtualTimestamp(at time.Duration) time.Time { return time.Unix(0, 0).Add(at) }

// at schedules a function for a virtual time, or for now if that time has passed.
func (c *virtualClock) at(at time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, loadEvent{at: max(at, c.now), sequence: c.sequence, run: run})
}

// run runs events until none is left.
func (c *virtualClock) run() {
	for len(c.events) > 0 {
		event := heap.Pop(&c.events).(loadEvent)
		c.now = event.at
		event.run()
	}
}

// replay schedules each arrival only when the one before it runs, which keeps the heap of events small.
func (c *virtualClock) replay(arrivals []loadArrival, arrive func(loadArrival)) {
	if len(arrivals) == 0 {
		return
	}
	c.at(arrivals[0].at, func() {
		c.replay(arrivals[1:], arrive)
		arrive(arrivals[0])
	})
}

// loadServer models an upstream: it runs as many requests at once as it has slots, and queues the others in order of arrival. Requests
// can be cancelled, but a frozen server only frees their slots when it thaws.
type loadServer struct {
	clock *virtualClock
	mean  time.Duration
	slots int
	// shedThreshold is the number of requests in flight from which the server refuses further ones; 0 means no limit.
	shedThreshold int
	running       []*loadJob
	queue         []*loadJob
	frozen        bool
	// From coldFrom, for coldDuration, the server is slower; see slowdown.
	coldFrom, coldDuration time.Duration
}

const (
	// coldPenalty is the additional service time, relative to the normal one, of a server that has just started and uses all slots.
	coldPenalty = 4.0
	// shedResponseTime is the time that a server takes to refuse or fail a request.
	shedResponseTime = time.Millisecond
)

// loadJob is a request at a server.
type loadJob struct {
	// work is the service time relative to the server's mean.
	work float64
	// done is called when the job has ended, with false if the server refused it; it is not called for a cancelled job.
	done func(ok bool)
	// end is the time at which the job finishes, or its remaining time while the server is frozen.
	end time.Duration
	// generation increases with each change of end, so that events scheduled for an earlier end are ignored.
	generation int
	cancelled  bool
}

func (s *loadServer) inFlight() int { return len(s.running) + len(s.queue) }

func (s *loadServer) submit(job *loadJob) {
	switch {
	case s.shedThreshold > 0 && s.inFlight() >= s.shedThreshold && !s.frozen:
		s.clock.at(s.clock.now+shedResponseTime, func() {
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
	s.scheduleEnd(job)
}

// slowdown returns the factor on service times. The penalty of a cold server grows with the square of its use and falls linearly with
// time.
func (s *loadServer) slowdown() float64 {
	elapsed := s.clock.now - s.coldFrom
	if elapsed < 0 || elapsed >= s.coldDuration {
		return 1
	}
	used := float64(len(s.running)) / float64(s.slots)
	return 1 + coldPenalty*used*used*(1-float64(elapsed)/float64(s.coldDuration))
}

// scheduleEnd schedules the end of a running job.
func (s *loadServer) scheduleEnd(job *loadJob) {
	job.generation++
	generation := job.generation
	s.clock.at(job.end, func() {
		if job.generation != generation || job.cancelled {
			return
		}
		s.remove(job)
		job.done(true)
	})
}

// remove frees the job's slot and starts the next queued job.
func (s *loadServer) remove(job *loadJob) {
	if i := slices.Index(s.running, job); i >= 0 {
		s.running = slices.Delete(s.running, i, i+1)
	}
	s.fill()
}

// fill starts queued jobs while slots are free.
func (s *loadServer) fill() {
	for len(s.queue) > 0 && len(s.running) < s.slots && !s.frozen {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.start(next)
	}
}

// cancel ends a job without calling done.
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

// freeze stops all work until thaw.
func (s *loadServer) freeze() {
	s.frozen = true
	for _, job := range s.running {
		job.end -= s.clock.now
		job.generation++
	}
}

// thaw continues running jobs with their remaining time and drops jobs that were cancelled meanwhile.
func (s *loadServer) thaw() {
	s.frozen = false
	isCancelled := func(job *loadJob) bool { return job.cancelled }
	s.running = slices.DeleteFunc(s.running, isCancelled)
	s.queue = slices.DeleteFunc(s.queue, isCancelled)
	for _, job := range s.running {
		job.end += s.clock.now
		s.scheduleEnd(job)
	}
	s.fill()
}
