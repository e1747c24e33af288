"""The document of a layout, as operators write it."""

import typing


class ServiceDoc(typing.TypedDict, total=False):
    """One service."""

    probe: str
    expiry_s: float
    request_s: float
    max_tries: int
    pipes_most: int


class ShareDoc(typing.TypedDict):
    """The share of one service in a rule that is split over several services."""

    service: str
    weight: float


class RuleDoc(typing.TypedDict, total=False):
    """One routing rule."""

    name: str
    host: str
    path: str
    methods: list[str]
    service: str
    split: list[ShareDoc]
    writing: bool
    expiry_s: float
    request_s: float
    max_tries: int
    aim_s: float
    rank: int


class BoundsDoc(typing.TypedDict, total=False):
    """Limits on what clients may send, in bytes, and on how long they may take or stay idle, in seconds."""

    head_most: int
    body_most: int
    head_s: float
    idle_s: float


class LayoutDoc(typing.TypedDict, total=False):
    """A whole layout; `services` and `rules` are required."""

    services: dict[str, ServiceDoc]
    rules: list[RuleDoc]
    number: int
    bounds: BoundsDoc
    doubles: str
