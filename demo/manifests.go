package demo

import "fmt"

// beltManifest returns the manifest of belt-desk. The queue length is a parameter,
// so that the second publication differs from the first.
func beltManifest(queue int) []byte {
	return fmt.Appendf(nil, `{
  // small requests of plants and dealers
  "version": 1, "mandate": "belt-lines", "term": 1, "holder": "riekstu-lentes",
  "services": [{
    "name": "belt-desk", "floor": 2, "prefer": "detection", "slots": 5, "connections": 300, "queue": %d,
    "objective": {"target": 0.999, "latency_ms": 500},
    "routes": [
      {"name": "status", "path": "/status/*", "methods": ["GET"], "class": "interactive", "idempotent": true, "timeout_ms": 5000},
      {"name": "orders", "path": "/orders/*", "methods": ["POST"], "class": "order", "idempotent": false, "timeout_ms": 8000},
      {"name": "check", "path": "/check", "methods": ["GET"], "class": "background", "idempotent": true, "timeout_ms": 5000},
    ],
  }],
}`, queue)
}

// depotManifest returns the manifest of firmware-depot.
func depotManifest() []byte {
	return []byte(`{
  "version": 1, "mandate": "firmware", "term": 1, "holder": "riekstu-lentes",
  "services": [{
    "name": "firmware-depot", "floor": 2, "prefer": "service", "slots": 5, "connections": 300, "queue": 20,
    "objective": {"target": 0.99, "latency_ms": 5000},
    "routes": [
      {"name": "bundles", "path": "/bundles/*", "methods": ["GET", "HEAD"], "class": "download", "idempotent": true, "timeout_ms": 10000, "stall_ms": 2000},
    ],
  }],
}`)
}
