"""Test the reading of manifests of services."""

import sys

import msgspec
import pytest

from oriolestand_core import _kernel


@pytest.fixture
def package(tmp_path, monkeypatch):
    """Return the folder of a service of a package."""
    folder = tmp_path / 'manifest_services' / 'one'
    folder.mkdir(parents=True)
    (folder.parent / '__init__.py').write_text('')
    monkeypatch.syspath_prepend(tmp_path)
    yield folder
    sys.modules.pop('manifest_services', None)


def _read(folder, text):
    (folder / 'manifest.json').write_text(text)
    return _kernel.read_manifest('manifest_services', 'one')


def test_manifest_is_read_without_importing_the_service(package):
    # Guards against imports before the dependencies have started.
    manifest = _read(package, '{"name": "one", "depends_on": ["two"]}')
    assert manifest == _kernel.ServiceManifest(name='one', depends_on=('two',))
    assert 'manifest_services.one' not in sys.modules


@pytest.mark.parametrize(
    'text', ['{}', '{"name": 1}', '{"name": "one", "depend_on": []}', '[']
)
def test_invalid_manifest_is_refused(package, text):
    # Guards against misspelled fields, which would be ignored.
    with pytest.raises(msgspec.DecodeError):
        _read(package, text)
