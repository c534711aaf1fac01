"""Test the validation and compression of settings and documents."""

import json
import pathlib
from typing import Any
import zlib

import pytest

import oriolestand_models as models
from oriolestand_models import packing
from oriolestand_models import settings

SCHEMA_FOLDER = pathlib.Path(__file__).parents[3] / 'docs' / 'schemas'


def test_field_and_reference_problems_are_reported_together() -> None:
    """Invalid fields must not hide unknown pools, nor vice versa."""
    document = {
        'size': 1,
        'routes': [{'name': 'a b', 'pool': 'x'}, {'name': 'r', 'pool': 'y'}],
        'pools': [{'name': 'x', 'queue_limit': -1}],
    }
    with pytest.raises(models.InvalidTablesError) as caught:
        models.parse_document(document)
    paths = {problem.split(':')[0] for problem in caught.value.problems}
    assert paths == {
        'size',
        'routes.0.name',
        'routes.1.pool',
        'pools.0.queue_limit',
    }


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'[]',
        b'{"routes": 3, "pools": [3]}',
        b'{"routes": [], "routes": []}',
        b'{"version": NaN}',
        b'[' * 100_000,
        b'\xff',
        b' ' * (models.MAX_DOCUMENT_BYTES + 1),
    ],
)
def test_malformed_documents_are_rejected(data: bytes) -> None:
    """Any invalid input of an operator or peer must raise the same error."""
    with pytest.raises(models.InvalidTablesError):
        models.parse_bytes(data)


def test_oversized_and_truncated_documents_are_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A peer must not exhaust memory or get a partial document accepted."""
    model = models.parse_bytes(b'{"version": 1, "pools": [{"name": "p"}]}')
    packed = models.compress_document(model)
    assert models.decompress_document(packed) == model
    with pytest.raises(models.InvalidTablesError, match='truncated'):
        models.decompress_document(packed[:-1])
    bomb = zlib.compress(b' ' * (models.MAX_DOCUMENT_BYTES + 2))
    with pytest.raises(models.InvalidTablesError, match='exceed'):
        models.decompress_document(bomb)
    monkeypatch.setattr(packing, 'MAX_PACKED_BYTES', len(packed) - 1)
    with pytest.raises(models.InvalidTablesError, match='exceed'):
        models.compress_document(model)


def test_digest_depends_on_content_only() -> None:
    """Formatting and explicit defaults must not change the digest."""
    short = models.parse_bytes(b'{"version": 1, "pools": [{"name": "p"}]}')
    full = models.parse_bytes(short.dump())
    other = models.parse_bytes(b'{"version": 1, "pools": [{"name": "q"}]}')
    assert short.stamp() == full.stamp()
    assert short.digest() != other.digest()


@pytest.mark.parametrize(
    ('change', 'path'),
    [
        ({'limits': {'linger_ms': -1}}, 'limits.linger_ms'),
        ({'callers': {'port': 70_000}}, 'callers.port'),
        ({'platform': {'kind': 'http'}}, 'platform.http.url'),
        ({'platform': {'kind': 'http', 'url': 'x'}}, 'platform.http.url'),
        ({'seed_peers': ['host']}, 'seed_peers.0'),
        ({'seed_peers': ['127.0.0.256:1']}, 'seed_peers.0'),
        ({'seed_peers': ['127.0.0.1:0']}, 'seed_peers.0'),
        ({'seed_peers': ['::1:80']}, 'seed_peers.0'),
        ({'callers': {'host': 'localhost'}}, 'callers.host'),
    ],
)
def test_settings_errors_name_each_field(
    change: dict[str, Any], path: str
) -> None:
    """All problems must be reported at once, each with its path."""
    data = {'instance_id': 'e', 'region': 'r', 'size': 1, **change}
    with pytest.raises(settings.SettingsError) as caught:
        settings.parse_settings(data)
    paths = {problem.split(':')[0] for problem in caught.value.problems}
    assert paths == {'failure_domain', 'size', path}


@pytest.mark.parametrize('name', sorted(models.SCHEMAS))
def test_published_schemas_are_current(name: str) -> None:
    """Editors use the published schemas, so they must match the models."""
    path = SCHEMA_FOLDER / f'{name}.schema.json'
    assert json.loads(path.read_text()) == json.loads(models.dump_schema(name))
