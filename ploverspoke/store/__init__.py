"""The daemon's own replicated store: the ledger on `consensus/`, and what is recovered from it."""
