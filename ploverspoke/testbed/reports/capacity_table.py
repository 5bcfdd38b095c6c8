"""The table as the page shows it (Markdown), and as a terminal does; the page's figures are all made here."""

import textwrap
from collections.abc import Iterable, Sequence

from ..capacity.budgets import MB, figure_of
from ..capacity.estimate import Figure, total
from ..capacity.machines import layout, losses, splits
from ..capacity.measured_costs import MeasuredCosts
from ..capacity.scenario_results import ScenarioResults
from ..capacity.table import ROLES, Choice, Table
from ..capacity.verdicts import FAILS, HOLDS, LESSER, MISSING, NEAR, NOT_MEASURED, OVER
from ..capacity.workload import ASSUMPTIONS, PEAK, workload

WIDTH = 128
NOTHING = "nothing"
BEGIN, END = "<!-- capacity: begin -->", "<!-- capacity: end -->"
MARKS = {"measured": "m", "worked out": "w", "assumed": "a"}
# Figures of plays that the page leaves to the file.
IN_THE_FILE = (
    "inside_",
    "workers_",
    "clients_",
    "discovery_",
    "jobs_",
    "nacks_",
    "abandoned_",
    "broken_",
    "descriptors",
    "fell_over",
    "log_lines",
    "service_of_",
    "serving_",
    "urgent_jobs",
)
LEGEND = (
    "Marks: **m** measured, **w** worked out from measured slopes, **a** rests on an assumption, too; `*` a "
    "slope was used beyond\nthe sizes that were measured; `!` the points contradict the fit, and the larger "
    "of the fit and the worst measured ratio was\ntaken; `+` something else adds to it that was not measured."
    " KB and MB are 1,000 and 1,000,000 bytes, both ways together."
)
SHOWN = ("messages", "core", "memory", "bytes", "growth")
UNITS = {
    "core": (100.0, "%"),
    "memory": (1 / MB, " MB"),
    "bytes": (1 / 1000, " KB/s"),
    "messages": (1.0, ""),
    "growth": (1 / 1000, " KB/s"),
}


class CapacityPageError(ValueError):
    """The page has no place for the table; the text says why."""


def digits(value: float) -> str:
    """Three of them; whole numbers from a thousand on."""
    return f"{value:,.0f}" if abs(value) >= 999.5 else f"{value:.3g}"


def shown(figure: Figure, kind: str) -> str:
    if figure.value is None:
        return NOT_MEASURED
    times, unit = UNITS[kind]
    marks = "*" * bool(figure.stretched) + "!" * bool(figure.contradicted) + "+" * bool(figure.without)
    return f"{digits(figure.value * times)}{unit} {MARKS[figure.origin]}{marks}"


def rows_of(heading: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    cells = [list(heading), ["---"] * len(heading), *(list(row) for row in rows)]
    return ["| " + " | ".join(cell.replace("|", "/") for cell in row) + " |" for row in cells]


# ---- The answer ----


def named(table: Table, verdicts: Sequence[str]) -> str:
    """By what each verdict rests on."""
    by_basis: dict[str, list[str]] = {}
    for row in table.rows:
        if row.verdict in verdicts:
            by_basis.setdefault(row.basis, []).append(row.line)
    return "; ".join(f"{'; '.join(lines)} ({basis})" for basis, lines in by_basis.items()) or NOTHING


LETTERS = {
    "a": "breaks a promise on an ordinary day",
    "b": "goes over a budget on one",
    "c": "breaks in a failure of the list",
}


def choice_lines(table: Table, missing: Sequence[Choice]) -> list[str]:
    found = []
    for place, choice in enumerate(missing, 1):
        line = table.row(choice.row).line
        needed = f"; needed by {', '.join(choice.needed_by)}" if choice.needed_by else ""
        found.append(f"{place}. {line} ({choice.letter}: {LETTERS[choice.letter]}{needed})")
    return found or ["Nothing is missing among what was measured."]


def answer(table: Table) -> list[str]:
    not_measured = "; ".join(row.line for row in table.rows if row.verdict == NOT_MEASURED) or NOTHING
    bullets = {
        "Holds": named(table, (HOLDS,)),
        "Holds for less than asked": named(table, (LESSER,)),
        "Does not hold": named(table, (FAILS, OVER)),
        "Too close to call": named(table, (NEAR,)),
        "Missing": named(table, (MISSING,)),
        "Not measured": not_measured,
    }
    always = ("Holds", "Does not hold", "Missing")
    lines = [f"- **{name}**: {text}." for name, text in bullets.items() if text != NOTHING or name in always]
    lines.append("")
    first = table.missing[0]
    needed = f"; needed by {', '.join(first.needed_by)}" if first.needed_by else ""
    lines.append(
        f"Missing first was: {table.row(first.row).line} ({first.letter}{needed}). It is built; now: "
        f"{table.row(first.row).verdict}. Missing since then, in the order in which to mend it:"
    )
    lines += ["", *choice_lines(table, table.missing_now)[:5]]
    return [part for line in lines for part in wrapped(line)]


def wrapped(line: str) -> list[str]:
    return textwrap.wrap(line, WIDTH, subsequent_indent="  " if line[:1] in "-123456789" else "") or [""]


# ---- Tables ----


def size_table(table: Table) -> list[str]:
    heading = ("the size", "what it asks", "what today's design gives", "carried by", "verdict", "stops at")
    rows = [
        (
            row.line,
            row.demand,
            row.gives,
            row.mechanism,
            f"**{row.verdict}**" + (f" ({row.letter})" if row.verdict != HOLDS else ""),
            row.stops,
        )
        for row in table.rows
    ]
    lines = rows_of(heading, rows)
    for old in table.before:
        if old.mechanism != table.row(old.key).mechanism:
            lines += ["", f"Before, {old.line}: {old.verdict}, carried by {old.mechanism}; {old.gives}."]
    return lines


def needs_table(table: Table) -> list[str]:
    rows = [(row.line, table.row(need.row).line, need.why) for row in table.before for need in row.needs]
    return rows_of(("row", "needs the mechanism of", "why"), rows)


def budget_table(table: Table) -> list[str]:
    budget = table.fleet.budget
    heading = (
        "counted as control",
        "dispatchers",
        "when",
        f"core (of {100 * budget.core_share:g}%)",
        f"memory (of {budget.memory_mb:g} MB)",
        f"bytes (of {budget.bytes_a_second / 1000:g} KB/s)",
        "verdict",
    )
    same: dict[tuple[str, ...], list[str]] = {}
    for row in table.budget:
        figures = (shown(row.core, "core"), shown(row.memory, "memory"), shown(row.bytes, "bytes"))
        told = (row.counted, str(row.dispatchers), *figures, row.verdict)
        same.setdefault(told, []).append(row.situation)
    rows = ((counted, many, ", ".join(when), *told) for (counted, many, *told), when in same.items())
    return rows_of(heading, rows)


def role_tables(table: Table) -> list[str]:
    heading = (
        "dispatchers",
        "when",
        "state held and met",
        "messages a second",
        "core",
        "memory",
        "bytes",
        "memory grows by",
    )
    lines: list[str] = []
    for role, carried in ROLES.items():
        rows = [row for row in table.roles if row.role == role]
        lines += [f"**{role}**, carried by {carried}", ""]
        if all(figure.value is None for row in rows for figure in row.figures.values()):
            lines += ["Not measured.", ""]
            continue
        # Where the number of dispatchers changes nothing, one row says it for all.
        same: dict[tuple[str, ...], list[int]] = {}
        for row in rows:
            figures = (shown(row.figures[kind], kind) for kind in SHOWN)
            told = (", ".join(row.situations), row.state or "-", *figures)
            same.setdefault(told, []).append(row.dispatchers)
        lines += [*rows_of(heading, ((", ".join(map(str, many)), *told) for told, many in same.items())), ""]
    return lines


def further_table(table: Table) -> list[str]:
    many = table.fleet.size.dispatchers
    rows = []
    for row in table.further:
        if not any(at.value for at in row.at.values()):
            continue
        still = ", ".join(f"{value:g} {name}" for name, value in row.still.items()).replace("_", " ")
        figures = [
            f"{digits(at.value)} {MARKS[at.origin]}{'*' * bool(at.stretched)}{'!' * bool(at.contradicted)}"
            if (at := row.at.get(one)) is not None and at.value is not None
            else "-"
            for one in many
        ]
        rows.append((row.role, row.figure.replace("_", " "), row.unit, row.size, still or "-", *figures))
    heading = ("role", "figure", "unit", "along", "beside", *(f"{one} dispatchers" for one in many))
    return [*rows_of(heading, rows), ""] if rows else ["None was measured.", ""]


def machine_tables(table: Table, slopes: MeasuredCosts) -> list[str]:
    fleet = table.fleet
    machines = layout(fleet)
    met = workload(fleet, max(fleet.size.dispatchers), PEAK)
    rows = []
    for one in machines:
        core, memory = (
            total([figure_of(slopes, role, kind, met[role]) for role in one.roles])
            for kind in ("core", "memory")
        )
        absent = [role for role in one.roles if not slopes.of(role, "core_share")]
        unknown = f" without {', '.join(absent)}" if absent else ""
        rows.append(
            (
                one.name, one.region, one.zone, ", ".join(one.roles),
                shown(core, "core") + unknown, shown(memory, "memory") + unknown,
            )
        )  # fmt: skip
    lines = rows_of(("machine", "region", "zone", "roles", "core at the peak", "memory"), rows)
    lines += [
        "",
        "Core and memory of a voter are those of the one that leads; any of them may.",
        "",
        *rows_of(
            ("lost", "voters left of 5", "majority", "machines left for single tasks", ""),
            (
                (one.what, str(one.voters), "yes" if one.majority else "**no**", str(one.tasks), one.note)
                for one in losses(machines)
            ),
        ),
        "",
        *rows_of(
            ("voters in the two regions", "the first is gone", "the second is gone"),
            (
                (
                    f"{one} + {other}",
                    "majority" if first else "**none**",
                    "majority" if second else "**none**",
                )
                for one, other, first, second in splits()
            ),
        ),
    ]
    return lines


def plays_table(plays: ScenarioResults) -> list[str]:
    if not plays.runs:
        return ["No scale test was played."]
    rows = []
    for run in plays.runs:
        figures = ", ".join(
            f"{name.replace('_', ' ')} {digits(value)}"
            for name, value in run.figures.items()
            if value is not None and not name.startswith(IN_THE_FILE)
        )
        found = "; ".join(run.failed) or (f"all of {len(run.held)} held" if run.held else "nothing judged")
        found = f"void: {run.void}" if run.void else found
        rows.append(
            (
                run.play,
                f"{run.seed}",
                f"{run.dispatchers}{' hollow' if run.hollow else ''}, {run.processes} processes",
                figures or "-",
                f"**failed**: {found}" if run.failed and not run.void else found,
                run.note or "-",
            )
        )
    heading = ("play", "seed", "dispatchers", "figures (m)", "what was found", "note")
    return [f"Played at {plays.text}, {plays.at}, on {plays.machine}.", "", *rows_of(heading, rows)]


def stretch_lines(table: Table) -> list[str]:
    """What was stretched, contradicted and not measured, each once for all rows."""
    stretched: dict[str, str] = {}
    contradicted: set[str] = set()
    without: dict[str, set[str]] = {}
    for row in table.roles:
        for figure in row.figures.values():
            for text in figure.stretched:
                size, _, used = text.partition(": measured to ")
                to, _, at = used.partition(", used at ")
                name = f"{row.role}, {size}, measured to {to}"
                if float(at) > float(stretched.get(name, "0")):
                    stretched[name] = at
            contradicted.update(figure.contradicted)
            for text in figure.without:
                without.setdefault(row.role, set()).add(f"along {text.partition(' by ')[2]}")
        for kind, figure in row.figures.items():
            if figure.value is None:
                without.setdefault(row.role, set()).add(kind)
    parts = (
        ("Stretched", sorted(f"{name}, used up to {at}" for name, at in stretched.items())),
        ("Contradicted by their points", sorted(contradicted)),
        (
            "Not measured, and so in no figure above",
            [f"{role}: {', '.join(sorted(texts))}" for role, texts in without.items()],
        ),
    )
    lines: list[str] = []
    for heading, texts in parts:
        lines += [f"{heading}:", "", *(f"- {text}" for text in texts or ["nothing"]), ""]
    return lines


def note_lines(slopes: MeasuredCosts) -> list[str]:
    """What the file says of its lines, once for each role and what it was measured along."""
    sizes: dict[tuple[str, str], set[str]] = {}
    for line in slopes.lines:
        if line.note:
            sizes.setdefault((line.role, line.note), set()).add(line.size)
    told = [f"- {role} along {', '.join(sorted(along))}: {note}" for (role, note), along in sizes.items()]
    return ["What the slopes file says of its lines:", "", *(told or ["- nothing"]), ""]


def assumption_table() -> list[str]:
    return rows_of(
        ("assumed", "value", "what would replace it"),
        ((one.what, f"{one.value:g}", one.question or "-") for one in ASSUMPTIONS.values()),
    )


def markdown(table: Table, slopes: MeasuredCosts, plays: ScenarioResults) -> str:
    """What stands between the markers of the page."""
    lines = [
        "## The answer", "", *answer(table), "",
        "## The lines of the size", "", *size_table(table), "",
        "Which row needs what another lacks:", "", *needs_table(table), "",
        "## The budget of a dispatcher", "", LEGEND, "", *budget_table(table), "",
        "## Each role, on a day and in the worst minute of each failure", "", *role_tables(table),
        "Figures that only some roles have, along one size at the peak:", "", *further_table(table),
        "## The machines", "", *machine_tables(table, slopes), "",
        "## The scale tests", "", *plays_table(plays), "",
        "## How far it was stretched, and what was assumed", "",
        f"Slopes measured at {slopes.text}, {slopes.at}, on {slopes.machine}.", "",
        *stretch_lines(table), *note_lines(slopes), *assumption_table(),
    ]  # fmt: skip
    return "\n".join(lines) + "\n"


def plain(table: Table) -> str:
    """For a terminal: the answer and the verdicts."""
    lines = [line.replace("**", "") for line in answer(table)]
    lines += ["", *(f"{row.verdict:<13} {row.line}: {row.gives}" for row in table.rows)]
    return "\n".join(lines)


def put_in(page: str, text: str) -> str:
    """The page with the text between its markers. Raises CapacityPageError."""
    head, found, rest = page.partition(BEGIN)
    _, ended, tail = rest.partition(END)
    if not found or not ended or BEGIN in rest:
        raise CapacityPageError(f"expected {BEGIN} and {END} in it, once each")
    return f"{head}{BEGIN}\n{text}{END}{tail}"


def between(page: str) -> str:
    """What stands between the markers. Raises CapacityPageError."""
    put_in(page, "")
    return page.partition(BEGIN)[2].partition(END)[0].removeprefix("\n")
