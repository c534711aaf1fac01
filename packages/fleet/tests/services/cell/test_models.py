"""Test the encoding of the rows of workers."""

import pytest

from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.cell import models
from oriolestand_policy import scheduling

INFO = scheduling.WorkerInfo(
    id='w',
    address='w:1',
    pool='p',
    failure_domain='d',
    cpu=0,
    memory_mb=0,
)


def decode(value):
    """Decode the row of worker w."""
    key = layout.WORKER_PREFIX + 'w'
    row = store.Row(part='', key=key, value=value, version=1)
    return models.decode_workers({key: row})


def test_row_of_an_earlier_version_holds_no_end():
    # Guards against rows that become malformed with an upgrade.
    former = decode(b'["w:1","p","d"]')
    assert former.infos == (INFO,)
    assert former.runs_end_ms == {}
    assert not former.malformed
    assert models.encode_worker(INFO) == b'["w:1","p","d"]'


def test_row_with_an_end_is_read_as_written():
    # Guards against a successor that does not know the end.
    former = decode(models.encode_worker(INFO, 1_234))
    assert former.infos == (INFO,)
    assert former.runs_end_ms == {'w': 1_234}
    assert not former.malformed


@pytest.mark.parametrize(
    'end', ['"1234"', '1234.0', 'true', 'null', '0', '-1', '[]', '1,2']
)
def test_row_with_a_malformed_end_is_malformed(end):
    # Guards against a wait that ends at a time that no owner wrote.
    former = decode(b'["w:1","p","d",%s]' % end.encode())
    assert former.runs_end_ms == {}
    assert list(former.malformed) == [layout.WORKER_PREFIX + 'w']
    assert former.infos[0].address == ''
