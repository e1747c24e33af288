"""The budget of extra go's: each proxy's part of the fleet's bound."""

import collections
import typing

import dykeswitch.settings as settings

SPAN_S = 10.0
# How the proxy's part of the floor is split: spent at once, or saved from requests.
SAVED_PART = 0.4


class Budget:
    """Extra go's toward one service.

    For any span of ten seconds: extras <= share x requests in the span + our part of
    the floor. Two purses make it hold for every span and not just for those that end
    with an extra go: a saved one, filled by each request and capped, and a loose one
    whose coins come back ten seconds after they were spent.
    """

    def __init__(self, bounds: settings.Settings, sharing: typing.Callable[[], float | None]) -> None:
        part = bounds.extra_floor / bounds.proxies
        self._share = bounds.extra_share
        self._cap = part * SAVED_PART
        self._loose = int(part - self._cap)
        # Since when we are one of those who share the floor.
        self._sharing = sharing
        self._saved = 0.0
        self._spent: collections.deque[float] = collections.deque()

    def request(self) -> None:
        """A caller's request came in for the service."""
        self._saved = min(self._cap, self._saved + self._share)

    def take(self, now: float) -> bool:
        """Whether one more extra go may be made, and if so it is counted."""
        # Shares are cut for so many proxies: one over that many has none at all.
        since = self._sharing()
        if since is None:
            return False
        if self._saved >= 1.0:
            self._saved -= 1.0
            return True
        while self._spent and now - self._spent[0] >= SPAN_S:
            self._spent.popleft()
        # One that was here before us may have spent its coins within this very span:
        # start with none.
        if now - since < SPAN_S or len(self._spent) >= self._loose:
            return False
        self._spent.append(now)
        return True
