"""What the wires call things, and what we call them."""

CONDITIONS = {"Ready": "ready", "Terminating": "draining", "Gone": "gone"}
LOAD_NAMES = {
    "outstanding": "in_hand",
    "inflight": "in_hand",
    "backlog": "waiting",
    "queue": "waiting",
    "utilization": "busy_share",
    "util": "busy_share",
    "recent_ms": "recent_milliseconds",
    "latency_ms": "recent_milliseconds",
    "throughput": "satisfied_per_second",
    "qps": "satisfied_per_second",
    "errors_per_s": "errors_per_second",
    "eps": "errors_per_second",
    "x0": "x0",
    "x1": "x1",
}
