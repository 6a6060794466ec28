package main

type object = map[string]any

const host = "ficu95.example"

func route(name, prefix, kind, service string, timeoutMs, targetMs, maxAttempts int) object {
	return object{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": targetMs,
		"priority": 1, "service": service, "maxAttempts": maxAttempts,
	}
}

func config(version int, routes []object, services []object) object {
	return object{
		"version": version, "routes": routes, "services": services,
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func plainService(name string) object {
	return object{"name": name, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false}
}
