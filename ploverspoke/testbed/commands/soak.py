"""`python -m ploverspoke.testbed.soak`: many seeds, several at once."""

import asyncio
import sys

import click
import uvloop

from ..scenarios.soak import Verdict, play_seed


async def _play(first: int, count: int, at_once: int) -> list[Verdict]:
    limit = asyncio.Semaphore(at_once)

    async def one(seed: int) -> Verdict:
        async with limit:
            verdict = await play_seed(seed)
        print(
            f"seed {seed}: {verdict.requests} requests, {verdict.served} served, {verdict.drains} drains, "
            f"{verdict.restarts} restarts, late by {verdict.lateness * 1000:.0f} ms: "
            f"{'; '.join(verdict.problems[:4]) or 'sound'}",
            flush=True,
        )
        return verdict

    return list(await asyncio.gather(*(one(seed) for seed in range(first, first + count))))


@click.command()
@click.option("--first", default=1, help="The first seed.")
@click.option("--seeds", default=50, help="How many.")
@click.option("--at-once", default=5, help="How many run side by side.")
def main(first: int, seeds: int, at_once: int) -> None:
    """Soak a real dispatcher; exits with 1 where anything was wrong."""
    verdicts = uvloop.run(_play(first, seeds, at_once))
    wrong = [verdict.seed for verdict in verdicts if verdict.problems]
    print(
        f"{len(verdicts) - len(wrong)} of {len(verdicts)} seeds sound" + (f"; not: {wrong}" if wrong else "")
    )
    sys.exit(bool(wrong))


if __name__ == "__main__":
    main()
