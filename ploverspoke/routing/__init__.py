"""Runs the decisions on real sockets: clients and operators, requests and attempts, endpoints and gossip."""
