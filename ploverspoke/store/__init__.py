"""The daemon's own replicated store: consensus, a durable log, the ledger, and what is recovered from it."""
