"""Scenarios that run a fleet: experiments, leases, configuration distribution, soak, scale and benchmarks."""
