package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

func init() { cases["storm"] = storm }

// storm: configurations come in quick succession at a machine with a link of 10 Mbit/s.
func storm() bool {
	const (
		routesBeside = 1400                  // big_config of the sheet of the large deployment
		gap          = 60 * time.Millisecond // config_storm of the sheet: a change each 0.06 s for 1.5 s
		length       = 1500 * time.Millisecond
		deadline     = 3 * time.Second
	)
	s := startStore()
	l := startLink(s.addr, 10_000_000/8)
	first := startServer(s, "i-old00001", "huvo11a", "", "sul-a")
	startServer(s, "i-new00001", "wuno96b", "", "sul-a")
	services := []object{plainService("huvo11a"), plainService("wuno96b")}
	routes := func(service string, version int) []object {
		list := []object{route("r-1", "/puxa403/", "non_idempotent", service, 1500, 300, 1)}
		for i := range routesBeside {
			list = append(list, route(fmt.Sprintf("r-%05d", i), fmt.Sprintf("/pufi%05d/", i), "idempotent", "huvo11a", 1500+version, 300, 2))
		}
		return list
	}
	s.put("op/config", config(7, routes("huvo11a", 7), services))
	ip := freeIPs(1)[0]
	e := startEntry(fields(sulGrown(), "edge-sul-a-1", ip, freePorts([]string{ip}), l.addr, []string{}))
	e.awaitReady(15 * time.Second)
	time.Sleep(5 * time.Second)
	ask := func() answer {
		return send(e.front, request{method: "POST", host: host, path: "/puxa403/2f", body: "x", deadline: 1500 * time.Millisecond})
	}
	a := ask()
	note("before: %v, signature %s", a, a.header.Get("Server-Signature"))
	if a.status != 200 || !strings.Contains(a.header.Get("Server-Signature"), first.id) {
		panic("setup: the first configuration isn't served")
	}
	version := 7
	changes := int(length / gap)
	if !trouble {
		changes = 1
	}
	begin := time.Now()
	// The versions before the last change time-outs; the last moves the route to another service.
	for n := range changes {
		time.Sleep(time.Until(begin.Add(time.Duration(n) * gap)))
		version += 2
		service := "huvo11a"
		if n == changes-1 {
			service = "wuno96b"
		}
		s.put("op/config", config(version, routes(service, version), services))
	}
	acked := time.Now()
	note("version %d is acknowledged, the last of %d in %.2f s: the route moves from huvo11a to wuno96b", version, changes, acked.Sub(begin).Seconds())
	broken := 0
	for time.Since(acked) < 12*time.Second {
		a := ask()
		old := strings.Contains(a.header.Get("Server-Signature"), first.id)
		late := a.sent.After(acked.Add(deadline))
		note("%v, run by %s, %.3f s after the acknowledgement", a, a.header.Get("Server-Signature"), a.sent.Sub(acked).Seconds())
		if old && late {
			broken++
		}
		time.Sleep(150 * time.Millisecond)
	}
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	for _, line := range strings.Split(string(b), "\n") {
		if strings.HasPrefix(line, "VmHWM") || strings.HasPrefix(line, "VmRSS") {
			note("%s", line)
		}
	}
	note("%d requests ran at the old service later than configDeadlineMs after the acknowledgement", broken)
	return broken > 0
}
