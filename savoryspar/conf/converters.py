"""Converters from the text of a setting to its value.

Each raises ``ValueError`` with a phrase that names what is accepted, such as
"a port from 0 to 65535", to be used in an error message.
"""

from collections.abc import Callable
import ipaddress


def text(value: str) -> str:
    """Returns the text without surrounding whitespace; it must not be empty."""
    stripped = value.strip()
    if not stripped:
        raise ValueError("a non-empty string")
    return stripped


def optional_text(value: str) -> str:
    """Returns the text without surrounding whitespace; it may be empty."""
    return value.strip()


def port(value: str) -> int:
    """Returns a TCP or UDP port number."""
    return _parse_int(value, 0, 65535, "a port from 0 to 65535")


def positive_int(value: str) -> int:
    """Returns a positive integer."""
    return _parse_int(value, 1, 2**40, "an integer above 0")


def seconds(value: str) -> float:
    """Returns a duration in seconds, at most one day."""
    return _parse_float(value, 86400.0, "a time from 0 to 86400 seconds")


def non_negative(value: str) -> float:
    """Returns a number of 0 or more, which may have a fractional part."""
    return _parse_float(value, 2.0**40, "a number of 0 or more")


def percent(value: str) -> float:
    """Returns a percentage from 0 to 100."""
    return _parse_float(value, 100.0, "a percentage from 0 to 100")


def boolean(value: str) -> bool:
    """Returns True for yes or true, False for no or false."""
    values = {"yes": True, "true": True, "no": False, "false": False}
    try:
        return values[value.strip().lower()]
    except KeyError:
        raise ValueError("yes or no") from None


def words(value: str) -> tuple[str, ...]:
    """Returns the words of the text, separated by whitespace or commas."""
    return tuple(value.replace(",", " ").split())


def address(value: str) -> str:
    """Returns an address as ``IP:port``."""
    host, _, number = value.strip().rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        is_port = 0 <= int(number) <= 65535
    except ValueError:
        is_port = False
    if not is_port:
        raise ValueError("an IPv4 address and a port, such as 10.0.0.1:8080")
    return f"{host}:{number}"


def pairs(value: str) -> dict[str, str]:
    """Returns the words ``NAME:VALUE`` of the text as a mapping."""
    found = [word.partition(":") for word in words(value)]
    if not all(name and text for name, _, text in found):
        raise ValueError("words of the form NAME:VALUE")
    return {name: text for name, _, text in found}


def ratio(value: str) -> float:
    """Returns a ratio of 0 or more."""
    return _parse_float(value, 100.0, "a ratio from 0 to 100, such as 0.2")


def choice(*allowed: str) -> Callable[[str], str]:
    """Returns a converter that accepts only the allowed words."""

    def convert(value: str) -> str:
        word = value.strip().lower()
        if word not in allowed:
            raise ValueError("one of " + ", ".join(allowed))
        return word

    return convert


def _parse_int(value: str, low: int, high: int, expected: str) -> int:
    try:
        number = int(value)
    except ValueError:
        raise ValueError(expected) from None
    if not low <= number <= high:
        raise ValueError(expected)
    return number


def _parse_float(value: str, high: float, expected: str) -> float:
    try:
        number = float(value)
    except ValueError:
        raise ValueError(expected) from None
    if not 0.0 <= number <= high:
        raise ValueError(expected)
    return number
