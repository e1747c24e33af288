"""The document of a layout, as the operator writes it."""

import typing


class ServiceDoc(typing.TypedDict, total=False):
    """One service as the operator writes it."""

    probe: str
    expiry_s: float
    request_s: float
    max_tries: int
    pipes_most: int


class ShareDoc(typing.TypedDict):
    """One service's part of a rule that is split over several."""

    service: str
    weight: float


class RuleDoc(typing.TypedDict, total=False):
    """One rule as the operator writes it."""

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
    """What callers may send, and how long they may take or stay idle: bytes and seconds."""

    head_most: int
    body_most: int
    head_s: float
    idle_s: float


class LayoutDoc(typing.TypedDict, total=False):
    """A whole layout as the operator writes it; `services` and `rules` must be there."""

    services: dict[str, ServiceDoc]
    rules: list[RuleDoc]
    number: int
    bounds: BoundsDoc
    doubles: str
