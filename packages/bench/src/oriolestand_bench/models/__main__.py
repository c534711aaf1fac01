"""Check every model, complete and with each mechanism removed."""

import importlib
import pkgutil
import sys
import time
from typing import Any

import click
import minicheck

from oriolestand_bench import models

MAX_STATES = 2_000_000


def find_models() -> list[Any]:
    """Return the modules of this package that define a model."""
    names = sorted(m.name for m in pkgutil.iter_modules(models.__path__))
    found = [
        importlib.import_module(f'{models.__name__}.{name}')
        for name in names
        if name != '__main__'
    ]
    return [module for module in found if hasattr(module, 'MECHANISMS')]


def check(module: Any, without: str = '') -> tuple[bool, str]:
    """Check one model; return whether it passed, and a report line.

    All invariants of a complete model must hold in an exhaustive search.
    With a mechanism removed, the invariant that it protects must have a
    counterexample.
    """
    begin = time.monotonic()
    protocol = module.build(without)
    limit = MAX_STATES
    if without:
        limit = getattr(module, 'MAX_STATES_WITHOUT', MAX_STATES)
    result = minicheck.check_safety(protocol, max_states=limit)
    spent = time.monotonic() - begin
    properties = result['properties']
    name = f'{protocol.name} {"without " + without if without else "whole"}'
    size = f'{result["reachable_states"]:>8} states {spent:6.1f} s'
    if not without:
        holds = all(p['holds'] is True for p in properties.values())
        passed = holds and result['exhaustive']
        return passed, f'{name:32} {size}  holds: {sorted(properties)}'
    invariant = module.MECHANISMS[without]
    trace = properties[invariant]['counterexample']
    passed = properties[invariant]['holds'] is False
    steps = len(trace) - 1 if trace else 0
    return passed, f'{name:32} {size}  {invariant} fails in {steps} steps'


def main() -> int:
    """Check all models; return 1 if any gives an unexpected result."""
    status = 0
    for module in find_models():
        for without in ('', *module.MECHANISMS):
            passed, line = check(module, without)
            click.echo(line if passed else f'{line}  UNEXPECTED')
            status |= not passed
    return status


if __name__ == '__main__':
    sys.exit(main())
