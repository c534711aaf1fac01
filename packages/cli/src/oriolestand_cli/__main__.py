"""Entry point of the command-line client."""

import click

from oriolestand_cli import _daemons
from oriolestand_cli import _errors
from oriolestand_cli import _evacuations
from oriolestand_cli import _files
from oriolestand_cli import _jobs
from oriolestand_cli import _logs
from oriolestand_cli import _scope
from oriolestand_cli import _tables


@click.group(
    help='Operate oriolestand: edit tables, watch daemons.\n\n\b\nExamples:\n'
    '  export ORIOLESTAND_DAEMON="10.0.0.1:7402 10.0.0.2:7402"\n'
    '  oriolestand pools list\n'
    '  oriolestand routes edit\n'
    '  oriolestand instances\n\n'
    f'{_errors.EXIT_CODES_HELP}'
)
@click.version_option(package_name='oriolestand-cli')
def main() -> None:
    """Operate oriolestand."""


for _table_scope in _scope.SCOPES:
    main.add_command(_tables.make_group(_table_scope))
for _command in (
    _daemons.instances,
    _daemons.status,
    _daemons.trace,
    _evacuations.evacuations,
    _files.check,
    _files.schema,
    _files.completion,
    _jobs.jobs,
    _logs.logs,
):
    main.add_command(_command)


if __name__ == '__main__':
    main(prog_name='oriolestand')
