"""What a run leaves for people: SVG plots and HDR histograms."""

from pathlib import Path
from statistics import fmean
from typing import Any

import matplotlib

from ..experiment_files.durations import SECOND
from ..scenarios.experiment_runner import Result
from .scores import merged_histogram

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "ploverspoke"  # the same result gives the same file
from matplotlib import pyplot  # noqa: E402 - the backend is chosen before


def write_plots(result: Result, out: Path) -> list[Path]:
    return [_service(result, out), _waits(result, out), _workers(result, out)]


def write_histograms(result: Result, out: Path) -> list[Path]:
    """One file for each policy and grade, in the form of HdrHistogram's percentile tables (microseconds)."""
    written = []
    for policy in result.policies():
        for grade in result.of(policy)[0].grades:
            whole = merged_histogram(r.grades[grade].histogram for r in result.of(policy))
            path = out / f"waits-{policy.replace(' ', '-')}-{grade}.hgrm"
            with path.open("wb") as file:
                whole.output_percentile_distribution(file, 1.0)
            written.append(path)
    return written


def _save(figure: Any, path: Path) -> Path:
    figure.savefig(path, metadata={"Date": None}, bbox_inches="tight")
    pyplot.close(figure)
    return path


def _service(result: Result, out: Path) -> Path:
    """Service of the jobs first sent in each second, the mean over the seeds; troubles are shaded."""
    figure, axes = pyplot.subplots(figsize=(10, 4))
    for policy in result.policies():
        seconds: dict[float, list[float]] = {}
        for run in result.of(policy):
            for second, service in run.over_time:
                seconds.setdefault(second, []).append(service)
        at = sorted(seconds)
        axes.plot(at, [fmean(seconds[s]) for s in at], label=policy, linewidth=2.2 if policy == "ours" else 1)
    for number, trouble in enumerate(result.experiment["troubles"]):
        begin, end = trouble["at"] / SECOND, (trouble["at"] + trouble["lasts"]) / SECOND
        axes.axvspan(begin, end, alpha=0.08, color="tab:red")
        axes.text(begin, 0.02 + 0.05 * (number % 6), trouble["what"], fontsize=7, color="tab:red")
    axes.set(
        xlabel="second",
        ylabel="service",
        ylim=(0, 1.03),
        title=f"{result.experiment['name']} ({result.driver})",
    )
    axes.legend(loc="lower right", fontsize=8)
    return _save(figure, out / "service.svg")


def _waits(result: Result, out: Path) -> Path:
    """Waits of satisfied jobs by grade, as percentiles."""
    grades = list(result.runs[0].grades)
    figure, all_axes = pyplot.subplots(1, len(grades), figsize=(4 * len(grades), 4), squeeze=False)
    points = [0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9]
    for axes, grade in zip(all_axes[0], grades, strict=True):
        for policy in result.policies():
            whole = merged_histogram(r.grades[grade].histogram for r in result.of(policy))
            waits = [max(0.01, whole.get_value_at_percentile(p) / 1000) for p in points]
            axes.plot(range(len(points)), waits, label=policy, marker=".")
        axes.set(title=grade, yscale="log", ylabel="wait, ms", xlabel="percentile")
        axes.set_xticks(range(len(points)), [f"{p:g}" for p in points], fontsize=7)
    all_axes[0][0].legend(fontsize=8)
    return _save(figure, out / "waits.svg")


def _workers(result: Result, out: Path) -> Path:
    """Jobs begun by each worker in each second, of the first policy's first run."""
    run = result.runs[0]
    figure, axes = pyplot.subplots(figsize=(10, max(2.5, len(run.by_worker) * 0.18)))
    picture = axes.imshow(
        list(run.by_worker.values()), aspect="auto", interpolation="nearest", cmap="viridis"
    )
    names = list(run.by_worker)
    step = max(1, len(names) // 30)
    axes.set_yticks(range(0, len(names), step), names[::step], fontsize=7)
    axes.set(xlabel="second", title=f"jobs begun a second by worker ({run.policy}, seed {run.seed})")
    figure.colorbar(picture)
    return _save(figure, out / "workers.svg")
