"""Former place of the measurement of endpoint list age; it is `scenarios/endpoint_list_age.py`."""
