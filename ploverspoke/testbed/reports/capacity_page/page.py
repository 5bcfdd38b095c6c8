"""Renders the whole page, inserts it into a Markdown file, and renders a short version for a terminal."""

from ...capacity.measured_costs import MeasuredCosts
from ...capacity.scenario_results import ScenarioResults
from ...capacity.table import CapacityTable
from .answer import answer_lines
from .caveats import assumption_table, caveat_lines, note_lines
from .tables import (
    budget_table,
    machine_tables,
    needs_table,
    requirement_table,
    role_metric_table,
    role_tables,
    scenario_table,
)

BEGIN, END = "<!-- capacity: begin -->", "<!-- capacity: end -->"
LEGEND = (
    "Marks: **m** measured, **w** worked out from measured slopes, **a** rests on an assumption, too; `*` a "
    "slope was used beyond\nthe sizes that were measured; `!` the points contradict the fit, and the larger "
    "of the fit and the worst measured ratio was\ntaken; `+` something else adds to it that was not measured."
    " KB and MB are 1,000 and 1,000,000 bytes, both ways together."
)


class CapacityPageError(ValueError):
    """The page does not have both markers exactly once."""

    def __init__(self) -> None:
        """Build the message with the markers."""
        super().__init__(f"expected {BEGIN} and {END} in it, once each")


def render_markdown(table: CapacityTable, costs: MeasuredCosts, results: ScenarioResults) -> str:
    """Return the text between the markers of the page."""
    measured = f"Slopes measured at {costs.commit}, {costs.date}, on {costs.machine}."
    sections = {
        "The answer": answer_lines(table),
        "The lines of the size": [
            *requirement_table(table),
            "",
            "Which row needs what another lacks:",
            "",
            *needs_table(table),
        ],
        "The budget of a dispatcher": [LEGEND, "", *budget_table(table)],
        "Each role, on a day and in the worst minute of each failure": [
            *role_tables(table),
            "Figures that only some roles have, along one size at the peak:",
            "",
            *role_metric_table(table)[:-1],
        ],
        "The machines": machine_tables(table, costs),
        "The scale tests": scenario_table(results),
        "How far it was stretched, and what was assumed": [
            measured,
            "",
            *caveat_lines(table),
            *note_lines(costs),
            *assumption_table(),
        ],
    }
    texts = ["\n".join([f"## {heading}", "", *lines]) for heading, lines in sections.items()]
    return "\n\n".join(texts) + "\n"


def render_plain(table: CapacityTable) -> str:
    """Return the answer and the verdicts for a terminal."""
    lines = [line.replace("**", "") for line in answer_lines(table)]
    lines += [
        "",
        *(
            f"{requirement.verdict:<13} {requirement.statement}: {requirement.design}"
            for requirement in table.requirements
        ),
    ]
    return "\n".join(lines)


def replace_between_markers(page: str, text: str) -> str:
    """Return the page with the text inserted between its markers. Raises CapacityPageError."""
    head, begin, rest = page.partition(BEGIN)
    _, end, tail = rest.partition(END)
    if not begin or not end or BEGIN in rest:
        raise CapacityPageError
    return f"{head}{BEGIN}\n{text}{END}{tail}"


def text_between_markers(page: str) -> str:
    """Return the text between the markers. Raises CapacityPageError."""
    replace_between_markers(page, "")
    return page.partition(BEGIN)[2].partition(END)[0].removeprefix("\n")
