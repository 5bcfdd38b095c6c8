"""Former location of the measurement of endpoint list age, now `scenarios/endpoint_list_age.py`."""
