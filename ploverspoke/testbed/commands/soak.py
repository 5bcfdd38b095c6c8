"""Runs the soak on many seeds, several at once: `python -m ploverspoke.testbed.commands.soak`."""

import asyncio
import sys

import click
import uvloop

from ..scenarios.soak import SoakVerdict, run_seed

MAX_SHOWN_PROBLEMS = 4  # of one seed


async def _run_seeds(first: int, count: int, at_once: int) -> list[SoakVerdict]:
    limit = asyncio.Semaphore(at_once)

    async def run_in_turn(seed: int) -> SoakVerdict:
        """Run one seed once there is room for it."""
        async with limit:
            verdict = await run_seed(seed)
        print(_describe(verdict), flush=True)
        return verdict

    return list(await asyncio.gather(*(run_in_turn(seed) for seed in range(first, first + count))))


def _describe(verdict: SoakVerdict) -> str:
    counts = (
        f"{verdict.requests} requests, {verdict.served} served, {verdict.drains} drains, "
        f"{verdict.restarts} restarts, late by {verdict.lateness * 1000:.0f} ms"
    )
    return f"seed {verdict.seed}: {counts}: {'; '.join(verdict.problems[:MAX_SHOWN_PROBLEMS]) or 'sound'}"


@click.command()
@click.option("--first", default=1, help="The first seed.")
@click.option("--seeds", default=50, help="How many.")
@click.option("--at-once", default=5, help="How many run side by side.")
def main(first: int, seeds: int, at_once: int) -> None:
    """Soak a real dispatcher; exits with 1 where anything was wrong."""
    verdicts = uvloop.run(_run_seeds(first, seeds, at_once))
    unsound = [verdict.seed for verdict in verdicts if verdict.problems]
    note = f"; not: {unsound}" if unsound else ""
    print(f"{len(verdicts) - len(unsound)} of {len(verdicts)} seeds sound{note}")
    sys.exit(bool(unsound))


if __name__ == "__main__":
    main()
