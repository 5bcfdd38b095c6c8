"""How old the endpoint list of real dispatchers gets while calls to discovery fail, measured from outside.

A discovery that fails as a script says, dispatchers as processes on loopback, and the time until discovery
has written a change to each of them.
"""
