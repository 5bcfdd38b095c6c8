"""Assesses all requirements of a fleet, in the order of the page."""

from collections.abc import Callable

from . import budget_requirements, failure_requirements, ordinary_requirements
from .requirement import AssessmentContext, Requirement

SINGLE_ASSESSMENTS: tuple[Callable[[AssessmentContext], Requirement], ...] = (
    ordinary_requirements.assess_workers,
    ordinary_requirements.assess_starts,
    ordinary_requirements.assess_running_tasks,
    ordinary_requirements.assess_gangs,
    ordinary_requirements.assess_quotas,
    ordinary_requirements.assess_urgent_work,
    ordinary_requirements.assess_config_changes,
    ordinary_requirements.assess_zones,
    budget_requirements.assess_budget_without_progress,
    budget_requirements.assess_budget_with_progress,
    budget_requirements.assess_control_machines,
)


def assess_requirements(context: AssessmentContext) -> list[Requirement]:
    """Assess all requirements."""
    return [
        *(assess(context) for assess in SINGLE_ASSESSMENTS),
        *failure_requirements.assess_repeated_failures(context),
        failure_requirements.assess_regions_apart(context),
        failure_requirements.assess_region_loss(context),
    ]
