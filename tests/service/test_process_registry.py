"""The lock files by which processes of one dispatcher count one another."""

import os
from pathlib import Path

from ploverspoke.service.handover import ProcessRegistry


def test_only_living_processes_are_counted(tmp_path: Path) -> None:
    first, second = ProcessRegistry(str(tmp_path)), ProcessRegistry(str(tmp_path))
    without_directory = ProcessRegistry("/nowhere")
    for registry in (first, second, without_directory):
        registry.register()
    (tmp_path / "ploverspoke-1-dead").touch()
    assert first.count_others() == second.count_others() == 1 and without_directory.count_others() == 0
    os.close(second.lock_descriptor)  # simulates that the process is killed
    assert first.count_others() == 0 and len(list(tmp_path.iterdir())) == 1
    first.unregister()


def test_process_that_leaves_removes_its_file_and_closes_it(tmp_path: Path) -> None:
    registry = ProcessRegistry(str(tmp_path))
    assert registry.register()
    descriptor = registry.lock_descriptor
    registry.unregister()
    assert not list(tmp_path.iterdir()) and not Path(f"/proc/self/fd/{descriptor}").exists()
