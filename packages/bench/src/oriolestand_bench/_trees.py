"""Copy and build a checkout as the users' platform deploys it."""

import pathlib
import shutil
import subprocess
import tomllib

FOLDERS = (
    'deploy',
    'packages/core',
    'packages/policy',
    'packages/fleet',
    'platform/src',
)
DEPENDENCIES = 'target/deps'


def deploy(checkout: pathlib.Path, tree: pathlib.Path) -> None:
    """Copy the daemon of a checkout to an empty folder and build it there.

    The copy has no bytecode, as none can be written in a deployed tree.
    Dependencies are taken from the checkout if it was built before; the
    build command installs them if they are missing or outdated.
    """
    ignore = shutil.ignore_patterns('__pycache__', '*.egg-info')
    for name in FOLDERS:
        shutil.copytree(checkout / name, tree / name, ignore=ignore)
    for path in (checkout / 'platform').glob('*.py'):
        shutil.copy2(path, tree / 'platform')
    if (checkout / DEPENDENCIES).exists():
        shutil.copytree(checkout / DEPENDENCIES, tree / DEPENDENCIES)
    text = (checkout / 'deploy/system.toml').read_text(encoding='utf-8')
    subprocess.run(
        ['sh', '-c', tomllib.loads(text)['build']], cwd=tree, check=True
    )
