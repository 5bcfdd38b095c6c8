"""Plots and histograms of a result: SVG files and HdrHistogram percentile tables."""

from pathlib import Path
from statistics import fmean

import matplotlib

from ..experiment_files.durations import SECOND
from .experiment_result import OWN_POLICY, Result
from .scores import merge_histograms

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "ploverspoke"  # equal results give identical files
from matplotlib import pyplot  # noqa: E402 - the backend must be selected first
from matplotlib.axes import Axes  # noqa: E402 - the backend must be selected first
from matplotlib.figure import Figure  # noqa: E402 - the backend must be selected first

PERCENTILES = (0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9)
MIN_LATENCY_MS = 0.01  # lower bound, as a logarithmic axis has no zero
MAX_WORKER_LABELS = 30


def write_plots(result: Result, folder: Path) -> list[Path]:
    """Write all plots of a result into the folder; return their paths."""
    return [
        _plot_service(result, folder),
        _plot_latencies(result, folder),
        _plot_workers(result, folder),
    ]


def write_histograms(result: Result, folder: Path) -> list[Path]:
    """Write a percentile table of latencies (microseconds) for each policy and request class."""
    written = []
    for policy in result.policies():
        for name in result.runs_of(policy)[0].request_classes:
            path = folder / f"waits-{policy.replace(' ', '-')}-{name}.hgrm"
            histogram = merge_histograms(
                run.request_classes[name].histogram for run in result.runs_of(policy)
            )
            with path.open("wb") as file:
                histogram.output_percentile_distribution(file, 1.0)
            written.append(path)
    return written


def _save(figure: Figure, path: Path) -> Path:
    figure.savefig(path, metadata={"Date": None}, bbox_inches="tight")
    pyplot.close(figure)
    return path


def _plot_service(result: Result, folder: Path) -> Path:
    """Plot the mean service over the seeds of the requests that were first sent in each second."""
    figure, axes = pyplot.subplots(figsize=(10, 4))
    for policy in result.policies():
        by_second: dict[float, list[float]] = {}
        for run in result.runs_of(policy):
            for second, service in run.over_time:
                by_second.setdefault(second, []).append(service)
        seconds = sorted(by_second)
        width = 2.2 if policy == OWN_POLICY else 1
        axes.plot(seconds, [fmean(by_second[s]) for s in seconds], label=policy, linewidth=width)
    _shade_faults(result, axes)
    title = f"{result.experiment['name']} ({result.driver})"
    axes.set(xlabel="second", ylabel="service", ylim=(0, 1.03), title=title)
    axes.legend(loc="lower right", fontsize=8)
    return _save(figure, folder / "service.svg")


def _shade_faults(result: Result, axes: Axes) -> None:
    """Shade the interval of each fault and label it at one of six heights."""
    for number, fault in enumerate(result.experiment["troubles"]):
        start, end = fault["at"] / SECOND, (fault["at"] + fault["lasts"]) / SECOND
        axes.axvspan(start, end, alpha=0.08, color="tab:red")
        axes.text(start, 0.02 + 0.05 * (number % 6), fault["what"], fontsize=7, color="tab:red")


def _plot_latencies(result: Result, folder: Path) -> Path:
    """Plot the latency percentiles of succeeded requests by request class."""
    classes = list(result.runs[0].request_classes)
    figure, all_axes = pyplot.subplots(1, len(classes), figsize=(4 * len(classes), 4), squeeze=False)
    positions = range(len(PERCENTILES))
    for axes, name in zip(all_axes[0], classes, strict=True):
        for policy in result.policies():
            histogram = merge_histograms(
                run.request_classes[name].histogram for run in result.runs_of(policy)
            )
            latencies = [histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES]
            plotted = [max(MIN_LATENCY_MS, latency) for latency in latencies]
            axes.plot(positions, plotted, label=policy, marker=".")
        axes.set(title=name, yscale="log", ylabel="latency, ms", xlabel="percentile")
        axes.set_xticks(positions, [f"{p:g}" for p in PERCENTILES], fontsize=7)
    all_axes[0][0].legend(fontsize=8)
    return _save(figure, folder / "waits.svg")


def _plot_workers(result: Result, folder: Path) -> Path:
    """Plot the attempts that each worker started in each second of the first run of the first policy."""
    run = result.runs[0]
    names = list(run.by_worker)
    figure, axes = pyplot.subplots(figsize=(10, max(2.5, len(names) * 0.18)))
    image = axes.imshow(list(run.by_worker.values()), aspect="auto", interpolation="nearest", cmap="viridis")
    step = max(1, len(names) // MAX_WORKER_LABELS)
    axes.set_yticks(range(0, len(names), step), names[::step], fontsize=7)
    title = f"requests begun a second by worker ({run.policy}, seed {run.seed})"
    axes.set(xlabel="second", title=title)
    figure.colorbar(image)
    return _save(figure, folder / "workers.svg")
