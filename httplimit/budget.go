package httplimit

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/loglimit"
	"sapphiretray/policy"
)

const (
	// defaultMessageMemory is the memory for messages of callers in bytes in a process whose memory isn't known. The garbage
	// collector has no limit there, so that buffers that are no longer used may take as much again.
	defaultMessageMemory = 48 << 20
	// baseMemory is what a process needs without messages of callers, in bytes.
	baseMemory = 48 << 20
	// messageShare is the share of the rest that messages of callers may take. Buffers that are no longer used but not yet collected, and
	// what connections and goroutines take, need the other part.
	messageShare = 0.7
	// minMessageMemory is the least memory for messages of callers in bytes, also if the process has less.
	minMessageMemory = 8 << 20
	// revokeWait bounds the wait of an impatient claim for the release of claims that were revoked for it.
	revokeWait = 500 * time.Millisecond
	// firstBytes is the size of the first buffer for a body of unknown length.
	firstBytes = 8 << 10
	// largeBytes is the size up to which a body of unknown length grows before it is read into a buffer of the largest size.
	largeBytes = 8 << 20
)

// Errors of claims.
var (
	// ErrNoRoom means that there is no room in memory for a message.
	ErrNoRoom = errors.New("no memory is free for the message")
	// ErrRevoked means that a message gave way to others because it had stopped or its sender held much.
	ErrRevoked = errors.New("the message gave way to others")
)

// MessageMemory returns the memory for messages of callers in a process with a number of bytes, or 0 if that isn't known.
func MessageMemory(process int64) int64 {
	if process <= 0 {
		return defaultMessageMemory
	}
	return max(minMessageMemory, int64(messageShare*float64(process-baseMemory)))
}

// runtimeShare is the share of a process's memory from which on the garbage collector runs more often. The rest is for what the runtime
// doesn't count, such as the program itself, and for what is allocated while the collector runs.
const runtimeShare = 0.75

// LimitRuntime makes the garbage collector keep a process below its memory in bytes; 0 means that it isn't known and changes nothing.
func LimitRuntime(process int64) {
	if process > 0 {
		debug.SetMemoryLimit(int64(runtimeShare * float64(process)))
	}
}

const (
	// reservedDescriptors of a process are for files, and callerShare of the others for connections of callers.
	reservedDescriptors = 200
	callerShare         = 0.75
	// connectionMemory is what an open connection takes besides messages, in bytes, and connectionShare the share of a process's memory
	// that connections of callers may take.
	connectionMemory = 32 << 10
	connectionShare  = 0.25
	// minConnections is the least number of callers' connections, also if the process has fewer descriptors.
	minConnections = 32
	// defaultProcessMemory and defaultDescriptors are assumed if they aren't known: the memory of a small machine in bytes, and the usual
	// number.
	defaultProcessMemory = 184_000_000
	defaultDescriptors   = 1024
)

// CallerConnections returns how many connections of callers a process with a memory in bytes and a number of descriptors may have open. 0
// means that the memory or the number isn't known.
func CallerConnections(process int64, descriptors int) int {
	if process <= 0 {
		process = defaultProcessMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	byMemory := int(connectionShare * float64(process) / connectionMemory)
	byDescriptors := int(callerShare * float64(descriptors-reservedDescriptors))
	return max(minConnections, min(byMemory, byDescriptors))
}

// Budget is the memory for all messages that callers make a process hold: their requests until they end, and the responses until they have
// been read. policy.MemoryAccount decides who gets room. Create it with NewBudget.
type Budget struct {
	mu      sync.Mutex
	account *policy.MemoryAccount
	// changed is closed when memory is released.
	changed chan struct{}
	// holders has the open claims.
	holders map[*policy.MemoryClaim]*Claim
	refused uint64
	revoked uint64
	// logLimit bounds the lines about callers.
	logLimit loglimit.Limiter
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(size int64) *Budget {
	return &Budget{
		account: policy.NewMemoryAccount(size), changed: make(chan struct{}), holders: make(map[*policy.MemoryClaim]*Claim),
	}
}

// BudgetStats are the state of a budget and its totals since the start.
type BudgetStats struct {
	Limit, Used int64  // Bytes.
	Claims      int    // Requests that hold memory.
	Refused     uint64 // Messages for which there was no room.
	Revoked     uint64 // Messages that gave way to others.
}

// Stats returns the state and the totals.
func (b *Budget) Stats() BudgetStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BudgetStats{
		Limit: b.account.Limit(), Used: b.account.Used(), Claims: b.account.Claims(), Refused: b.refused, Revoked: b.revoked,
	}
}

// Claim is the memory of one request with its body and its responses. A nil Claim has no limit. Create it with Budget.Open.
type Claim struct {
	budget *Budget
	owner  string
	claim  *policy.MemoryClaim
	// revoke is called when the claim is revoked. Budget.mu guards it.
	revoke func()
	closed bool
}

// Open returns an empty claim of an owner, such as a connection. Close it when the request has ended.
func (b *Budget) Open(owner string) *Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &Claim{budget: b, owner: owner, claim: b.account.Open(time.Now(), owner)}
	b.holders[c.claim] = c
	return c
}

// Close releases the memory. It may be called more than once.
func (c *Claim) Close() {
	if c == nil {
		return
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.closed {
		return
	}
	c.closed, c.revoke = true, nil
	b.account.Close(c.claim)
	delete(b.holders, c.claim)
	b.signal()
}

// signal announces that memory has been released. mu must be held.
func (b *Budget) signal() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// SetRevocable sets when the claim may be revoked from now on, and what is called then, which must not block or call the budget. It returns
// ErrRevoked if the claim has been revoked.
func (c *Claim) SetRevocable(r policy.Revocability, revoke func()) error {
	if c == nil {
		return nil
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.claim.Revoked() {
		return ErrRevoked
	}
	c.revoke = revoke
	c.claim.SetRevocable(time.Now(), r)
	return nil
}

// Progress records that a part of the message has moved.
func (c *Claim) Progress() {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.claim.Progress(time.Now())
}

// Reserve raises the claim by a number of bytes. An impatient claim that would have to wait for others to end gets ErrNoRoom; a patient one
// waits until ctx ends.
func (c *Claim) Reserve(ctx context.Context, size int64, patient bool) error {
	if c == nil {
		return nil
	}
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	if !patient {
		waiting, cancel = context.WithTimeout(ctx, revokeWait)
		defer cancel()
	}
	total := int64(-1)
	for {
		decision, changed, err := c.tryReserve(&total, size)
		switch {
		case err != nil:
			return err
		case decision == policy.MemoryGranted:
			return nil
		case decision == policy.MemoryRefused && !patient:
			c.countRefusal(size)
			return ErrNoRoom
		}
		if !awaitChange(waiting, changed) {
			c.countRefusal(size)
			if err := ctx.Err(); err != nil {
				return fmt.Errorf("%w: %w", ErrNoRoom, err)
			}
			return ErrNoRoom
		}
	}
}

// awaitChange waits for a change and returns false if ctx ends first. Without a change, it returns true after a time in which further
// claims may have stalled.
func awaitChange(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(policy.StalledAfter / 4)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// tryReserve raises the claim by size bytes if there is room, and revokes claims for it otherwise. total is the size in all, which the
// first call sets. changed is closed when memory is released.
func (c *Claim) tryReserve(total *int64, size int64) (decision policy.MemoryDecision, changed <-chan struct{}, err error) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.closed || c.claim.Revoked() {
		return policy.MemoryRefused, nil, ErrRevoked
	}
	if *total < 0 {
		*total = c.claim.Bytes() + size
	}
	decision, revoked := b.account.Grow(time.Now(), c.claim, *total)
	for _, r := range revoked {
		b.revoked++
		holder := b.holders[r]
		if b.logLimit.Allow("revoked " + holder.owner) {
			klog.InfoS("memory: message gives way", "caller", holder.owner, "bytes", r.Bytes(), "for", c.owner, "size", size,
				"used", b.account.Used(), "limit", b.account.Limit())
		}
		if holder.revoke != nil {
			holder.revoke()
		}
	}
	return decision, b.changed, nil
}

// countRefusal counts and logs a message of a size for which there is no room.
func (c *Claim) countRefusal(size int64) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused++
	if !b.logLimit.Allow("refused " + c.owner) {
		return
	}
	most, held := b.account.Largest()
	klog.InfoS("memory: no room for a message", "caller", c.owner, "size", size, "used", b.account.Used(), "limit", b.account.Limit(),
		"claims", b.account.Claims(), "most", most, "mostBytes", held)
}

// ReadHeld reads the body of a response into memory of a claim and closes it. The Memory of the limit bounds only the bodies that are being
// read; the claim holds the body until it is closed.
func (l Limit) ReadHeld(ctx context.Context, response *http.Response, held *Claim) ([]byte, error) {
	length := response.ContentLength
	if err := l.Apply(ctx, response); err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	// The claim is raised last, since it isn't released while others wait for the Memory.
	if b, ok := response.Body.(*body); ok && length > b.allowed {
		if err := b.reserve(); err != nil {
			return nil, err
		}
	}
	return held.ReadAll(ctx, response.Body, length, l.Max, true)
}

// ReadAll reads a body of up to limit bytes, whose length is negative if it isn't known, and reserves its memory before it is read. It
// doesn't close the body. A body with a longer length isn't read; it and one without a length that turns out longer get ErrTooLarge.
func (c *Claim) ReadAll(ctx context.Context, body io.Reader, length, limit int64, patient bool) ([]byte, error) {
	if length > limit {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, length, limit)
	}
	var content []byte
	reserved := int64(0)
	for _, size := range readSizes(length, limit, patient) {
		if err := c.Reserve(ctx, size-reserved, patient); err != nil {
			return content, err
		}
		reserved = size
		// The pages of a large buffer take memory only once they are written.
		buffer := make([]byte, size)
		n := copy(buffer, content)
		more, err := fill(buffer[n:], c.Reader(body))
		content = buffer[:n+more]
		if errors.Is(err, io.EOF) {
			return c.trim(content, reserved), nil
		}
		if err != nil {
			return content, err
		}
	}
	return content, checkEnd(body, limit)
}

// Reader returns a reader that records the progress of the claim.
func (c *Claim) Reader(r io.Reader) io.Reader { return &progressReader{Reader: r, claim: c} }

// trim returns a body without the unused part of its buffer, and releases the memory that was reserved for that.
func (c *Claim) trim(content []byte, reserved int64) []byte {
	size := int64(len(content))
	if size > reserved/2 {
		return content
	}
	if c != nil {
		c.budget.mu.Lock()
		defer c.budget.mu.Unlock()
		c.budget.account.Shrink(c.claim, c.claim.Bytes()-(reserved-size))
		c.budget.signal()
	}
	return append(make([]byte, 0, size), content...)
}

// fill reads into a buffer until it is full. Unlike io.ReadFull, it returns io.EOF only as an error of the reader.
func fill(buffer []byte, reader io.Reader) (n int, err error) {
	for n < len(buffer) && err == nil {
		var more int
		more, err = reader.Read(buffer[n:])
		n += more
	}
	return n, err
}

// readSizes returns the sizes of the buffers into which a body is read, one after the other. Buffers don't just double, since the old one
// takes memory until it is collected. Bodies that wait for room hold only a small buffer meanwhile, so that they don't wait for each other.
func readSizes(length, limit int64, patient bool) []int64 {
	if length >= 0 {
		return []int64{length}
	}
	var sizes []int64
	for _, size := range []int64{firstBytes, SmallBytes, mediumBytes, largeBytes} {
		if size < limit && (size <= SmallBytes || !patient) {
			sizes = append(sizes, size)
		}
	}
	return append(sizes, limit)
}

// checkEnd returns ErrTooLarge if a body has more bytes than the limit that has been read.
func checkEnd(body io.Reader, limit int64) error {
	var next [1]byte
	_, err := io.ReadFull(body, next[:])
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return err
	}
	return fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
}

// progressInterval is the time between two records of the progress of a message.
const progressInterval = policy.StalledAfter / 4

// progressReader records the progress of a claim as its body arrives.
type progressReader struct {
	io.Reader
	claim    *Claim
	recorded time.Time
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	if now := time.Now(); n > 0 && now.Sub(p.recorded) >= progressInterval {
		p.claim.Progress()
		p.recorded = now
	}
	return n, err
}
