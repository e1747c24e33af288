"""Checks of single values in a document, which collect every fault by its path."""

import typing

METHODS: typing.Final = frozenset({"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "TRACE"})
TOKEN: typing.Final = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.")
FAULTS_MOST: typing.Final = 200
TRIES_MOST: typing.Final = 100
RANK_MOST: typing.Final = 1000
NUMBER_MOST: typing.Final = 2**53
BYTES_MOST: typing.Final = 2**40


class Checker:
    """Collects every fault with the path of where it stands."""

    def __init__(self) -> None:
        self.faults: list[str] = []

    def fault(self, path: str, text: str) -> None:
        """Note a fault at a path; what is over the cap is left out."""
        if len(self.faults) < FAULTS_MOST:
            self.faults.append(f"{path}: {text}")

    def keys(self, path: str, raw: dict[str, object], known: typing.Collection[str]) -> None:
        """Every key must be a known one."""
        for key in raw:
            if key not in known:
                self.fault(f"{path}.{key}" if path else key, "unknown key")

    def text(self, path: str, raw: object, default: str = "") -> str:
        """Text, or the default where there is none."""
        if raw is None:
            return default
        if not isinstance(raw, str):
            self.fault(path, "must be text")
            return default
        return raw

    def name(self, path: str, raw: object) -> str:
        """A name: a short token."""
        text = self.text(path, raw)
        # A name that is there and says nothing names nothing.
        if (raw is None or isinstance(raw, str)) and (not text or len(text) > 128 or not set(text) <= TOKEN):
            self.fault(path, "must be 1 to 128 letters, digits, '-', '_' or '.'")
        return text

    def duration(self, path: str, raw: object) -> float | None:
        """Seconds, if there are any."""
        if raw is None:
            return None
        if isinstance(raw, bool) or not isinstance(raw, (int, float)) or not 0 < raw <= 3600:
            self.fault(path, "must be a number of seconds over 0 and up to 3600")
            return None
        return float(raw)

    def tries(self, path: str, raw: object) -> int | None:
        """A number of tries, if there is one."""
        return self.whole(path, raw, 1, TRIES_MOST)

    def whole(self, path: str, raw: object, least: int, most: int) -> int | None:
        """A whole number within bounds, if there is one."""
        if raw is None:
            return None
        if isinstance(raw, bool) or not isinstance(raw, int) or not least <= raw <= most:
            self.fault(path, f"must be a whole number from {least} to {most}")
            return None
        return raw

    def path(self, path: str, raw: object, default: str) -> str:
        """The path of a URL, or the default where there is none."""
        text = self.text(path, raw, default)
        if not text.startswith("/") or any(c in text for c in "?#") or not text.isascii() or " " in text:
            self.fault(path, "must start with '/' and hold no '?', '#', blank or non-ASCII letter")
        return text
