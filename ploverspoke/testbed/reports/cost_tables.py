"""Tables of measured costs per unit of load."""

from collections.abc import Sequence

from rich.table import Table

from ..capacity.measured_costs import CostPerUnit

LEFT_ALIGNED = ("metric", "load", "fixed loads")


def cost_tables(lines: Sequence[CostPerUnit]) -> list[Table]:
    """Build a table for each role; metrics that were 0 at every point are omitted."""
    roles = dict.fromkeys(line.role for line in lines)
    return [_role_table(role, [line for line in lines if line.role == role]) for role in roles]


def _role_table(role: str, lines: Sequence[CostPerUnit]) -> Table:
    table = Table(title=role, title_justify="left")
    for heading in ("metric", "load", "fixed loads", "intercept", "slope", "residual", "measured to", ""):
        table.add_column(heading, justify="left" if heading in LEFT_ALIGNED else "right")
    for line in lines:
        if any(value for _, value in line.points):
            table.add_row(*_cells(line))
    return table


def _cells(line: CostPerUnit) -> list[str]:
    return [
        f"{line.metric} ({line.unit})",
        line.load,
        " ".join(f"{key}={value:g}" for key, value in line.fixed_amounts.items()),
        f"{line.intercept:.4g}",
        f"{line.slope:.4g}",
        f"{line.residual:.1%}",
        f"{line.max_load:g}",
        "CONTRADICTED" if line.contradicted else "",
    ]
