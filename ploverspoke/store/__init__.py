"""The dispatcher's replicated store of requests and their answers, built on the replicas of `consensus/`."""
