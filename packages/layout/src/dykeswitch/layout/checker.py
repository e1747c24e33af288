"""Checks of single values in a document that collect every fault with its path."""

import typing

METHODS: typing.Final = frozenset({"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "TRACE"})
TOKEN_CHARACTERS: typing.Final = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."
)
MAX_FAULTS: typing.Final = 200
MAX_ATTEMPTS: typing.Final = 100
MAX_RANK: typing.Final = 1000
MAX_NUMBER: typing.Final = 2**53
MAX_BYTES: typing.Final = 2**40


class Checker:
    """Collects every fault with the path of the value."""

    def __init__(self) -> None:
        self.faults: list[str] = []

    def fault(self, path: str, text: str) -> None:
        """Records a fault at a path, up to a maximum number of faults."""
        if len(self.faults) < MAX_FAULTS:
            self.faults.append(f"{path}: {text}")

    def keys(self, path: str, raw: dict[str, object], known: typing.Collection[str]) -> None:
        """Checks that every key is known."""
        for key in raw:
            if key not in known:
                self.fault(f"{path}.{key}" if path else key, "unknown key")

    def text(self, path: str, raw: object, default: str = "") -> str:
        """Checks a text; returns the default if the value is missing."""
        if raw is None:
            return default
        if not isinstance(raw, str):
            self.fault(path, "must be text")
            return default
        return raw

    def name(self, path: str, raw: object) -> str:
        """Checks a name: a short token."""
        text = self.text(path, raw)
        # An empty name is a fault too. A value that is not text has been reported already.
        if (raw is None or isinstance(raw, str)) and (
            not text or len(text) > 128 or not set(text) <= TOKEN_CHARACTERS
        ):
            self.fault(path, "must be 1 to 128 letters, digits, '-', '_' or '.'")
        return text

    def duration(self, path: str, raw: object) -> float | None:
        """Checks an optional duration in seconds."""
        if raw is None:
            return None
        if isinstance(raw, bool) or not isinstance(raw, (int, float)) or not 0 < raw <= 3600:
            self.fault(path, "must be a number of seconds over 0 and up to 3600")
            return None
        return float(raw)

    def attempts(self, path: str, raw: object) -> int | None:
        """Checks an optional number of attempts."""
        return self.integer(path, raw, 1, MAX_ATTEMPTS)

    def integer(self, path: str, raw: object, minimum: int, maximum: int) -> int | None:
        """Checks an optional integer against its bounds."""
        if raw is None:
            return None
        if isinstance(raw, bool) or not isinstance(raw, int) or not minimum <= raw <= maximum:
            self.fault(path, f"must be a whole number from {minimum} to {maximum}")
            return None
        return raw

    def path(self, path: str, raw: object, default: str) -> str:
        """Checks the path of a URL; returns the default if the value is missing."""
        text = self.text(path, raw, default)
        if (
            not text.startswith("/")
            or any(character in text for character in "?#")
            or not text.isascii()
            or " " in text
        ):
            self.fault(path, "must start with '/' and contain no '?', '#', space or non-ASCII character")
        return text
