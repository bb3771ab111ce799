package main

import (
	"strings"
	"time"
)

const (
	configApply = 2 * time.Second
	// addedRequests is the number of requests on each of the compared routes.
	addedRequests = 60
)

// addService sends requests on the first routes and on one that is added later with its service.
func addService(b *bench) (int, error) {
	services := []string{"clubdocs", "clubdocs", "clubdocs", keyedService, keyedService, keyedService}
	both := strings.Replace(documentsConfig, `"max_connections":130}],`,
		`"max_connections":130},{"name":"bookings","health_path":"/health","max_connections":130,"sharded":true,"warmup":"1s"}],`, 1)
	both = strings.Replace(both, `"paths":[`, `"paths":[
{"name":"ride-booking","prefix":"/ride/","route_type":"unsafe","timeout":"1200ms","target_latency":"800ms","priority":1,"service":"bookings","max_attempts":2},`, 1)
	both = strings.Replace(both, `"version":7`, `"version":9`, 1)
	first := documentsConfig
	if !b.trouble {
		first = both
	}
	if err := b.deploy(first, services...); err != nil {
		return cannot, err
	}
	time.Sleep(8 * time.Second)
	if b.trouble {
		b.store.put("op", "config", []byte(both))
		b.log("version 9 is acknowledged: it adds a route and its service")
	}
	time.Sleep(configApply + contact)
	served := map[string]int{}
	for n := range addedRequests {
		m := b.machines[n%len(b.machines)]
		key := n * (allKeys / addedRequests)
		if a := b.sendKey(m, "first", "POST", "/order/12", "two riders", key, 2*time.Second); a.status == 200 {
			served["first"]++
		}
		if a := b.sendKey(m, "added", "POST", "/ride/12", "two riders", key, 2*time.Second); a.status == 200 {
			served["added"]++
		}
	}
	b.log("of %d requests each, %d on the first route and %d on the added one are served", addedRequests, served["first"], served["added"])
	if 4*served["added"] < served["first"] {
		return broke, nil
	}
	return held, nil
}
