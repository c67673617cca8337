"""The configuration sheet: its model, CSV format and service keys."""

from savoryspar.sheet.delta import (
    Changes,
    apply_delta,
    changes_between,
    delta_digest,
)
from savoryspar.sheet.diff import Change, diff_rows
from savoryspar.sheet.exceptions import RevisionConflictError, SheetError
from savoryspar.sheet.holder import SheetHolder, new_sheet_holder
from savoryspar.sheet.keys import (
    BUCKET_COUNT,
    MANIFEST_KEY,
    Manifest,
    apply_changes,
    bucket_digests,
    bucket_key,
    bucket_of,
    content_digest,
    decode_manifest,
    decode_rows,
    new_sheet,
    render_keys,
    row_digest,
)
from savoryspar.sheet.model import (
    RANKS,
    Pipeline,
    Pool,
    Rank,
    Rows,
    Sheet,
    Stage,
    Workspace,
    WorkType,
)
from savoryspar.sheet.offload import run as run_offloaded
from savoryspar.sheet.parse import parse_csv, read_rows
from savoryspar.sheet.reader import read_sheet, refresh
from savoryspar.sheet.validate import build_sheet
