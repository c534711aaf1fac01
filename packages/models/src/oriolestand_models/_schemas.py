"""Export the models as JSON schemas."""

from collections.abc import Mapping
import json

import pydantic

from oriolestand_models import document
from oriolestand_models import settings

SCHEMAS: Mapping[str, type[pydantic.BaseModel]] = {
    'settings': settings.Settings,
    'tables': document.DocumentModel,
}


def dump_schema(name: str) -> str:
    """Return a schema as JSON text; ``name`` is a key of SCHEMAS."""
    schema = SCHEMAS[name].model_json_schema()
    schema['$schema'] = 'https://json-schema.org/draft/2020-12/schema'
    return json.dumps(schema, indent=2, sort_keys=True) + '\n'
