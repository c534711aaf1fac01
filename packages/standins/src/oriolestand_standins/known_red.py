"""Pytest plugin: treat the tests listed in KNOWN-RED.txt as expected failures.

Each pytest root of the workspace loads it in its ``pyproject.toml``. Tests are
listed with their path from the root of the repository.
"""

import pathlib

import pytest

FILE_NAME = 'KNOWN-RED.txt'
TEST_PREFIX = 'test: '


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Expect listed tests to fail; one that passes fails the run."""
    root = _find_repository(config.rootpath)
    if root is None:
        return
    listed = {
        line.removeprefix(TEST_PREFIX).strip()
        for line in (root / FILE_NAME).read_text().splitlines()
        if line.startswith(TEST_PREFIX)
    }
    folder = config.rootpath.relative_to(root).as_posix()
    prefix = '' if folder == '.' else f'{folder}/'
    for item in items:
        if prefix + item.nodeid in listed:
            reason = f'listed in {FILE_NAME}'
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def _find_repository(rootpath: pathlib.Path) -> pathlib.Path | None:
    """Return the closest folder with the list, or None."""
    for folder in (rootpath, *rootpath.parents):
        if (folder / FILE_NAME).exists():
            return folder
    return None
