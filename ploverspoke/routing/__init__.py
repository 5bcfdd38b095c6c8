"""Connects the decision logic to sockets: clients, operators, requests, attempts, endpoints and gossip."""
