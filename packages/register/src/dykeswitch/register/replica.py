"""What a store tells of its replica: the answer to the call `state`.

The first five fields are as old as the call. Those that came later are optional on the
wire: a store that does not send them stands in no known zone, may vote, and stays. A disk
whose vote was taken away is never `blank` again, not even once it is emptied: it may get
a vote anew, but it must not take part in founding a second member set.
"""

import dataclasses
import typing

import dykeswitch.frames as frames
import dykeswitch.register as register

TEXT_MOST: typing.Final = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """Where a store stands, and whether its machine counts towards the quorum."""

    zone: str = ""
    region: str = ""
    eligible: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaState:
    """One store's own account of its replica."""

    disk: str
    blank: bool
    seated: bool
    members: register.MemberSet
    damaged: str = ""
    site: Site = Site()
    # Emptied after its vote was taken away.
    erased: bool = False
    # Asked to stop: its vote should be handed over while it still answers.
    leaving: bool = False
    # Where the store was reached; not part of what it tells.
    address: str = ""

    @property
    def vacant(self) -> bool:
        """Whether it holds nothing, so that it may be given a vote."""
        return self.blank or self.erased

    @property
    def usable(self) -> bool:
        """Whether it can vote, and will go on voting."""
        return not self.damaged and not self.leaving

    @property
    def spare(self) -> bool:
        """Whether it may be given a vote."""
        return self.vacant and self.usable

    def holding(self, members: register.MemberSet) -> "ReplicaState":
        """The same replica with a later member set."""
        return dataclasses.replace(self, members=members)

    def encode(self) -> frames.Body:
        """The state as it goes over the wire."""
        return {
            "disk": self.disk,
            "blank": self.blank,
            "seated": self.seated,
            "set": self.members.to_wire(),
            # What a system says of a disk may hold a long path: it must not cost the state.
            "damaged": self.damaged[:TEXT_MOST],
            "zone": self.site.zone,
            "region": self.site.region,
            "eligible": self.site.eligible,
            "erased": self.erased,
            "leaving": self.leaving,
        }


def decode(body: frames.Body, address: str) -> ReplicaState:
    """A state off the wire; raises `ValueError` where it is none."""
    disk = _text(body.get("disk"))
    if not disk:
        raise ValueError("a replica without a disk id")
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
    if not isinstance(raw, str) or len(raw) > TEXT_MOST:
        raise ValueError("not a short text")
    return raw


def _flag(raw: object) -> bool:
    if not isinstance(raw, bool):
        raise ValueError("not a flag")
    return raw


def _members(raw: typing.Any) -> register.MemberSet:
    try:
        return register.decode_member_set(raw)
    except (TypeError, AttributeError) as flaw:
        raise ValueError("not a member set") from flaw
