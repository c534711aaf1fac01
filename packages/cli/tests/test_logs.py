"""Test the command that finds the log lines about an id."""

import json

from click import testing

from oriolestand_cli import __main__ as cli

LINES = [
    {'timestamp': '2', 'instance': 'b', 'event': 'late', 'job': 'aa'},
    {'timestamp': '1', 'instance': 'a', 'event': 'early', 'job': 'aa'},
    {'timestamp': '3', 'event': 'task', 'task': 'aa.0.0.1', 'worker': 'w'},
    {'timestamp': '4', 'event': 'path', 'path': '/q/aa'},
    {'timestamp': '5', 'event': 'other', 'job': 'aab', 'why': 'of aa'},
]


def test_lines_of_an_id_are_shown_in_order(tmp_path):
    # Guards against output that mixes jobs or is not sorted by time.
    first_log = tmp_path / 'one'
    first_log.write_text(
        '\n'.join('  1.2 a ' + json.dumps(line) for line in LINES[:3])
        + '\n{"event": "cut o'
    )
    second_log = tmp_path / 'other'
    second_log.write_text('\n'.join(json.dumps(line) for line in LINES[3:]))
    result = testing.CliRunner().invoke(
        cli.main, ['logs', 'aa', str(second_log), str(first_log)]
    )
    assert result.exit_code == 0
    shown = [line.split()[:3] for line in result.output.splitlines()]
    assert shown == [
        ['1', 'a', 'early'],
        ['2', 'b', 'late'],
        ['3', '-', 'task'],
        ['4', '-', 'path'],
    ]


def test_standard_input_is_read():
    # Guards against a command that accepts files but no pipe.
    text = '\n'.join(json.dumps(line) for line in LINES)
    result = testing.CliRunner().invoke(cli.main, ['logs', 'zz'], input=text)
    assert result.exit_code == 0
    assert 'None of the 5 log lines refers to zz.' in result.output
