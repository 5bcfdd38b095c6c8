"""Runs the soak test with many seeds, several in parallel: `python -m ploverspoke.testbed.commands.soak`."""

import asyncio
import sys

import click
import uvloop

from ..scenarios.soak import SoakVerdict, run_seed

MAX_PRINTED_PROBLEMS = 4  # for each seed


async def _run_seeds(first: int, count: int, max_parallel: int) -> list[SoakVerdict]:
    limit = asyncio.Semaphore(max_parallel)

    async def run_when_free(seed: int) -> SoakVerdict:
        """Run one seed once fewer than `max_parallel` runs are active."""
        async with limit:
            verdict = await run_seed(seed)
        print(_describe(verdict), flush=True)
        return verdict

    return list(await asyncio.gather(*(run_when_free(seed) for seed in range(first, first + count))))


def _describe(verdict: SoakVerdict) -> str:
    counts = (
        f"{verdict.requests} requests, {verdict.served} served, "
        f"{verdict.served_with_list} of {verdict.requests_with_list} with a list, {verdict.drains} drains, "
        f"{verdict.restarts} restarts, late by {verdict.lateness * 1000:.0f} ms"
    )
    return f"seed {verdict.seed}: {counts}: {'; '.join(verdict.problems[:MAX_PRINTED_PROBLEMS]) or 'sound'}"


@click.command()
@click.option("--first", default=1, help="The first seed.")
@click.option("--seeds", default=50, help="The number of seeds.")
@click.option("--at-once", default=5, help="The number of seeds that run in parallel.")
def main(first: int, seeds: int, at_once: int) -> None:
    """Run the soak test of a real dispatcher; exits with 1 if any seed had a problem."""
    verdicts = uvloop.run(_run_seeds(first, seeds, at_once))
    failed_seeds = [verdict.seed for verdict in verdicts if verdict.problems]
    note = f"; not: {failed_seeds}" if failed_seeds else ""
    print(f"{len(verdicts) - len(failed_seeds)} of {len(verdicts)} seeds sound{note}")
    sys.exit(bool(failed_seeds))


if __name__ == "__main__":
    main()
