package main

import (
	"fmt"
	"time"
)

func init() { cases["orders"] = orders }

// orders: the fleet starts for the first time, and the platform names three of the four machines to each as seeds.
func orders() bool {
	s := startStore()
	var engines []*server
	for i := range 12 {
		phase := []string{"prefill", "decode"}[i%2]
		engines = append(engines, startServer(s, fmt.Sprintf("i-%08x", 0x7f3a91c2+i), "huvo11a", phase, "sul-a"))
	}
	service := plainService("huvo11a")
	service["engine"] = object{"slots": 64, "kvCapacity": 42331, "stride": 1, "kvHoldS": 0.5, "holdMs": 2000.0}
	s.put("op/config", config(7, []object{route("r-1", "/lohu930/", "streaming", "huvo11a", 14000, 900, 1)}, []object{service}))
	ips := freeIPs(4)
	ports := freePorts(ips)
	var entries []*entry
	for i, ip := range ips {
		var seeds []string
		for n := range 3 {
			// With the disruption each list begins at another machine; without it all processes get the same list.
			first := 0
			if trouble {
				first = i
			}
			seeds = append(seeds, fmt.Sprintf("%s:%d", ips[(first+n)%len(ips)], ports[2]))
		}
		name := fmt.Sprintf("edge-sul-a-%d", i+1)
		note("%s starts at %s with the seeds %v", name, ip, seeds)
		entries = append(entries, startEntry(fields(sulGrown(), name, ip, ports, s.addr, seeds)))
	}
	for _, e := range entries {
		e.awaitReady(15 * time.Second)
	}
	time.Sleep(12 * time.Second)
	broken := 0
	for _, v := range engines {
		v.mu.Lock()
		for i, a := range v.orders {
			for _, b := range v.orders[:i] {
				if a.holder != b.holder && a.fence <= b.fence {
					broken++
					note("server %s: an order of %s with fencing token %d, and %.3f s later one of %s with %d", v.id, b.holder, b.fence, a.at.Sub(b.at).Seconds(), a.holder, a.fence)
				}
			}
		}
		v.mu.Unlock()
	}
	note("%d orders to a server that had one of another machine with the same fencing token", broken)
	return broken > 0
}
