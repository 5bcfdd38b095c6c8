"""Link faults: what one fault does, and how several combine."""

import random

import pytest

from ploverspoke.testbed.experiment_files.durations import MILLISECOND, SECOND
from ploverspoke.testbed.processes.link_faults import Link, LinkFault, LinkTable

SIZE = 100  # bytes
ALL_RETRANSMITS = (200 + 400 + 800 + 1600 + 3200 + 6400) * MILLISECOND


@pytest.mark.parametrize(
    ("fault", "datagrams", "segments"),
    [
        (LinkFault(), [[0]], [0]),
        (LinkFault(cut=True), [[]], [0]),  # a cut segment is held back by its stream, not by the link
        (LinkFault(delay=5 * MILLISECOND), [[5 * MILLISECOND]], [5 * MILLISECOND]),
        (LinkFault(loss=1.0), [[]], [ALL_RETRANSMITS]),
        (LinkFault(duplicate=1.0), [[0, 0]], [0]),
        (LinkFault(delay=MILLISECOND, reorder=1.0), [[3 * MILLISECOND]], [MILLISECOND]),
        # Each waits until the previous one was sent.
        (LinkFault(rate=1000.0), [[100 * MILLISECOND], [200 * MILLISECOND]], [300 * MILLISECOND]),
    ],
)
def test_link_delivers_datagrams_and_segments_as_its_fault_says(
    fault: LinkFault, datagrams: list[list[int]], segments: list[int]
) -> None:
    link = Link(lambda: 0.0)
    link.add_fault(1, fault)
    assert [link.datagram_arrivals(0, SIZE) for _ in datagrams] == datagrams
    assert [link.segment_arrival(0, SIZE) for _ in segments] == segments
    link.remove_fault(1)
    assert link.datagram_arrivals(SECOND, SIZE) == [SECOND]


def test_faults_combine_and_cover_links_that_are_created_later() -> None:
    links = LinkTable(lambda name: random.Random(name).random)
    first = links.link("a", "b")
    links.add_fault(1, LinkFault(origin=["a"], cut=True))
    links.add_fault(2, LinkFault(delay=MILLISECOND))
    links.add_fault(3, LinkFault(target=["b"], delay=MILLISECOND))
    assert first.effective.cut and first.effective.delay == 2 * MILLISECOND
    assert links.link("a", "c").effective.cut
    assert links.link("c", "b").effective.delay == 2 * MILLISECOND
    assert not links.link("b", "a").effective.cut  # one direction only
    links.remove_fault(1)
    links.remove_fault(1)
    assert not first.effective.cut and first.effective.delay == 2 * MILLISECOND
