package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	maxBodyBytes = 64 << 20
	// uploaders is the number of requesters that upload at the same time. The small upload has the mean size of the site file.
	uploaders   = 4
	largeUpload = 60 << 20
	smallUpload = 60_000
	// downloaders and the document sizes are those of the downloads. Instances pass on responses of up to 16 MiB.
	downloaders   = 24
	largeDocument = 15 << 20
	smallDocument = 1_500
	// linkBytesPerSecond is the rate of a machine's link, limits.link_mbps.
	linkBytesPerSecond = 1000e6 / 8
)

func clubsConfig(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"services":[`+
		`{"name":"bookings","health_path":"/health","max_connections":130,"protocol":"h1","tls":false,"sharded":true,"warmup":"2s","grants":"rpc"},`+
		`{"name":"clubdocs","health_path":"/health","max_connections":130,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout":"3000ms","idle_timeout":"15000ms"},`+
		`"virtual_hosts":[{"host":"%s","paths":[`+
		`{"name":"browse","prefix":"/browse/","route_type":"safe","timeout":"1500ms","target_latency":"600ms","priority":2,"service":"bookings","max_attempts":2},`+
		`{"name":"book","prefix":"/book/","route_type":"unsafe","timeout":"2000ms","target_latency":"800ms","priority":1,"service":"bookings","max_attempts":2},`+
		`{"name":"upload","prefix":"/upload/","route_type":"upload","timeout":"4000ms","target_latency":"1500ms","priority":1,"service":"clubdocs","max_attempts":2},`+
		`{"name":"download","prefix":"/download/","route_type":"safe","timeout":"4000ms","target_latency":"1500ms","priority":1,"service":"clubdocs","max_attempts":2}`+
		`]}]}`, version, maxBodyBytes, hostName)
}

// startClubs starts a deployment of bookings, which is divided by key, and clubdocs, and waits until all machines serve both.
func startClubs(rec *record, root string, services ...string) (*deployment, error) {
	d, err := newDeployment(rec, root, clubsConfig)
	if err != nil {
		return nil, err
	}
	if err := d.add(services, func(service string) bool { return service == "bookings" }); err != nil {
		return d, err
	}
	for _, m := range d.machines {
		m.server.work = func(r *http.Request) time.Duration { return 220 * time.Millisecond }
	}
	if err := d.start(); err != nil {
		return d, err
	}
	serves := func() bool {
		if !d.ready() {
			return false
		}
		for _, m := range d.machines {
			c := &client{rec: rec, name: "warmup", address: m.outbound()}
			defer c.drop()
			if a := c.do(http.MethodGet, "/browse/x", rand.IntN(65536), 1500*time.Millisecond, nil); a.status != http.StatusOK {
				return false
			}
			if a := c.do(http.MethodPost, "/upload/x", -1, 2*time.Second, make([]byte, 1000)); a.status != http.StatusOK {
				return false
			}
		}
		return true
	}
	if !await(30*time.Second, serves) {
		return d, errors.New("the deployment doesn't serve")
	}
	return d, nil
}

// memoryScenario checks LOST: it has requesters of one machine upload large bodies at once, each within max_body_bytes, while others of the
// same machine browse on kept connections.
func memoryScenario(rec *record, root string, trouble bool) (bool, error) {
	size := smallUpload
	if trouble {
		size = largeUpload
	}
	body := make([]byte, size)
	return transferScenario(rec, root, uploaders, func(*deployment) {}, func(c *client) answer {
		return c.do(http.MethodPost, "/upload/x", -1, 4*time.Second, body)
	})
}

// downloadScenario checks LOST: it has requesters of one machine fetch large documents at once, while others of the same machine browse on
// kept connections.
func downloadScenario(rec *record, root string, trouble bool) (bool, error) {
	size := smallDocument
	if trouble {
		size = largeDocument
	}
	prepare := func(d *deployment) {
		for _, m := range d.machines {
			m.server.documentBytes = size
		}
	}
	return transferScenario(rec, root, downloaders, prepare, func(c *client) answer {
		return c.do(http.MethodGet, "/download/x", -1, 4*time.Second, nil)
	})
}

// transferScenario has clients of one machine transfer bodies at the rate of its link, while others of it browse on kept connections. It
// returns whether LOST was broken.
func transferScenario(
	rec *record, root string, clients int, prepare func(*deployment), transfer func(c *client) answer,
) (bool, error) {
	d, err := startClubs(rec, root, "bookings", "bookings", "bookings", "bookings", "clubdocs", "clubdocs", "clubdocs")
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	prepare(d)
	// The machines have to be in touch.
	time.Sleep(4 * time.Second)
	entry := d.machines[0]
	end := time.Now().Add(12 * time.Second)
	var mu sync.Mutex
	lost, sent, served, transfers, complete := 0, 0, 0, 0, 0
	var group sync.WaitGroup
	for n := range 12 {
		group.Go(func() {
			c := &client{rec: rec, name: fmt.Sprintf("browser-%d", n), address: entry.outbound()}
			defer c.drop()
			for time.Now().Before(end) {
				a := c.do(http.MethodGet, "/browse/x", rand.IntN(65536), 1500*time.Millisecond, nil)
				passedOn := false
				for _, m := range d.machines {
					passedOn = passedOn || m.server.ran(a.id) > 0
				}
				mu.Lock()
				sent++
				if a.status == http.StatusOK {
					served++
				}
				if a.err != nil && a.closed && a.kept && passedOn {
					lost++
					rec.event("%s was passed on from a kept connection, which was closed without an answer", a.id)
				}
				mu.Unlock()
				if a.err != nil || a.status != http.StatusOK {
					time.Sleep(300 * time.Millisecond)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for n := range clients {
		group.Go(func() {
			c := &client{
				rec: rec, name: fmt.Sprintf("transfer-%d", n), address: entry.outbound(), bytesPerSecond: linkBytesPerSecond / float64(clients),
			}
			defer c.drop()
			time.Sleep(2 * time.Second)
			for time.Now().Before(end.Add(-4 * time.Second)) {
				a := transfer(c)
				mu.Lock()
				transfers++
				if a.err == nil && a.status == http.StatusOK {
					complete++
				}
				mu.Unlock()
				time.Sleep(time.Second)
			}
		})
	}
	group.Wait()
	ends, kills, peak := entry.counts()
	rec.say("transfers: %d begun, %d served; other requests: %d sent, %d served", transfers, complete, sent, served)
	rec.say("process of %s: most memory %d MB of %d MB, ended %d times, %d of them for its memory", entry.name, peak, d.memoryMB, ends, kills)
	rec.say("requests passed on from a kept connection that was closed without an answer: %d, more than 3 break LOST", lost)
	return lost > 3, nil
}
