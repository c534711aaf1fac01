"""Run the command-line client."""

import click


@click.group()
def main() -> None:
    """Operate oriolestand: edit tables, watch daemons."""


if __name__ == '__main__':
    main()
