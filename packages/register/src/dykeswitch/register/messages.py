"""The register's messages: what proposers ask of stores and what stores answer.

Each message is a dataclass whose fields name their codec, so there is one encoder and one
checked decoder for all of them. `decode` raises `ValueError` for any body that is not the
message. A message has a version of its own; on the wire the first one goes without saying.
The call `state` is not among them: it is the replica's account of itself.
"""

import dataclasses
import typing

import dykeswitch.register as register

Body = dict[str, typing.Any]

FIRST_VERSION: typing.Final = 1
VERSION_FIELD: typing.Final = "version_of_message"
KEY_MOST: typing.Final = 64
KEYS_MOST: typing.Final = 4096
DISK_ID_MOST: typing.Final = 64
# Names under which a store keeps records of its own; no proposer may write them.
DISK_KEY: typing.Final = "@disk"
SET_KEY: typing.Final = "@set"


class Codec(typing.NamedTuple):
    """How one field goes over the wire, and how it is checked when it comes off it."""

    encode: typing.Callable[[typing.Any], typing.Any]
    decode: typing.Callable[[typing.Any], typing.Any]


def _read_key(raw: object) -> str:
    # Each key is a folder on the disk: only names that the register has are given one.
    if not isinstance(raw, str) or not 0 < len(raw) <= KEY_MOST or not raw.isascii():
        raise ValueError("not a key")
    if raw in (DISK_KEY, SET_KEY):
        raise ValueError("not a key of the register")
    return raw


def _read_keys(raw: object) -> tuple[str, ...]:
    if not isinstance(raw, list | tuple) or len(raw) > KEYS_MOST:
        raise ValueError("not a list of keys")
    return tuple(_read_key(key) for key in raw)


def _read_count(raw: object) -> int:
    if not register.is_count(raw):
        raise ValueError("not a count")
    return typing.cast(int, raw)


def _read_disk(raw: object) -> str:
    if not isinstance(raw, str) or not 0 < len(raw) <= DISK_ID_MOST:
        raise ValueError("not a disk id")
    return raw


def _as_is(value: typing.Any) -> typing.Any:
    return value


KEY: typing.Final = Codec(_as_is, _read_key)
KEYS: typing.Final = Codec(list, _read_keys)
COUNT: typing.Final = Codec(_as_is, _read_count)
DISK: typing.Final = Codec(_as_is, _read_disk)
BALLOT: typing.Final = Codec(list, register.decode_ballot)
VALUE: typing.Final = Codec(register.Value.to_wire, register.decode_value)
MEMBER_SET: typing.Final = Codec(register.MemberSet.to_wire, register.decode_member_set)


def _field(codec: Codec, name: str = "") -> typing.Any:
    """A field that must be there, under a name of its own on the wire if one is given."""
    return dataclasses.field(metadata={"codec": codec, "name": name})


def _optional(codec: Codec) -> typing.Any:
    """A field that is left out of the body while it is `None`."""
    return dataclasses.field(default=None, metadata={"codec": codec, "name": ""})


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """Promise to take part in no lower ballot, and tell what was accepted."""

    KIND: typing.ClassVar[str] = "prepare"
    VERSION: typing.ClassVar[int] = FIRST_VERSION
    key: str = _field(KEY)
    ballot: register.Ballot = _field(BALLOT)
    epoch: int = _field(COUNT)
    disk: str = _field(DISK)


@dataclasses.dataclass(frozen=True, slots=True)
class Promise:
    """The answer to `Prepare`: what this disk accepted last."""

    VERSION: typing.ClassVar[int] = FIRST_VERSION
    ballot: register.Ballot = _field(BALLOT)
    value: register.Value = _field(VALUE)


@dataclasses.dataclass(frozen=True, slots=True)
class Accept:
    """Take up a value under a ballot that a majority promised."""

    KIND: typing.ClassVar[str] = "accept"
    VERSION: typing.ClassVar[int] = FIRST_VERSION
    key: str = _field(KEY)
    ballot: register.Ballot = _field(BALLOT)
    value: register.Value = _field(VALUE)
    epoch: int = _field(COUNT)
    disk: str = _field(DISK)


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The answer to `Accept`: the value is durable on this disk."""

    VERSION: typing.ClassVar[int] = FIRST_VERSION


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Tell what is accepted; the value may be left out for a reader that holds that very ballot."""

    KIND: typing.ClassVar[str] = "read"
    VERSION: typing.ClassVar[int] = FIRST_VERSION
    key: str = _field(KEY)
    epoch: int = _field(COUNT)
    disk: str = _field(DISK)
    have: register.Ballot | None = _optional(BALLOT)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadReply:
    """The answer to `Read`: this disk's copy of a key."""

    VERSION: typing.ClassVar[int] = FIRST_VERSION
    ballot: register.Ballot = _field(BALLOT)
    version: int = _field(COUNT)
    value: register.Value | None = _optional(VALUE)


@dataclasses.dataclass(frozen=True, slots=True)
class Keys:
    """Tell every key that was ever accepted."""

    KIND: typing.ClassVar[str] = "keys"
    VERSION: typing.ClassVar[int] = FIRST_VERSION
    epoch: int = _field(COUNT)
    disk: str = _field(DISK)


@dataclasses.dataclass(frozen=True, slots=True)
class KeysReply:
    """The answer to `Keys`."""

    VERSION: typing.ClassVar[int] = FIRST_VERSION
    keys: tuple[str, ...] = _field(KEYS)


@dataclasses.dataclass(frozen=True, slots=True)
class Install:
    """Take up a decided member set."""

    KIND: typing.ClassVar[str] = "install"
    VERSION: typing.ClassVar[int] = FIRST_VERSION
    members: register.MemberSet = _field(MEMBER_SET, "set")
    disk: str = _field(DISK)


@dataclasses.dataclass(frozen=True, slots=True)
class Installed:
    """The answer to `Install`: the epoch that is in force on this disk."""

    VERSION: typing.ClassVar[int] = FIRST_VERSION
    epoch: int = _field(COUNT)


@dataclasses.dataclass(frozen=True, slots=True)
class Retire:
    """Give up a vote that a decided set, held by a majority of its own, took away."""

    KIND: typing.ClassVar[str] = "retire"
    VERSION: typing.ClassVar[int] = FIRST_VERSION
    members: register.MemberSet = _field(MEMBER_SET, "set")
    disk: str = _field(DISK)


@dataclasses.dataclass(frozen=True, slots=True)
class Retired:
    """The answer to `Retire`: the disk is empty and has this new id."""

    VERSION: typing.ClassVar[int] = FIRST_VERSION
    disk: str = _field(DISK)


Request = Prepare | Accept | Read | Keys | Install | Retire
Reply = Promise | Accepted | ReadReply | KeysReply | Installed | Retired
Message = typing.TypeVar("Message", bound=Request | Reply)


def encode(message: Request | Reply) -> Body:
    """A message as the body of a frame."""
    body: Body = {}
    for field in dataclasses.fields(message):
        value = getattr(message, field.name)
        if value is not None:
            body[field.metadata["name"] or field.name] = field.metadata["codec"].encode(value)
    if message.VERSION != FIRST_VERSION:
        body[VERSION_FIELD] = message.VERSION
    return body


def decode(kind: type[Message], body: Body) -> Message:
    """A message off the wire; raises `ValueError` where the body is not one."""
    if body.get(VERSION_FIELD, FIRST_VERSION) != kind.VERSION:
        raise ValueError(f"another version of {kind.__name__}")
    values: dict[str, typing.Any] = {}
    for field in dataclasses.fields(kind):
        name = field.metadata["name"] or field.name
        if name in body:
            values[field.name] = _checked(field.metadata["codec"], name, body[name])
        elif field.default is dataclasses.MISSING:
            raise ValueError(f"no {name}")
    return kind(**values)


def _checked(codec: Codec, name: str, raw: object) -> typing.Any:
    try:
        return codec.decode(raw)
    except (TypeError, ValueError, AttributeError, OverflowError) as flaw:
        raise ValueError(f"{name}: {flaw}") from flaw
