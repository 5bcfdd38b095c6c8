"""Names used on the wire and in settings, mapped to the names used in this code."""

# Headers of requests, in lower case as `HttpMessageReader` stores them.
REQUEST_ID = "request-id"
AFFINITY_KEY = "affinity-key"
REQUEST_TIMEOUT = "request-timeout-ms"
WORK_HINT = "work-hint"
REQUEST_INFO = "request-info"  # name=value pairs, of which only `SLOTS` is read
SLOTS = "slots"

# Headers of workers' responses.
LOAD_HEADER = "server-load"
NOT_STARTED = "not-started"  # "1": the worker guarantees that the request has not run

# Targets of requests to workers and to discovery.
LOAD_PATH = "/-/load"
HEALTH_PATH = "/-/healthy"
ENDPOINTS_PATH = "/api/targets"
LIST_SINCE = "from"  # query parameter: the version after which changes are requested
LIST_MAX_WAIT = "hold_ms"  # query parameter: how long discovery may wait for a change

# Keys and values of the JSON lines in a worker's response.
LINE_ID = "id"
LINE_STATE = "state"
LINE_LOAD = "load"
LINE_PROGRESS = "share"
LINE_RESULT = "result"
STATE_STARTED = "started"
STATE_RUNNING = "running"
STATE_DONE = "done"
STATE_FAILED = "failed"
STATE_NOT_STARTED = "returned"
STATE_KILLED = "lost"

# Keys of an endpoint list.
LIST_VERSION = "version"
LIST_IS_COMPLETE = "full"
LIST_ENDPOINTS = "servers"
ENDPOINT_NAME = "id"
ENDPOINT_ADDRESS = "addr"
ENDPOINT_ZONE = "zone"
ENDPOINT_MACHINE_KIND = "kind"
ENDPOINT_RACK = "cell"
ENDPOINT_STATE = "state"
ENDPOINT_WEIGHT = "weight"
ENDPOINT_STARTED = "started_ms"  # Unix time

# Values of endpoint lists, load reports and settings.
ENDPOINT_STATES = {"Ready": "ready", "Terminating": "draining", "Gone": "gone"}
CUSTOM_LOAD_FIELD = "x0"  # its meaning is defined in the settings
LOAD_NAMES = {
    "outstanding": "in_hand",
    "inflight": "in_hand",
    "backlog": "waiting",
    "queue": "waiting",
    "utilization": "busy_share",
    "util": "busy_share",
    "recent_ms": "recent_milliseconds",
    "latency_ms": "recent_milliseconds",
    "throughput": "succeeded_per_second",
    "qps": "succeeded_per_second",
    "errors_per_s": "errors_per_second",
    "eps": "errors_per_second",
    "x0": "x0",
    "x1": "x1",
}
