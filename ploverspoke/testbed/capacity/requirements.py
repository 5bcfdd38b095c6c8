"""All requirements of a fleet's size, in the order of the page."""

from collections.abc import Callable

from . import budget_requirements, failure_requirements, ordinary_requirements
from .requirement import Facts, Requirement

SINGLE_REQUIREMENTS: tuple[Callable[[Facts], Requirement], ...] = (
    ordinary_requirements.workers,
    ordinary_requirements.starts,
    ordinary_requirements.tasks,
    ordinary_requirements.gangs,
    ordinary_requirements.quotas,
    ordinary_requirements.urgent_work,
    ordinary_requirements.configuration_updates,
    ordinary_requirements.zones,
    budget_requirements.control,
    budget_requirements.control_with_progress,
    budget_requirements.control_machines,
)


def assess_requirements(facts: Facts) -> list[Requirement]:
    """Assess all requirements by the facts."""
    return [
        *(assess(facts) for assess in SINGLE_REQUIREMENTS),
        *failure_requirements.repeated_failures(facts),
        failure_requirements.regions_apart(facts),
        failure_requirements.region_lost(facts),
    ]
