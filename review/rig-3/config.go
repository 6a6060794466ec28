package main

import (
	"fmt"
	"time"
)

// streamRoute, plainRoute, engineService, plainService and limits are parts of a configuration as small sites have it.
func streamRoute(attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": "r-gen", "host": hostName, "pathPrefix": "/lohu930/", "kind": "streaming", "timeoutMs": 14000, "targetLatencyMs": 900, "priority": 1,
		"service": "huvo11a", "maxAttempts": attempts, "sessionAffinity": true, "resumable": resumable, "targetGapMs": 300,
	}
}

func engineService() map[string]any {
	return map[string]any{"name": "huvo11a", "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": 64, "kvCapacity": 42331, "kvTokenBytes": 163840, "linkMbps": 1400000.0, "moves": true, "backups": true, "stride": 12, "most": 12,
		"kvHoldS": 0.5, "reconfigS": 6.0, "pinMs": 4000.0, "holdMs": 2000.0, "models": []any{map[string]any{"name": "m"}}}}
}

func plainRoute(kind string, timeoutMs int) map[string]any {
	return map[string]any{
		"name": "r-plain", "host": hostName, "pathPrefix": "/puxa403/", "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 300, "priority": 2,
		"service": "wuno96b", "maxAttempts": 2,
	}
}

func plainService() map[string]any {
	return map[string]any{"name": "wuno96b", "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false}
}

func limits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

// generation is the n-th request for a stream.
func generation(n int, prefix, tokens string) request {
	return request{method: "POST", path: fmt.Sprintf("/lohu930/%x", n), body: fmt.Sprintf("prompt %d", n), id: newID(), wait: 14 * time.Second,
		fields: []string{"Model: m", "Token-Count: " + tokens, "Prompt-Prefix: " + prefix, "Deadline-Ms: 14000"}}
}

// startEngines starts 3 model servers that prefill and 6 that decode, in three zones.
func (r *rig) startEngines(args []string, seen func(*engine, report), crashed func(*engine)) []*engine {
	var engines []*engine
	for i := range 9 {
		e := &engine{phase: "decode", address: freePort(), zone: fmt.Sprintf("sul-%c", 'a'+i%3), args: args, seen: seen, crashed: crashed}
		if i < 3 {
			e.phase = "prefill"
		}
		r.startEngine(e)
		engines = append(engines, e)
	}
	return engines
}
