"""Fuzzing of a store with frames and calls: it must not crash, nor take back anything it promised."""

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

DISK_ID: typing.Final = f"{random.Random(1).getrandbits(64):016x}"
ADDRESS: typing.Final = "10.0.0.1:1"
MEMBERS: typing.Final = register.MemberSet(1, (((DISK_ID, ADDRESS),),))
VALID: typing.Final[list[messages.Request]] = [
    messages.Prepare("k", (2, "p"), 1, DISK_ID),
    messages.Prepare("k", (5, "q"), 1, DISK_ID),
    messages.Accept("k", (3, "p"), register.Value(1, b"body", (("op", 1),)), 1, DISK_ID),
    messages.Accept("l", (2, "q"), register.Value(2, b"other"), 1, DISK_ID),
    messages.Read("k", 1, DISK_ID, (3, "p")),
    messages.Keys(1, DISK_ID),
    messages.Install(MEMBERS, DISK_ID),
    messages.Install(register.MemberSet(2, MEMBERS.groups), DISK_ID),
]
VALID_BODIES: typing.Final = [{"kind": request.KIND, **messages.encode(request)} for request in VALID] + [
    {"kind": "state"}
]


class _ScriptedConnection:
    """A connection that delivers the given bytes and records what is written to it."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.written = b""

    async def read(self, max_bytes: int) -> bytes:
        part, self._data = self._data[:max_bytes], self._data[max_bytes:]
        return part

    async def write(self, data: bytes) -> None:
        self.written += data

    def close(self) -> None:
        return None

    def ended(self) -> bool:
        return not self._data


def frame(body: bytes) -> bytes:
    """Return the frame with the given body."""
    return frames.HEADER.pack(frames.MAGIC, frames.VERSION, len(body)) + body


async def _open(root: pathlib.Path) -> tuple[voters.Voter, disks.SimDisk]:
    disk = disks.SimDisk(root, random.Random(1))
    voter = voters.Voter(disk, ports.NoFaultPoints(), random.Random(1))
    await voter.open()
    install = messages.Install(MEMBERS, voter.disk_id)
    await voter.kinds()[install.KIND](messages.encode(install))
    assert voter.has_vote()
    return voter, disk


async def _read_frames(data: bytes) -> list[frames.Body]:
    reader = frames.FrameConnection(typing.cast(ports.Connection, _ScriptedConnection(data)))
    bodies = []
    while (body := await reader.read()) is not None:
        bodies.append(body)
    return bodies


def _check_frames(data: bytes) -> None:
    async def main(root: pathlib.Path) -> None:
        voter, _ = await _open(root)
        script = _ScriptedConnection(data)
        server = frames.CallServer(voter.kinds(), lambda event, what: None)
        await server.serve(typing.cast(ports.Connection, script))
        replies = await _read_frames(script.written)
        assert {reply["kind"] for reply in replies} <= {"good", "bad"}

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(main(pathlib.Path(folder)))


def _check_calls(bodies: list[frames.Body]) -> None:
    """Check that ballots, versions under a ballot and epochs only rise, and that all state is durable."""

    async def main(root: pathlib.Path) -> None:
        voter, disk = await _open(root)
        server = frames.CallServer(voter.kinds(), lambda event, what: None)
        before = _snapshot(voter)
        for body in bodies:
            # A frame without a kind is refused before it reaches a handler.
            if not isinstance(body.get("kind"), str):
                continue
            reply = await server._reply(dict(body))
            assert reply["kind"] in ("good", "bad")
            assert reply.get("tag") != "broke"
            cbor2.dumps(reply)
            now = _snapshot(voter)
            _check_monotonic(before, now)
            before = now
        disk.lose_power(lambda options: 0)
        reopened = voters.Voter(disk.reopen(), ports.NoFaultPoints(), random.Random(2))
        await reopened.open()
        assert (reopened.disk_id, _snapshot(reopened)) == (voter.disk_id, before)

    with tempfile.TemporaryDirectory() as folder:
        # At a power loss the simulated disk builds its remaining state in a folder next to its own.
        root = pathlib.Path(folder) / "disk"
        root.mkdir()
        asyncio.run(main(root))


Snapshot = tuple[int, dict[str, tuple[register.Ballot, register.Ballot, register.Value]]]


def _snapshot(voter: voters.Voter) -> Snapshot:
    key_states = {
        key: (key_state.promised, key_state.ballot, key_state.value)
        for key, key_state in voter._key_states.items()
        if key_state.promised != register.ZERO_BALLOT
    }
    return voter.members.epoch, key_states


def _check_monotonic(before: Snapshot, now: Snapshot) -> None:
    assert now[0] >= before[0]
    for key, (promised, ballot, value) in before[1].items():
        promised_now, ballot_now, value_now = now[1][key]
        assert promised_now >= promised
        assert ballot_now >= ballot
        assert ballot_now <= promised_now
        # All accepts under one ballot carry the same value, unless a proposer violates the protocol.
        assert ballot_now > ballot or value_now == value or ballot_now == promised


CALL_BODIES: typing.Final = strategies.sampled_from(VALID_BODIES).flatmap(
    lambda valid: strategies.just(valid) | cases.corrupted(valid)
)


def _frame_of(raw: object) -> bytes:
    try:
        return frame(cbor2.dumps(raw))
    except (ValueError, cbor2.CBOREncodeError, UnicodeEncodeError):
        return b""


STREAMS: typing.Final = strategies.lists(
    strategies.binary(max_size=64)
    | strategies.binary(max_size=64).map(frame)
    | cases.ANY_VALUES.map(_frame_of)
    | CALL_BODIES.map(_frame_of)
    | strategies.sampled_from(VALID_BODIES).flatmap(lambda valid: cases.corrupted_bytes(_frame_of(valid))),
    max_size=4,
).map(b"".join)

FRAMES: typing.Final = targets.Target("store_frames", STREAMS, _check_frames, 60)
CALLS: typing.Final = targets.Target(
    "store_calls", strategies.lists(CALL_BODIES, max_size=8), _check_calls, 40
)
