"""Test the decoding of rows of the store."""

import pytest

from oriolestand_fleet.services.cell import models as cell_models
from oriolestand_fleet.services.jobs import models as job_models

NESTED = b'[' * 100_000


def _apply_job_row(value):
    job_models.Entry(id='j').set_row(value)


def _apply_state_row(value):
    job_models.Entry(id='j').set_record(value, 1)


@pytest.mark.parametrize(
    'decode',
    [
        _apply_job_row,
        _apply_state_row,
        job_models.decode_progress,
        job_models.decode_spec,
        cell_models.decode_owner,
        cell_models.decode_renewal,
        cell_models.decode_pressure,
        cell_models.decode_route,
    ],
)
@pytest.mark.parametrize(
    'value',
    [
        NESTED,
        b'{"other":' + NESTED,
        b'{"route":"r","steps":' + NESTED,
        b'{"route":"\xff"}',
        b'{"route":"r","other":"\xff"}',
        b'{"other":NaN,}',
        b'',
    ],
)
def test_unreadable_row_is_malformed(decode, value):
    # Guards against errors of other types, which end the reader of the rows,
    # and against text that only some fields are checked for.
    with pytest.raises(ValueError):
        decode(value)


@pytest.mark.parametrize(
    'value',
    [
        b'{"route":1}',
        b'{"route":null}',
        b'{}',
        b'[]',
        b'{"route":"r","steps":{}}',
        b'{"route":"r","steps":"x"}',
    ],
)
def test_row_of_a_job_is_not_converted(value):
    # Guards against a row that is read as a job that no caller stored.
    with pytest.raises(ValueError):
        _apply_job_row(value)


@pytest.mark.parametrize(
    'value',
    [
        b'{"outcome":"lost"}',
        b'{"outcome":1}',
        b'{"started":1}',
        b'{"started":"true"}',
        b'{"started":null}',
    ],
)
def test_state_row_is_not_converted(value):
    # Guards against a state that no owner wrote.
    with pytest.raises(ValueError):
        _apply_state_row(value)


@pytest.mark.parametrize(
    'value',
    [
        b'{"done":[[0,1]]}',
        b'{"done":[[0,1,[2.0]]]}',
        b'{"done":[[0,1,[true]]]}',
        b'{"open":[[0,1,2,[3],4]]}',
        b'{"placed":[[0,1,2,"w",3,4]]}',
        b'{"crashes":[[0,1,2,[["w","other"]],null]]}',
        b'{"ended":"1"}',
    ],
)
def test_progress_is_not_converted(value):
    # Guards against tasks that start again although they are done.
    with pytest.raises(ValueError):
        job_models.decode_progress(value)


def test_rows_may_have_fields_of_later_versions():
    # Guards against rows that become malformed with a downgrade.
    entry = job_models.Entry(id='j')
    entry.set_row(b'{"route":"r","new":{"a":[1]}}')
    entry.set_record(b'{"started":true,"new":1}', 1)
    assert (entry.route, entry.has_started) == ('r', True)
    assert job_models.decode_progress(b'{"new":1}') == {'new': 1}
