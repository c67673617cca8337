"""Reads the whole chunks of a body that are at the start of a buffer.

Reading chunk by chunk costs the same for each, so a body in chunks of one byte
would cost a thousand times as much as the same bytes in large ones.
"""

import re

CHUNK_START = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\x00\r\n]*)?\r\n")
CHUNK_END = b"\r\n"


def split_chunks(data: bytes, offset: int = 0) -> tuple[list[bytes], int]:
    """Splits off the whole chunks at an offset.

    The last chunk of a body, an incomplete chunk and a malformed one are left
    to a reader that handles them.

    Returns:
        The data of the chunks, and the offset after them.
    """
    parts = []
    while match := CHUNK_START.match(data, offset):
        start = match.end()
        stop = start + int(match[1], 16)
        if stop == start or data[stop : stop + len(CHUNK_END)] != CHUNK_END:
            break
        parts.append(data[start:stop])
        offset = stop + len(CHUNK_END)
    return parts, offset
