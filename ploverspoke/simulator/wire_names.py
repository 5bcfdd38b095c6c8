"""Names used in the simulator's messages, mapped to the names used in this code."""

from ploverspoke.decisions.interface import AttemptOutcome

# Messages that delimit a batch or concern all dispatchers.
BATCH_BEGIN = "MARK"
BATCH_END = "GO"
BATCH_DONE = "OK"
ENDPOINT_TABLE = "TABLE"
ENDPOINT_ROW = "ENTRY"

# Messages to one dispatcher: its events.
DISPATCHER_STARTED = "UP"
DISPATCHER_STOPPED = "RETIRE"
REQUEST_ARRIVED = "NEW_REQUEST"
ATTEMPT_STARTED = "UNDER_WAY"
ATTEMPT_REPORT = "NOTE"
ATTEMPT_ENDED = "CLOSED_ATTEMPT"
CLIENT_DISCONNECTED = "CLIENT_LEFT"
TIMER_FIRED = "REMINDER"
PROBE_COMPLETED = "CHECKED"
ENDPOINTS_RECEIVED = "PEERS_KNOWN"
GOSSIP_RECEIVED = "HEARD"

# Messages from one dispatcher: its actions, and the report of a fault in it.
START_ATTEMPT = "FORWARD"
CANCEL_ATTEMPT = "REVOKE"
REJECT = "BUSY"
FAIL = "GIVE_UP"
SET_TIMER = "SLEEP"
PROBE = "SOUND_OUT"
SEND_GOSSIP = "BROADCAST_TO"
WATCH_ENDPOINTS = "KEEP_INFORMED"
LOG = "REMARK"
FAULT = "PANIC"

# Fields. The unit of those whose name ends in "Us" is microseconds.
BATCH_TIME = "AtTimeUs"
BATCH_SERIAL = "serial"
DISPATCHER = "Who"
SEED = "RandomSeed"
SETTINGS = "ProfileData"
REQUEST = "RequestId"
REQUEST_CLASS = "Kind"
REQUESTED_SLOTS = "Slots"
DEADLINE = "DropDeadUs"
WORK_HINT = "PredictedUs"
AFFINITY_KEY = "PathKey"
ATTEMPT = "Go"
ATTEMPT_TIMEOUT = "AllowForUs"
REPORT_KIND = "What"
FRACTION_DONE = "Level"
OUTCOME = "Reason"
ELAPSED = "DelaySeenUs"
IS_FINAL = "Finished"
LOAD = "Gauge"
WORKER = "Worker"
RETRY_AFTER = "StayAwayUs"
TIMER_TOKEN = "Token"
TIMER_TIME = "WhenUs"
GOSSIP_TARGET = "Target"
GOSSIP_SENDER = "Author"
GOSSIP_BYTES = "Octets"  # base64
IS_ACTIVE = "Active"
TEXT = "Line"
LIST_SCOPE = "Scope"
TABLE_NUMBER = "SetId"
TABLE_SIZE = "Members"
ENDPOINT_STATE = "Condition"
ENDPOINT_ZONE = "Dc"
ENDPOINT_MACHINE_KIND = "Model"
ENDPOINT_RACK = "Block"
ENDPOINT_WEIGHT = "Heft"
ENDPOINT_STARTED = "UpSinceUs"

# Fields whose value is the rest of the line, including blanks.
REST_OF_LINE_FIELDS = (SETTINGS, TEXT)

# Values.
GOSSIP_TO_ALL = "all"  # gossip target: all dispatchers
REPORT_STARTED = 1
REPORT_PROGRESS = 2
SCOPE_WATCH_FAILED = "lost"
SCOPE_CHANGES = "incr"
SCOPES_COMPLETE = ("total", "warm_copy")
OUTCOMES = {
    "delivered": AttemptOutcome.SUCCEEDED,
    "app_error": AttemptOutcome.WORKER_ERROR,
    "shed": AttemptOutcome.FULL,
    "expired": AttemptOutcome.TIMED_OUT,
    "dial_failed": AttemptOutcome.UNREACHABLE,
    "dropped": AttemptOutcome.CONNECTION_BROKEN,
    "revoked": AttemptOutcome.CANCELLED,
    "unused": AttemptOutcome.NOT_SENT,
}
