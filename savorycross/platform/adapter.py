"""The names through which an instance uses the platform."""

from savorycross import errors
from savorycross.platform import configuration
from savorycross.platform import dialect
from savorycross.platform import endpoints
from savorycross.platform import keys
from savorycross.platform import rollout_keys
from savorycross.platform import store

__all__ = [
    'SettingsError',
    'decode_configuration',
    'keys',
    'make_dialect',
    'make_directory_handler',
    'make_ready_handler',
    'make_store',
    'rollout_keys',
]

SettingsError = errors.SettingsError
decode_configuration = configuration.decode_configuration
make_dialect = dialect.PlatformDialect
make_directory_handler = endpoints.make_directory_handler
make_ready_handler = endpoints.make_ready_handler
make_store = store.PlatformStore
