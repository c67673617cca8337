"""Protocols of the users' platform: header fields, documents and the store.

Wire formats are decoded into and encoded from the records of other packages.
This package contains no policy and keeps no state except connections.
"""

from savoryspar.platform.documents import (
    CONFIGURATION_KEY,
    CONFIGURATION_PREFIX,
    EVACUATION_PREFIX,
    SERVER_PREFIX,
    decode_backend_entry,
    decode_configuration,
    decode_evacuated_zone,
    decode_peer_entry,
    decode_peer_item,
    decode_peer_removal,
    decode_server_item,
    encode_peer_entry,
)
from savoryspar.platform.headers import (
    MAX_PAUSE_S,
    decode_answer_facts,
    decode_caller_request,
    encode_backend_headers,
    encode_stage_headers,
    forwarded_headers,
)
from savoryspar.platform.questions import MAX_QUESTION_BYTES, decode_question
from savoryspar.platform.stage_calls import (
    STAGE_FREE_PATH,
    STAGE_RUN_PATH,
    decode_results,
    encode_free,
    encode_run,
    producer_address,
    result_handles,
)
from savoryspar.platform.store import (
    MAX_ERA,
    Fault,
    Item,
    Snapshot,
    StoreClient,
    new_store_client,
)
