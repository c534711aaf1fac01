"""Define and validate the settings and the configuration document.

The daemon and the client share these models.
"""

from oriolestand_models._json import parse as parse_json
from oriolestand_models._schemas import SCHEMAS
from oriolestand_models._schemas import dump_schema
from oriolestand_models.document import MAX_DOCUMENT_BYTES
from oriolestand_models.document import DocumentModel
from oriolestand_models.document import InvalidTablesError
from oriolestand_models.document import PoolModel
from oriolestand_models.document import RouteModel
from oriolestand_models.document import diff
from oriolestand_models.document import parse_bytes
from oriolestand_models.document import parse_document
from oriolestand_models.document import to_tables
from oriolestand_models.packing import compress_document
from oriolestand_models.packing import decompress_document

__all__ = [
    'DocumentModel',
    'InvalidTablesError',
    'MAX_DOCUMENT_BYTES',
    'PoolModel',
    'RouteModel',
    'SCHEMAS',
    'compress_document',
    'decompress_document',
    'diff',
    'dump_schema',
    'parse_bytes',
    'parse_document',
    'parse_json',
    'to_tables',
]
