"""Frames and calls to a store: nothing falls over, and what it promised never goes back."""

import asyncio
import pathlib
import random
import tempfile
import typing

import cbor2
import hypothesis.strategies as strategies

import dykeswitch.cli.fuzz.cases as cases
import dykeswitch.cli.fuzz.target as targets
import dykeswitch.frames as frames
import dykeswitch.ports as ports
import dykeswitch.register as register
import dykeswitch.register.messages as messages
import dykeswitch.register.voter as voters
import dykeswitch.simulator.disk as disks

DISK: typing.Final = f"{random.Random(1).getrandbits(64):016x}"
ADDRESS: typing.Final = "10.0.0.1:1"
MEMBERS: typing.Final = register.MemberSet(1, (((DISK, ADDRESS),),))
GOOD: typing.Final[list[messages.Request]] = [
    messages.Prepare("k", (2, "p"), 1, DISK),
    messages.Prepare("k", (5, "q"), 1, DISK),
    messages.Accept("k", (3, "p"), register.Value(1, b"body", (("op", 1),)), 1, DISK),
    messages.Accept("l", (2, "q"), register.Value(2, b"other"), 1, DISK),
    messages.Read("k", 1, DISK, (3, "p")),
    messages.Keys(1, DISK),
    messages.Install(MEMBERS, DISK),
    messages.Install(register.MemberSet(2, MEMBERS.groups), DISK),
]
GOOD_BODIES: typing.Final = [{"kind": ask.KIND, **messages.encode(ask)} for ask in GOOD] + [{"kind": "state"}]


class _Script:
    """A connection that brings given bytes and keeps what is written to it."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.out = b""

    async def read(self, max_bytes: int) -> bytes:
        part, self._data = self._data[:max_bytes], self._data[max_bytes:]
        return part

    async def write(self, data: bytes) -> None:
        self.out += data

    def close(self) -> None:
        return None

    def ended(self) -> bool:
        return not self._data


def framed(body: bytes) -> bytes:
    """Bytes as the body of a frame."""
    return frames.HEADER.pack(frames.MAGIC, frames.VERSION, len(body)) + body


async def _open(root: pathlib.Path) -> tuple[voters.Voter, disks.SimDisk]:
    disk = disks.SimDisk(root, random.Random(1))
    voter = voters.Voter(disk, ports.NoFaultPoints(), random.Random(1))
    await voter.open()
    install = messages.Install(MEMBERS, voter.disk_id)
    await voter.kinds()[install.KIND](messages.encode(install))
    assert voter.has_vote()
    return voter, disk


async def _all_frames(data: bytes) -> list[frames.Body]:
    reader = frames.FrameConnection(typing.cast(ports.Connection, _Script(data)))
    found = []
    while (body := await reader.read()) is not None:
        found.append(body)
    return found


def _check_frames(data: bytes) -> None:
    async def main(root: pathlib.Path) -> None:
        voter, _ = await _open(root)
        script = _Script(data)
        server = frames.CallServer(voter.kinds(), lambda event, what: None)
        await server.serve(typing.cast(ports.Connection, script))
        answers = await _all_frames(script.out)
        assert {answer["kind"] for answer in answers} <= {"good", "bad"}

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(main(pathlib.Path(folder)))


def _check_calls(bodies: list[frames.Body]) -> None:
    """Ballots, versions under a ballot and epochs only rise, and all that is held is durable."""

    async def main(root: pathlib.Path) -> None:
        voter, disk = await _open(root)
        server = frames.CallServer(voter.kinds(), lambda event, what: None)
        before = _held(voter)
        for body in bodies:
            # A frame without a kind is refused before it comes to a handler.
            if not isinstance(body.get("kind"), str):
                continue
            answer = await server._reply(dict(body))
            assert answer["kind"] in ("good", "bad")
            assert answer.get("tag") != "broke"
            cbor2.dumps(answer)
            now = _held(voter)
            _check_rises(before, now)
            before = now
        disk.lose_power(lambda options: 0)
        again = voters.Voter(disk.reopen(), ports.NoFaultPoints(), random.Random(2))
        await again.open()
        assert (again.disk_id, _held(again)) == (voter.disk_id, before)

    with tempfile.TemporaryDirectory() as folder:
        # The disk makes its outcome of a power loss beside itself.
        root = pathlib.Path(folder) / "disk"
        root.mkdir()
        asyncio.run(main(root))


Held = tuple[int, dict[str, tuple[register.Ballot, register.Ballot, register.Value]]]


def _held(voter: voters.Voter) -> Held:
    key_states = {
        key: (key_state.promised, key_state.ballot, key_state.value)
        for key, key_state in voter._key_states.items()
        if key_state.promised != register.ZERO_BALLOT
    }
    return voter.members.epoch, key_states


def _check_rises(before: Held, now: Held) -> None:
    assert now[0] >= before[0]
    for key, (promised, ballot, value) in before[1].items():
        promised_now, ballot_now, value_now = now[1][key]
        assert promised_now >= promised
        assert ballot_now >= ballot
        assert ballot_now <= promised_now
        # A second accept under one ballot carries the same value, unless a proposer broke its word.
        assert ballot_now > ballot or value_now == value or ballot_now == promised


CALL_BODIES: typing.Final = strategies.sampled_from(GOOD_BODIES).flatmap(
    lambda good: strategies.just(good) | cases.spoilt(good)
)


def _packed(raw: object) -> bytes:
    try:
        return framed(cbor2.dumps(raw))
    except (ValueError, cbor2.CBOREncodeError, UnicodeEncodeError):
        return b""


STREAMS: typing.Final = strategies.lists(
    strategies.binary(max_size=64)
    | strategies.binary(max_size=64).map(framed)
    | cases.PLAIN.map(_packed)
    | CALL_BODIES.map(_packed)
    | strategies.sampled_from(GOOD_BODIES).flatmap(lambda good: cases.spoilt_bytes(_packed(good))),
    max_size=4,
).map(b"".join)

FRAMES: typing.Final = targets.Target("store_frames", STREAMS, _check_frames, 60)
CALLS: typing.Final = targets.Target(
    "store_calls", strategies.lists(CALL_BODIES, max_size=8), _check_calls, 40
)
