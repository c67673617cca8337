"""Valid messages of the platform with odd values at any place."""

import json

from hypothesis import strategies

RAW_PREFIX = "\x00raw:"
RAW_VALUES = (
    *("1e999", "-1e999", "NaN", "Infinity", "-Infinity", "9" * 5000),
    *("[" * 1500 + "]" * 1500, '{"a":' * 40 + "1" + "}" * 40, "", "tru", "01"),
    *('"\\ud800"', '"\\udfff\\ud800"', '"\\u0000"', "1.5e308", "1e-999", '"'),
)
"""JSON texts, most of which Python objects cannot express."""

ODD_VALUES = strategies.one_of(
    strategies.sampled_from(RAW_VALUES).map(lambda raw: RAW_PREFIX + raw),
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.sampled_from(
        [0, -1, 2**31, 2**53, 2**63, 2**64 - 1, 2**64, 2**70, 1e308, 0.1]
    ),
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.text(max_size=20),
    strategies.sampled_from(
        ["", "\r\n", "\x00", "\u0661", "\xb2", "x" * (1 << 17), "[::1]:80"]
    ),
    strategies.lists(strategies.integers(), max_size=3),
    strategies.dictionaries(
        strategies.text(max_size=3), strategies.integers(), max_size=2
    ),
)


def paths(value, path=()):
    """Returns the paths of all nodes of a document."""
    items = (
        value.items()
        if isinstance(value, dict)
        else enumerate(value)
        if isinstance(value, list)
        else ()
    )
    return [path] + [p for key, v in items for p in paths(v, (*path, key))]


def copied(value):
    """Returns a copy of the lists and objects of a document."""
    if isinstance(value, dict):
        return {key: copied(item) for key, item in value.items()}
    return [*map(copied, value)] if isinstance(value, list) else value


def replaced(document, path, value):
    """Returns a copy with the node at a path replaced."""
    if not path:
        return value
    document = copied(document)
    node = document
    for key in path[:-1]:
        node = node[key]
    node[path[-1]] = value
    return document


def removed(document, path):
    """Returns a copy without the node at a path."""
    if not path:
        return None
    document = copied(document)
    node = document
    for key in path[:-1]:
        node = node[key]
    del node[path[-1]]
    return document


@strategies.composite
def mutated(draw, document, values=ODD_VALUES):
    """Draws a document with one to three odd or missing nodes."""
    for _ in range(draw(strategies.integers(1, 3))):
        path = draw(strategies.sampled_from(paths(document)))
        if draw(strategies.integers(0, 4)):
            document = replaced(document, path, draw(values))
        else:
            document = removed(document, path)
    return document


def encode(document):
    """Returns a document as JSON, with its raw values."""
    text = json.dumps(document)
    for raw in RAW_VALUES:
        text = text.replace(json.dumps(RAW_PREFIX + raw), raw)
    return text.encode()


def mutated_json(document):
    """Draws the JSON of a mutated document, at times cut or with odd bytes."""
    encoded = mutated(document).map(encode)
    return strategies.one_of(
        encoded,
        encoded,
        strategies.builds(
            lambda data, at, junk: data[: at % (len(data) + 1)] + junk,
            encoded,
            strategies.integers(0, 1 << 16),
            strategies.binary(max_size=4),
        ),
    )
