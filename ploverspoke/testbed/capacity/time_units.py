"""Conversions between the units of time in which loads are stated."""

SECONDS_PER_MINUTE = 60
MINUTES_PER_HOUR = 60
SECONDS_PER_DAY = 86_400
