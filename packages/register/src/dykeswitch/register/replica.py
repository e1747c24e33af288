"""What a store reports about its replica: the reply to the call `state`.

The first five fields are as old as the call. Later fields are optional on the wire: a store that does
not send them is in no known zone, may vote, and is not stopping. A disk whose vote was removed is never
`blank` again, not even when it is empty: it may get a vote again, but it must not take part in founding
a second member set.
"""

import dataclasses
import typing

import dykeswitch.frames as frames
import dykeswitch.register as register

MAX_TEXT_LENGTH: typing.Final = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """The location of a store, and whether its machine is eligible for the quorum."""

    zone: str = ""
    region: str = ""
    eligible: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaState:
    """A store's report about its replica."""

    disk: str
    blank: bool
    seated: bool
    members: register.MemberSet
    damaged: str = ""
    site: Site = Site()
    # Emptied after its vote was removed.
    erased: bool = False
    # Asked to stop: its vote should be handed over while it still answers.
    leaving: bool = False
    # Where the store was reached; not part of its report.
    address: str = ""

    @property
    def vacant(self) -> bool:
        """Whether the disk holds no replica, so that it may be given a vote."""
        return self.blank or self.erased

    @property
    def usable(self) -> bool:
        """Whether the replica can vote and will continue to."""
        return not self.damaged and not self.leaving

    @property
    def spare(self) -> bool:
        """Whether the disk may be given a vote."""
        return self.vacant and self.usable

    def with_members(self, members: register.MemberSet) -> "ReplicaState":
        """The same state with a later member set."""
        return dataclasses.replace(self, members=members)

    def encode(self) -> frames.Body:
        """The body of the reply on the wire."""
        return {
            "disk": self.disk,
            "blank": self.blank,
            "seated": self.seated,
            "set": self.members.to_wire(),
            # The operating system's error text may contain a long path; it is cut, as the whole state
            # would be rejected otherwise.
            "damaged": self.damaged[:MAX_TEXT_LENGTH],
            "zone": self.site.zone,
            "region": self.site.region,
            "eligible": self.site.eligible,
            "erased": self.erased,
            "leaving": self.leaving,
        }


def decode(body: frames.Body, address: str) -> ReplicaState:
    """Decodes and checks a state from the wire; raises `ValueError` if it is malformed."""
    disk = _text(body.get("disk"))
    if not disk:
        raise ValueError("the replica has no disk id")
    return ReplicaState(
        disk=disk,
        blank=_flag(body.get("blank")),
        seated=_flag(body.get("seated")),
        members=_members(body.get("set")),
        damaged=_text(body.get("damaged", "")),
        site=Site(
            zone=_text(body.get("zone", "")),
            region=_text(body.get("region", "")),
            eligible=_flag(body.get("eligible", True)),
        ),
        erased=_flag(body.get("erased", False)),
        leaving=_flag(body.get("leaving", False)),
        address=address,
    )


def _text(raw: object) -> str:
    if not isinstance(raw, str) or len(raw) > MAX_TEXT_LENGTH:
        raise ValueError("not a text, or too long")
    return raw


def _flag(raw: object) -> bool:
    if not isinstance(raw, bool):
        raise ValueError("not a boolean")
    return raw


def _members(raw: typing.Any) -> register.MemberSet:
    try:
        return register.decode_member_set(raw)
    except (TypeError, AttributeError) as error:
        raise ValueError("not a valid member set") from error
