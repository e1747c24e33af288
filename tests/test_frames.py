"""Calls between members: each reply is matched to its own call, whatever the connection delivers."""

import asyncio
import collections.abc
import pathlib
import random
import typing

import cbor2
import pytest

import dykeswitch.frames as frames
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.register as register
import dykeswitch.register.messages as messages
import dykeswitch.register.proposer as proposers
import dykeswitch.register.voter as voters
import dykeswitch.simulator.disk as disks
import dykeswitch.simulator.loop as loops
import dykeswitch.simulator.world as worlds

TIMEOUT_S: typing.Final = 0.5
ADDRESS: typing.Final = ports.Address("10.1.0.1:7000")

# How a peer answers one call: a function that gets the connection and the body, and writes the reply.
Act = collections.abc.Callable[["Peer", ports.Connection, frames.Body], collections.abc.Awaitable[None]]


class Peer:
    """A member that answers by a script, with one act per received call."""

    def __init__(self, seed: int, scratch: pathlib.Path, acts: list[Act]) -> None:
        self.world = worlds.World(seed, scratch)
        self.machine = self.world.machine_for("peer")
        self.call_client = frames.CallClient(self.world.machine_for("caller").net)
        self._acts = acts
        self.received: list[frames.Body] = []

    async def start(self) -> None:
        await self.machine.net.listen(ADDRESS, self._serve)

    async def _serve(self, connection: ports.Connection) -> None:
        reader = frames.FrameConnection(connection)
        while (body := await reader.read()) is not None:
            self.received.append(body)
            await self._acts.pop(0)(self, connection, body)

    async def call(self, word: str) -> frames.Result:
        return await self.call_client.call(ADDRESS, "echo", {"word": word}, TIMEOUT_S)


def _frame(body: frames.Body) -> bytes:
    data = cbor2.dumps(body)
    return frames.HEADER.pack(frames.MAGIC, frames.VERSION, len(data)) + data


def _answer(body: frames.Body) -> bytes:
    return _frame({"kind": "good", "word": body["word"], frames.CALL_ID: body[frames.CALL_ID]})


async def answers(peer: Peer, connection: ports.Connection, body: frames.Body) -> None:
    await connection.write(_answer(body))


async def answers_without_id(peer: Peer, connection: ports.Connection, body: frames.Body) -> None:
    await connection.write(_frame({"kind": "good", "word": body["word"]}))


async def answers_late(peer: Peer, connection: ports.Connection, body: frames.Body) -> None:
    await asyncio.sleep(TIMEOUT_S * 1.5)
    await connection.write(_answer(body))


async def answers_twice_with_a_pause(peer: Peer, connection: ports.Connection, body: frames.Body) -> None:
    """The second copy arrives after the next call was sent."""
    await connection.write(_answer(body))
    await asyncio.sleep(0.1)
    await connection.write(_answer(body))


async def answers_the_call_before(peer: Peer, connection: ports.Connection, body: frames.Body) -> None:
    await connection.write(_answer(peer.received[-2]))
    await connection.write(_answer(body))


async def answers_in_pieces(peer: Peer, connection: ports.Connection, body: frames.Body) -> None:
    for byte in _answer(body):
        await connection.write(bytes([byte]))
        await asyncio.sleep(0.002)


async def answers_cut(peer: Peer, connection: ports.Connection, body: frames.Body) -> None:
    await connection.write(_answer(body)[:-3])
    connection.close()


async def answers_with_a_spoilt_id(peer: Peer, connection: ports.Connection, body: frames.Body) -> None:
    await connection.write(_frame({"kind": "good", "word": body["word"], frames.CALL_ID: b"other"}))


async def says_nothing(peer: Peer, connection: ports.Connection, body: frames.Body) -> None:
    return None


def _play(
    tmp_path: pathlib.Path, acts: list[Act], words: list[str], pause_s: float = 0.0
) -> tuple[list[str], list[frames.Body]]:
    """Calls with each word in turn; returns the words or failure tags, and the bodies that were received."""

    async def main() -> tuple[list[str], list[frames.Body]]:
        peer = Peer(1, tmp_path, acts)
        await peer.start()
        results = []
        for word in words:
            result = await peer.call(word)
            results.append(result.value["word"] if isinstance(result, outcome.Success) else result.code.tag)
            await asyncio.sleep(pause_s)
        return results, peer.received

    return typing.cast(tuple[list[str], list[frames.Body]], loops.run(main()))


def test_every_call_has_an_id_of_its_own_and_its_answer_is_taken(tmp_path: pathlib.Path) -> None:
    results, received = _play(tmp_path, [answers] * 3, ["a", "b", "c"])
    assert results == ["a", "b", "c"]
    ids = [body[frames.CALL_ID] for body in received]
    assert len(set(ids)) == 3
    # A new client, as after a restart, uses another random prefix.
    _, after = _play(tmp_path, [answers], ["a"])
    assert after[0][frames.CALL_ID][: frames.CALL_ID_PREFIX_SIZE] != ids[0][: frames.CALL_ID_PREFIX_SIZE]


def test_a_late_answer_is_not_taken_for_the_next_call(tmp_path: pathlib.Path) -> None:
    """A connection whose call timed out is not used again, so its late reply is never read."""
    results, received = _play(tmp_path, [answers_late, answers, answers], ["a", "b", "c"], pause_s=0.3)
    assert results == ["no_reply", "b", "c"]
    assert len(received) == 3


def test_a_doubled_answer_is_not_taken_for_the_next_call(tmp_path: pathlib.Path) -> None:
    """The copy arrives after the connection was found idle and healthy, and before the next reply."""
    results, _ = _play(tmp_path, [answers_twice_with_a_pause, answers_late, answers], ["a", "b", "c"])
    assert results == ["a", "bad_frame", "c"]


def test_answers_out_of_order_end_the_connection(tmp_path: pathlib.Path) -> None:
    results, _ = _play(tmp_path, [answers, answers_the_call_before, answers], ["a", "b", "c"], pause_s=0.01)
    assert results == ["a", "bad_frame", "c"]


def test_an_answer_with_a_spoilt_id_is_refused(tmp_path: pathlib.Path) -> None:
    results, _ = _play(tmp_path, [answers_with_a_spoilt_id, answers], ["a", "b"])
    assert results == ["bad_frame", "b"]


def test_an_answer_in_pieces_is_taken_and_a_cut_one_is_not(tmp_path: pathlib.Path) -> None:
    results, _ = _play(
        tmp_path, [answers_in_pieces, answers_cut, answers, answers], ["a", "b", "c"], pause_s=0.01
    )
    # The truncated reply looks like an idle connection that was closed, so the call is sent again
    # with a new id.
    assert results == ["a", "b", "c"]


def test_a_member_of_a_release_without_ids_is_served(tmp_path: pathlib.Path) -> None:
    results, _ = _play(tmp_path, [answers_without_id] * 3, ["a", "b", "c"])
    assert results == ["a", "b", "c"]


def test_one_that_echoed_ids_must_go_on_to(tmp_path: pathlib.Path) -> None:
    results, _ = _play(tmp_path, [answers, answers_without_id, answers], ["a", "b", "c"], pause_s=0.01)
    assert results == ["a", "bad_frame", "c"]


def test_silence_of_a_member_without_ids_ends_the_connection(tmp_path: pathlib.Path) -> None:
    """Without ids, a late reply must never be read, as in releases before call ids."""
    acts: list[Act] = [answers_without_id, says_nothing, answers_without_id]
    results, _ = _play(tmp_path, acts, ["a", "b", "c"])
    assert results == ["a", "no_reply", "c"]


def test_without_the_check_of_ids_a_doubled_answer_is_taken_for_the_next(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With the check disabled, the second call gets the reply to the first."""

    def accept_any(connection: frames.FrameConnection, reply: frames.Body, call_id: bytes) -> None:
        reply.pop(frames.CALL_ID, None)

    monkeypatch.setattr(frames, "_check_call_id", accept_any)
    results, _ = _play(tmp_path, [answers_twice_with_a_pause, answers_late], ["a", "b"])
    assert results == ["a", "a"]


def test_a_peer_that_restarts_between_call_and_answer_answers_only_its_own_calls(
    tmp_path: pathlib.Path,
) -> None:
    """The restarted process at the same address never answers a call that the first one received."""

    class Program:
        """Answers slowly, with the number of its run."""

        runs = 0

        def __init__(self, machine: ports.Machine) -> None:
            Program.runs += 1
            self._run = Program.runs
            self._machine = machine

        async def run(self) -> None:
            server = frames.CallServer({"echo": self._echo}, lambda event, what: None)
            await self._machine.net.listen(ADDRESS, server.serve)
            await asyncio.Event().wait()

        async def _echo(self, body: frames.Body) -> frames.Result:
            assert frames.CALL_ID not in body
            await asyncio.sleep(0.1)
            return outcome.Success({"word": body["word"], "run": self._run})

        def stop(self) -> None:
            return None

    async def main() -> None:
        world = worlds.World(1, tmp_path)
        node = world.add("peer", "peer", lambda machine, log, rng: Program(machine))
        node.start()
        call_client = frames.CallClient(world.machine_for("caller").net)
        await asyncio.sleep(0.1)
        first = await call_client.call(ADDRESS, "echo", {"word": "a"}, TIMEOUT_S)
        assert isinstance(first, outcome.Success) and first.value["run"] == 1
        call = asyncio.create_task(call_client.call(ADDRESS, "echo", {"word": "b"}, TIMEOUT_S))
        await asyncio.sleep(0.05)
        node.kill()
        node.restart()
        second = await call
        # The connection was reset: the call was sent again, to the new run, or failed without a reply.
        if isinstance(second, outcome.Success):
            assert (second.value["word"], second.value["run"]) == ("b", 2)
        else:
            assert second.code.tag == "no_reply"
        third = await call_client.call(ADDRESS, "echo", {"word": "c"}, TIMEOUT_S)
        assert isinstance(third, outcome.Success)
        assert (third.value["word"], third.value["run"]) == ("c", 2)

    loops.run(main())


def test_an_id_that_is_none_is_refused(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        world = worlds.World(1, tmp_path)

        async def echo(body: frames.Body) -> frames.Result:
            return outcome.Success({})

        server = frames.CallServer({"echo": echo}, lambda event, what: None)
        await world.machine_for("peer").net.listen(ADDRESS, server.serve)
        for call_id in (7, "text", b"x" * (frames.MAX_CALL_ID_BYTES + 1), None, [b"x"]):
            raw = await world.machine_for("caller").net.connect(ADDRESS, TIMEOUT_S)
            connection = frames.FrameConnection(raw)
            await connection.write({"kind": "echo", frames.CALL_ID: call_id})
            reply = await connection.read()
            assert reply == {"kind": "bad", "tag": "bad_frame", "why": "not a call id"}

    loops.run(main())


def test_a_caller_of_a_release_without_ids_gets_answers_without_them(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        world = worlds.World(1, tmp_path)

        async def echo(body: frames.Body) -> frames.Result:
            return outcome.Success({"word": body["word"]})

        server = frames.CallServer({"echo": echo}, lambda event, what: None)
        await world.machine_for("peer").net.listen(ADDRESS, server.serve)
        raw = await world.machine_for("caller").net.connect(ADDRESS, TIMEOUT_S)
        connection = frames.FrameConnection(raw)
        for word in ("a", "b"):
            await connection.write({"kind": "echo", "word": word})
            assert await connection.read() == {"kind": "good", "word": word}

    loops.run(main())


def test_a_doubled_call_is_answered_twice_and_misleads_nobody(tmp_path: pathlib.Path) -> None:
    """Both replies have the id of the first call; the second one closes the connection."""

    class DoublingConnection:
        """A connection that sends its first write twice."""

        def __init__(self, connection: ports.Connection) -> None:
            self._connection = connection
            self.read, self.close, self.ended = connection.read, connection.close, connection.ended

        async def write(self, data: bytes) -> None:
            await self._connection.write(data)
            if pending_doubles:
                pending_doubles.pop()
                await asyncio.sleep(0)
                await self._connection.write(data)

    pending_doubles = [True]

    async def main() -> None:
        world = worlds.World(1, tmp_path)
        received = []

        async def echo(body: frames.Body) -> frames.Result:
            received.append(body["word"])
            await asyncio.sleep(0.05)
            return outcome.Success({"word": body["word"]})

        server = frames.CallServer({"echo": echo}, lambda event, what: None)
        await world.machine_for("peer").net.listen(ADDRESS, server.serve)
        net = world.machine_for("caller").net

        class Network:
            """Opens connections that send their first write twice."""

            async def connect(self, address: ports.Address, timeout_s: float) -> ports.Connection:
                return typing.cast(
                    ports.Connection, DoublingConnection(await net.connect(address, timeout_s))
                )

        call_client = frames.CallClient(typing.cast(ports.Network, Network()))
        results = []
        for word in ("a", "b", "c"):
            result = await call_client.call(ADDRESS, "echo", {"word": word}, TIMEOUT_S)
            results.append(result.value["word"] if isinstance(result, outcome.Success) else result.code.tag)
        assert results == ["a", "bad_frame", "c"]
        assert received == ["a", "a", "b", "c"]

    loops.run(main())


def test_a_disk_does_not_answer_for_another(tmp_path: pathlib.Path) -> None:
    """A store with another disk than the call names refuses every vote, read and membership change."""

    async def main() -> None:
        opened = []
        for name in ("one", "two"):
            (tmp_path / name).mkdir()
            disk = disks.SimDisk(tmp_path / name, random.Random(name))
            voter = voters.Voter(disk, ports.NoFaultPoints(), random.Random(name))
            await voter.open()
            opened.append(voter)
        one, two = opened
        members = register.MemberSet(1, (((one.disk_id, ADDRESS), (two.disk_id, ADDRESS)),))
        for voter in opened:
            install = messages.Install(members, voter.disk_id)
            assert isinstance(await voter.kinds()[install.KIND](messages.encode(install)), outcome.Success)
        requests: list[messages.Request] = [
            messages.Prepare("k", (1, "p"), 1, one.disk_id),
            messages.Accept("k", (1, "p"), register.Value(1, b"x"), 1, one.disk_id),
            messages.Read("k", 1, one.disk_id),
            messages.Keys(1, one.disk_id),
            messages.Install(register.MemberSet(2, members.groups), one.disk_id),
        ]
        for request in requests:
            result = await two.kinds()[request.KIND](messages.encode(request))
            assert isinstance(result, outcome.Failure)
            assert result.code.tag == "other_disk"
        assert two.members.epoch == 1

    loops.run(main())


SAMPLES: typing.Final[list[messages.Request | messages.Reply]] = [
    messages.Prepare("k", (3, "p"), 1, "d"),
    messages.Promise((2, "p"), register.Value(1, b"x", (("op", 1),))),
    messages.Accept("k", (3, "p"), register.Value(2, b"y"), 1, "d"),
    messages.Accepted(),
    messages.Read("k", 1, "d"),
    messages.Read("k", 1, "d", (3, "p")),
    messages.ReadReply((3, "p"), 2, register.Value(2, b"y")),
    messages.ReadReply((3, "p"), 2),
    messages.Keys(1, "d"),
    messages.KeysReply(("a", "b")),
    messages.Install(register.MemberSet(2, ((("d", ADDRESS),),)), "d"),
    messages.Installed(2),
]


@pytest.mark.parametrize("message", SAMPLES, ids=lambda message: type(message).__name__)
def test_messages_of_the_register_come_back_as_they_were(
    message: messages.Request | messages.Reply,
) -> None:
    body = cbor2.loads(cbor2.dumps(messages.encode(message)))
    assert messages.decode(type(message), body) == message
    # Fields added by a later release are ignored; another version is refused.
    assert messages.decode(type(message), {**body, "later": 1}) == message
    with pytest.raises(ValueError):
        messages.decode(type(message), {**body, messages.VERSION_FIELD: 2})


def test_the_wire_form_is_that_of_the_release_before() -> None:
    """Members of both releases call each other while a fleet is upgraded."""
    assert messages.encode(SAMPLES[0]) == {"key": "k", "ballot": [3, "p"], "epoch": 1, "disk": "d"}
    assert messages.encode(SAMPLES[1]) == {"ballot": [2, "p"], "value": [1, b"x", [["op", 1]]]}
    value = [2, b"y", []]
    accept = {"key": "k", "ballot": [3, "p"], "value": value, "epoch": 1, "disk": "d"}
    assert messages.encode(SAMPLES[2]) == accept
    assert messages.encode(SAMPLES[3]) == {}
    assert messages.encode(SAMPLES[5]) == {"key": "k", "epoch": 1, "disk": "d", "have": [3, "p"]}
    assert messages.encode(SAMPLES[6]) == {"ballot": [3, "p"], "version": 2, "value": value}
    assert messages.encode(SAMPLES[7]) == {"ballot": [3, "p"], "version": 2}
    assert messages.encode(SAMPLES[8]) == {"epoch": 1, "disk": "d"}
    assert messages.encode(SAMPLES[9]) == {"keys": ["a", "b"]}
    assert messages.encode(SAMPLES[10]) == {"set": [2, [[["d", ADDRESS]]]], "disk": "d"}
    assert messages.encode(SAMPLES[11]) == {"epoch": 2}


def test_a_stores_malformed_answer_counts_as_none(tmp_path: pathlib.Path) -> None:
    """Such a reply raised in the proposer, and ended the task that had made the call."""

    async def main() -> None:
        world = worlds.World(1, tmp_path)
        address = world.address()

        async def malformed(body: frames.Body) -> frames.Result:
            return outcome.Success({"ballot": "x", "set": 7, "keys": {"a": 1}})

        async def outvoted(body: frames.Body) -> frames.Result:
            return outcome.failure("outvoted", f"{2**80}")

        kinds: dict[str, frames.Handler] = {
            "prepare": outvoted,
            "accept": malformed,
            "read": malformed,
            "keys": malformed,
            "state": malformed,
        }
        server = frames.CallServer(kinds, lambda event, what: None)
        await world.machine_for("store").net.listen(address, server.serve)
        machine = world.machine_for("registry")
        call_client = frames.CallClient(machine.net)
        proposer = proposers.Proposer(
            "a", call_client, machine.clock, machine.fault_points, TIMEOUT_S, random.Random(1)
        )
        proposer.quorum.adopt(register.MemberSet(1, ((("d", address),),)))
        read = await proposer.read("k")
        assert isinstance(read, outcome.Failure) and read.code.tag == "no_majority"
        assert await proposer.copies.keys() is None
        assert not await proposer.quorum.learn()
        changed = await proposer.change("k", lambda now: now)
        assert isinstance(changed, outcome.Failure) and changed.code.tag == "no_majority"
        # A ballot number that no later ballot could exceed was not adopted.
        assert register.is_count(proposer._next_ballot()[0])

    loops.run(main())
