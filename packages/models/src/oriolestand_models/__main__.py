"""Write the published JSON schemas into a folder."""

import pathlib
import sys

from oriolestand_models import _schemas


def main(folder: pathlib.Path) -> None:
    """Write each schema to ``NAME.schema.json`` in the folder."""
    for name in _schemas.SCHEMAS:
        path = folder / f'{name}.schema.json'
        path.write_text(_schemas.dump_schema(name), encoding='utf-8')


if __name__ == '__main__':
    main(pathlib.Path(sys.argv[1]))
