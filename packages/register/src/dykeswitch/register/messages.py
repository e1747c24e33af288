"""The register's messages: requests of proposers and replies of stores.

Each message is a dataclass whose fields name their codec, so that one encoder and one checked decoder
serve all messages. `decode` raises `ValueError` for a body that is not a valid message. Each message
has a version; the first version is not sent. The call `state` is not defined here: see `replica`.
"""

import dataclasses
import typing

import dykeswitch.register as register

Body = dict[str, typing.Any]

FIRST_VERSION: typing.Final = 1
VERSION_FIELD: typing.Final = "version_of_message"
MAX_KEY_LENGTH: typing.Final = 64
MAX_KEYS: typing.Final = 4096
MAX_DISK_ID_LENGTH: typing.Final = 64
# Keys of a store's own records. Proposers must not write them.
DISK_KEY: typing.Final = "@disk"
SET_KEY: typing.Final = "@set"


class Codec(typing.NamedTuple):
    """Encodes a field for the wire, and decodes and checks it on receipt."""

    encode: typing.Callable[[typing.Any], typing.Any]
    decode: typing.Callable[[typing.Any], typing.Any]


def _decode_key(raw: object) -> str:
    # Each key becomes a directory on the disk, so only valid keys of the register are accepted.
    if not isinstance(raw, str) or not 0 < len(raw) <= MAX_KEY_LENGTH or not raw.isascii():
        raise ValueError("not a valid key")
    if raw in (DISK_KEY, SET_KEY):
        raise ValueError("the key is reserved for the store")
    return raw


def _decode_keys(raw: object) -> tuple[str, ...]:
    if not isinstance(raw, list | tuple) or len(raw) > MAX_KEYS:
        raise ValueError("not a list of keys, or too many")
    return tuple(_decode_key(key) for key in raw)


def _decode_count(raw: object) -> int:
    if not register.is_count(raw):
        raise ValueError("not a valid count")
    return typing.cast(int, raw)


def _decode_disk(raw: object) -> str:
    if not isinstance(raw, str) or not 0 < len(raw) <= MAX_DISK_ID_LENGTH:
        raise ValueError("not a valid disk id")
    return raw


def _identity(value: typing.Any) -> typing.Any:
    return value


KEY: typing.Final = Codec(_identity, _decode_key)
KEYS: typing.Final = Codec(list, _decode_keys)
COUNT: typing.Final = Codec(_identity, _decode_count)
DISK: typing.Final = Codec(_identity, _decode_disk)
BALLOT: typing.Final = Codec(list, register.decode_ballot)
VALUE: typing.Final = Codec(register.Value.to_wire, register.decode_value)
MEMBER_SET: typing.Final = Codec(register.MemberSet.to_wire, register.decode_member_set)


def _field(codec: Codec, name: str = "") -> typing.Any:
    """A required field; `name` is its name on the wire if it differs from the attribute."""
    return dataclasses.field(metadata={"codec": codec, "name": name})


def _optional(codec: Codec) -> typing.Any:
    """A field that is omitted from the body while it is `None`."""
    return dataclasses.field(default=None, metadata={"codec": codec, "name": ""})


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """Asks a disk to promise to reject lower ballots and to report what it accepted."""

    KIND: typing.ClassVar[str] = "prepare"
    VERSION: typing.ClassVar[int] = FIRST_VERSION
    key: str = _field(KEY)
    ballot: register.Ballot = _field(BALLOT)
    epoch: int = _field(COUNT)
    disk: str = _field(DISK)


@dataclasses.dataclass(frozen=True, slots=True)
class Promise:
    """The reply to `Prepare`: the ballot and value that this disk accepted last."""

    VERSION: typing.ClassVar[int] = FIRST_VERSION
    ballot: register.Ballot = _field(BALLOT)
    value: register.Value = _field(VALUE)


@dataclasses.dataclass(frozen=True, slots=True)
class Accept:
    """Asks a disk to accept a value under a ballot that a majority promised."""

    KIND: typing.ClassVar[str] = "accept"
    VERSION: typing.ClassVar[int] = FIRST_VERSION
    key: str = _field(KEY)
    ballot: register.Ballot = _field(BALLOT)
    value: register.Value = _field(VALUE)
    epoch: int = _field(COUNT)
    disk: str = _field(DISK)


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The reply to `Accept`: the value is durable on this disk."""

    VERSION: typing.ClassVar[int] = FIRST_VERSION


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Asks for the accepted value, which is omitted from the reply if its ballot is `have`."""

    KIND: typing.ClassVar[str] = "read"
    VERSION: typing.ClassVar[int] = FIRST_VERSION
    key: str = _field(KEY)
    epoch: int = _field(COUNT)
    disk: str = _field(DISK)
    have: register.Ballot | None = _optional(BALLOT)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadReply:
    """The reply to `Read`: this disk's copy of a key."""

    VERSION: typing.ClassVar[int] = FIRST_VERSION
    ballot: register.Ballot = _field(BALLOT)
    version: int = _field(COUNT)
    value: register.Value | None = _optional(VALUE)


@dataclasses.dataclass(frozen=True, slots=True)
class Keys:
    """Asks for every key for which a value was ever accepted."""

    KIND: typing.ClassVar[str] = "keys"
    VERSION: typing.ClassVar[int] = FIRST_VERSION
    epoch: int = _field(COUNT)
    disk: str = _field(DISK)


@dataclasses.dataclass(frozen=True, slots=True)
class KeysReply:
    """The reply to `Keys`."""

    VERSION: typing.ClassVar[int] = FIRST_VERSION
    keys: tuple[str, ...] = _field(KEYS)


@dataclasses.dataclass(frozen=True, slots=True)
class Install:
    """Asks a disk to adopt a decided member set."""

    KIND: typing.ClassVar[str] = "install"
    VERSION: typing.ClassVar[int] = FIRST_VERSION
    members: register.MemberSet = _field(MEMBER_SET, "set")
    disk: str = _field(DISK)


@dataclasses.dataclass(frozen=True, slots=True)
class Installed:
    """The reply to `Install`: the epoch in force on this disk."""

    VERSION: typing.ClassVar[int] = FIRST_VERSION
    epoch: int = _field(COUNT)


@dataclasses.dataclass(frozen=True, slots=True)
class Retire:
    """Asks a replaced disk to give up its vote.

    `members` is the decided set that removed the vote. It is sent only once a majority of that set
    stores it.
    """

    KIND: typing.ClassVar[str] = "retire"
    VERSION: typing.ClassVar[int] = FIRST_VERSION
    members: register.MemberSet = _field(MEMBER_SET, "set")
    disk: str = _field(DISK)


@dataclasses.dataclass(frozen=True, slots=True)
class Retired:
    """The reply to `Retire`: the disk is empty and has this new id."""

    VERSION: typing.ClassVar[int] = FIRST_VERSION
    disk: str = _field(DISK)


Request = Prepare | Accept | Read | Keys | Install | Retire
Reply = Promise | Accepted | ReadReply | KeysReply | Installed | Retired
Message = typing.TypeVar("Message", bound=Request | Reply)


def encode(message: Request | Reply) -> Body:
    """Encodes a message as the body of a frame."""
    body: Body = {}
    for field in dataclasses.fields(message):
        value = getattr(message, field.name)
        if value is not None:
            body[field.metadata["name"] or field.name] = field.metadata["codec"].encode(value)
    if message.VERSION != FIRST_VERSION:
        body[VERSION_FIELD] = message.VERSION
    return body


def decode(kind: type[Message], body: Body) -> Message:
    """Decodes and checks a message from the wire; raises `ValueError` if it is malformed."""
    if body.get(VERSION_FIELD, FIRST_VERSION) != kind.VERSION:
        raise ValueError(f"unsupported version of {kind.__name__}")
    values: dict[str, typing.Any] = {}
    for field in dataclasses.fields(kind):
        name = field.metadata["name"] or field.name
        if name in body:
            values[field.name] = _decode_field(field.metadata["codec"], name, body[name])
        elif field.default is dataclasses.MISSING:
            raise ValueError(f"missing field {name}")
    return kind(**values)


def _decode_field(codec: Codec, name: str, raw: object) -> typing.Any:
    try:
        return codec.decode(raw)
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ValueError(f"{name}: {error}") from error
