"""A dispatcher that runs beside each submitter and pushes jobs to workers."""
