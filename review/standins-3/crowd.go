package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// crowdMemory is the memory of the smallest machine of the site, in MB.
	crowdMemory = 184
	// crowdSlots is the number of requests that a server runs at once.
	crowdSlots = 18
	// crowdConnections is the number of callers in the crowd, and crowdBehind the number of requests that each sends behind one another.
	crowdConnections = 300
	crowdBehind      = 40
	// crowdHeaders is the number of headers of each of them. The head stays far below max_header_bytes.
	crowdHeaders = 800
	crowdTime    = 20 * time.Second
	// ordinaryCallers is the number of other callers, each with a kept connection.
	ordinaryCallers = 20
	// maxLost is the number of requests of kept connections that may be lost.
	maxLost = 3
)

// resident returns the resident memory of a process in bytes.
func resident(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, pages int
	_, _ = fmt.Sscan(string(content), &size, &pages)
	return pages * os.Getpagesize()
}

// enforceMemory does what the platform does until done is closed: it kills the process once it exceeds its memory, and starts it again.
func (m *machine) enforceMemory(limitMB int, done chan struct{}) {
	peak := 0
	defer func() {
		m.bench.log("the process of machine %d took at most %d MB of %d MB", m.number, peak/1e6, limitMB)
	}()
	for {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := resident(m.process.Process.Pid)
		peak = max(peak, used)
		if used <= limitMB*1e6 {
			continue
		}
		m.bench.log("the process of machine %d takes %d MB of %d MB", m.number, used/1e6, limitMB)
		m.killProcess()
		time.Sleep(restartDelay)
		if err := m.startProcess(); err != nil {
			m.bench.broken("a process can't start")
			return
		}
	}
}

// sendAhead sends requests behind one another on new connections until the end, and reads the answers after a moment.
func (b *bench) sendAhead(m *machine, caller int, end time.Time) {
	headers := strings.Repeat("a: b\r\n", crowdHeaders)
	for n := 0; time.Now().Before(end); n++ {
		conn, err := net.Dial("tcp", m.address(portCallers))
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		_ = conn.SetDeadline(end)
		for i := range crowdBehind {
			if _, err := fmt.Fprintf(conn, "GET /lookup/%d HTTP/1.1\r\nHost: %s\r\n%s: ahead-%d-%d-%d\r\nX-Sapphiretray-Deadline-Ms: 1000\r\n%s\r\n",
				i, host, idHeader, caller, n, i, headers); err != nil {
				break
			}
		}
		time.Sleep(time.Second)
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}
}

// keptOrders sends one order after the other on a kept connection until done is closed, and returns how many were lost: they had run or were
// running at a server, on a connection that had carried others, and got no answer.
func (b *bench) keptOrders(m *machine, caller int, done chan struct{}) int {
	lost := 0
	for n := 0; ; n++ {
		select {
		case <-done:
			return lost
		case <-time.After(50 * time.Millisecond):
		}
		conn, err := net.Dial("tcp", m.address(portCallers))
		if err != nil {
			continue
		}
		lost += b.ordersOn(conn, fmt.Sprintf("kept-%d-%d", caller, n), done)
		_ = conn.Close()
	}
}

// ordersOn sends orders on a connection until it ends, and returns 1 if the last one was lost.
func (b *bench) ordersOn(conn net.Conn, name string, done chan struct{}) int {
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		select {
		case <-done:
			return 0
		default:
		}
		id := fmt.Sprintf("%s-%d", name, n)
		body := "two riders, " + id
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		_, err := fmt.Fprintf(conn, "POST /order/12 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Sapphiretray-Deadline-Ms: 2000\r\nContent-Length: %d\r\n\r\n%s",
			host, idHeader, id, len(body), body)
		var response *http.Response
		if err == nil {
			response, err = http.ReadResponse(reader, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			ran := len(b.runsOf(id+"\x00")) > 0
			b.log("%s gets no answer (ran: %v): %v", id, ran, err)
			if ran && n > 0 {
				return 1
			}
			return 0
		}
		if response.StatusCode != http.StatusOK {
			b.log("%s is answered %d", id, response.StatusCode)
		}
		if response.Close {
			return 0
		}
	}
}

// crowdAhead lets a crowd send requests behind one another to a machine, while other callers send orders on kept connections.
func crowdAhead(b *bench) (int, error) {
	b.memoryMB, b.slots = crowdMemory, crowdSlots
	config := strings.Replace(documentsConfig, `"priority":1,"service":"clubdocs","max_attempts":2},
{"name":"booking-lookup"`, `"priority":0,"service":"clubdocs","max_attempts":2},
{"name":"booking-lookup"`, 1)
	if err := prepare(b, config, "clubdocs", "clubdocs", "clubdocs"); err != nil {
		return cannot, err
	}
	m := b.machines[0]
	done := make(chan struct{})
	var callers, platform, crowd sync.WaitGroup
	platform.Go(func() { m.enforceMemory(crowdMemory, done) })
	var mu sync.Mutex
	lost := 0
	for n := range ordinaryCallers {
		callers.Go(func() {
			l := b.keptOrders(m, n, done)
			mu.Lock()
			defer mu.Unlock()
			lost += l
		})
	}
	time.Sleep(3 * time.Second)
	end := time.Now().Add(crowdTime)
	if b.trouble {
		b.log("a crowd of %d callers sends %d requests each behind one another", crowdConnections, crowdBehind)
		for n := range crowdConnections {
			crowd.Go(func() { b.sendAhead(m, n, end) })
		}
	}
	time.Sleep(time.Until(end))
	crowd.Wait()
	close(done)
	callers.Wait()
	platform.Wait()
	b.log("%d orders that servers ran, on kept connections, were lost; %d may be", lost, maxLost)
	if lost > maxLost {
		return broke, nil
	}
	return held, nil
}
