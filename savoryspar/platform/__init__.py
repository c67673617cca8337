"""Translation between the users' platform and the product.

Wire names are decoded here once into the product's records. The package makes
no decision and keeps no state but connections.
"""

from savoryspar.platform.documents import (
    CONFIGURATION_KEY,
    CONFIGURATION_PREFIX,
    SERVER_PREFIX,
    decode_backend_entry,
    decode_configuration,
)
from savoryspar.platform.headers import (
    MAX_PAUSE_S,
    answer_facts,
    answer_headers,
    decode_caller_request,
    encode_backend_headers,
    encode_stage_headers,
)
from savoryspar.platform.stage_calls import (
    STAGE_FREE_PATH,
    STAGE_RUN_PATH,
    decode_results,
    encode_free,
    encode_run,
    producer_address,
)
from savoryspar.platform.store import (
    Item,
    Snapshot,
    StoreClient,
    new_store_client,
)
