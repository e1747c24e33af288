"""Calls between members: each answer belongs to its call, whatever the connection brings."""

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

WAIT_S: typing.Final = 0.5
ADDRESS: typing.Final = ports.Address("10.1.0.1:7000")

# What a peer does with one call: it has the connection and the body, and writes what it likes.
Act = collections.abc.Callable[["Peer", ports.Connection, frames.Body], collections.abc.Awaitable[None]]


class Peer:
    """A member that answers by a script, one act for each call that it gets."""

    def __init__(self, seed: int, scratch: pathlib.Path, acts: list[Act]) -> None:
        self.world = worlds.World(seed, scratch)
        self.machine = self.world.machine_for("peer")
        self.call_client = frames.CallClient(self.world.machine_for("caller").net)
        self._acts = acts
        self.heard: list[frames.Body] = []

    async def start(self) -> None:
        await self.machine.net.listen(ADDRESS, self._serve)

    async def _serve(self, connection: ports.Connection) -> None:
        reader = frames.FrameConnection(connection)
        while (body := await reader.read()) is not None:
            self.heard.append(body)
            await self._acts.pop(0)(self, connection, body)

    async def ask(self, word: str) -> frames.Result:
        return await self.call_client.call(ADDRESS, "echo", {"word": word}, WAIT_S)


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
    await asyncio.sleep(WAIT_S * 1.5)
    await connection.write(_answer(body))


async def answers_twice_with_a_pause(peer: Peer, connection: ports.Connection, body: frames.Body) -> None:
    """The second copy comes when the next call is already under way."""
    await connection.write(_answer(body))
    await asyncio.sleep(0.1)
    await connection.write(_answer(body))


async def answers_the_call_before(peer: Peer, connection: ports.Connection, body: frames.Body) -> None:
    await connection.write(_answer(peer.heard[-2]))
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
    tmp_path: pathlib.Path, acts: list[Act], words: list[str], pause: float = 0.0
) -> tuple[list[str], list[frames.Body]]:
    """Ask for each word in turn; what came back, or the tag of the failure, and what was heard."""

    async def main() -> tuple[list[str], list[frames.Body]]:
        peer = Peer(1, tmp_path, acts)
        await peer.start()
        said = []
        for word in words:
            result = await peer.ask(word)
            said.append(result.value["word"] if isinstance(result, outcome.Success) else result.code.tag)
            await asyncio.sleep(pause)
        return said, peer.heard

    return typing.cast(tuple[list[str], list[frames.Body]], loops.run(main()))


def test_every_call_has_an_id_of_its_own_and_its_answer_is_taken(tmp_path: pathlib.Path) -> None:
    said, heard = _play(tmp_path, [answers] * 3, ["a", "b", "c"])
    assert said == ["a", "b", "c"]
    ids = [body[frames.CALL_ID] for body in heard]
    assert len(set(ids)) == 3
    # A caller made anew, as after a restart, begins with other random bytes.
    _, after = _play(tmp_path, [answers], ["a"])
    assert after[0][frames.CALL_ID][: frames.BOOT_SIZE] != ids[0][: frames.BOOT_SIZE]


def test_a_late_answer_is_not_taken_for_the_next_call(tmp_path: pathlib.Path) -> None:
    """A connection whose call timed out is not used again, and its answer goes nowhere."""
    said, heard = _play(tmp_path, [answers_late, answers, answers], ["a", "b", "c"], pause=0.3)
    assert said == ["no_reply", "b", "c"]
    assert len(heard) == 3


def test_a_doubled_answer_is_not_taken_for_the_next_call(tmp_path: pathlib.Path) -> None:
    """The copy arrives after the connection was found idle and in order, before the next answer."""
    said, _ = _play(tmp_path, [answers_twice_with_a_pause, answers_late, answers], ["a", "b", "c"])
    assert said == ["a", "bad_frame", "c"]


def test_answers_out_of_order_end_the_connection(tmp_path: pathlib.Path) -> None:
    said, _ = _play(tmp_path, [answers, answers_the_call_before, answers], ["a", "b", "c"], pause=0.01)
    assert said == ["a", "bad_frame", "c"]


def test_an_answer_with_a_spoilt_id_is_refused(tmp_path: pathlib.Path) -> None:
    said, _ = _play(tmp_path, [answers_with_a_spoilt_id, answers], ["a", "b"])
    assert said == ["bad_frame", "b"]


def test_an_answer_in_pieces_is_taken_and_a_cut_one_is_not(tmp_path: pathlib.Path) -> None:
    said, _ = _play(tmp_path, [answers_in_pieces, answers_cut, answers, answers], ["a", "b", "c"], pause=0.01)
    # The cut one may have been an idle connection that died: it was asked once more, by a new id.
    assert said == ["a", "b", "c"]


def test_a_member_of_a_release_without_ids_is_served(tmp_path: pathlib.Path) -> None:
    said, _ = _play(tmp_path, [answers_without_id] * 3, ["a", "b", "c"])
    assert said == ["a", "b", "c"]


def test_one_that_echoed_ids_must_go_on_to(tmp_path: pathlib.Path) -> None:
    said, _ = _play(tmp_path, [answers, answers_without_id, answers], ["a", "b", "c"], pause=0.01)
    assert said == ["a", "bad_frame", "c"]


def test_silence_of_a_member_without_ids_ends_the_connection(tmp_path: pathlib.Path) -> None:
    """As strict as before there were ids: nothing that comes late is read."""
    acts: list[Act] = [answers_without_id, says_nothing, answers_without_id]
    said, _ = _play(tmp_path, acts, ["a", "b", "c"])
    assert said == ["a", "no_reply", "c"]


def test_without_the_check_of_ids_a_doubled_answer_is_taken_for_the_next(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The guard taken away: the second call is told the answer to the first."""

    def lax(connection: frames.FrameConnection, reply: frames.Body, call_id: bytes) -> None:
        reply.pop(frames.CALL_ID, None)

    monkeypatch.setattr(frames, "_check_call_id", lax)
    said, _ = _play(tmp_path, [answers_twice_with_a_pause, answers_late], ["a", "b"])
    assert said == ["a", "a"]


def test_a_peer_that_restarts_between_call_and_answer_answers_only_its_own_calls(
    tmp_path: pathlib.Path,
) -> None:
    """The same address, another process: what the first was asked, the second never answers."""

    class Program:
        """Answers slowly, with the run that it is."""

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
        first = await call_client.call(ADDRESS, "echo", {"word": "a"}, WAIT_S)
        assert isinstance(first, outcome.Success) and first.value["run"] == 1
        call = asyncio.create_task(call_client.call(ADDRESS, "echo", {"word": "b"}, WAIT_S))
        await asyncio.sleep(0.05)
        node.kill()
        node.restart()
        second = await call
        # The connection was reset; the call went once more, to the new run, or came back as none.
        if isinstance(second, outcome.Success):
            assert (second.value["word"], second.value["run"]) == ("b", 2)
        else:
            assert second.code.tag == "no_reply"
        third = await call_client.call(ADDRESS, "echo", {"word": "c"}, WAIT_S)
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
        for odd in (7, "text", b"x" * (frames.MAX_CALL_ID_BYTES + 1), None, [b"x"]):
            raw = await world.machine_for("caller").net.connect(ADDRESS, WAIT_S)
            connection = frames.FrameConnection(raw)
            await connection.write({"kind": "echo", frames.CALL_ID: odd})
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
        raw = await world.machine_for("caller").net.connect(ADDRESS, WAIT_S)
        connection = frames.FrameConnection(raw)
        for word in ("a", "b"):
            await connection.write({"kind": "echo", "word": word})
            assert await connection.read() == {"kind": "good", "word": word}

    loops.run(main())


def test_a_doubled_call_is_answered_twice_and_misleads_nobody(tmp_path: pathlib.Path) -> None:
    """Both answers bear the id of the first call; the second one ends the connection."""

    class Doubling:
        """A connection that sends everything twice until told otherwise."""

        def __init__(self, whole: ports.Connection) -> None:
            self._whole = whole
            self.read, self.close, self.ended = whole.read, whole.close, whole.ended

        async def write(self, data: bytes) -> None:
            await self._whole.write(data)
            if doubled:
                doubled.pop()
                await asyncio.sleep(0)
                await self._whole.write(data)

    doubled = [True]

    async def main() -> None:
        world = worlds.World(1, tmp_path)
        heard = []

        async def echo(body: frames.Body) -> frames.Result:
            heard.append(body["word"])
            await asyncio.sleep(0.05)
            return outcome.Success({"word": body["word"]})

        server = frames.CallServer({"echo": echo}, lambda event, what: None)
        await world.machine_for("peer").net.listen(ADDRESS, server.serve)
        net = world.machine_for("caller").net

        class Network:
            """Dials connections that double."""

            async def connect(self, address: ports.Address, timeout_s: float) -> ports.Connection:
                return typing.cast(ports.Connection, Doubling(await net.connect(address, timeout_s)))

        call_client = frames.CallClient(typing.cast(ports.Network, Network()))
        said = []
        for word in ("a", "b", "c"):
            result = await call_client.call(ADDRESS, "echo", {"word": word}, WAIT_S)
            said.append(result.value["word"] if isinstance(result, outcome.Success) else result.code.tag)
        assert said == ["a", "bad_frame", "c"]
        assert heard == ["a", "a", "b", "c"]

    loops.run(main())


def test_a_disk_does_not_answer_for_another(tmp_path: pathlib.Path) -> None:
    """Another disk at the address that a call was made for refuses all that binds or counts."""

    async def main() -> None:
        found = []
        for name in ("one", "two"):
            (tmp_path / name).mkdir()
            disk = disks.SimDisk(tmp_path / name, random.Random(name))
            voter = voters.Voter(disk, ports.NoFaultPoints(), random.Random(name))
            await voter.open()
            found.append(voter)
        one, two = found
        members = register.MemberSet(1, (((one.disk_id, ADDRESS), (two.disk_id, ADDRESS)),))
        for voter in found:
            install = messages.Install(members, voter.disk_id)
            assert isinstance(await voter.kinds()[install.KIND](messages.encode(install)), outcome.Success)
        asked: list[messages.Request] = [
            messages.Prepare("k", (1, "p"), 1, one.disk_id),
            messages.Accept("k", (1, "p"), register.Value(1, b"x"), 1, one.disk_id),
            messages.Read("k", 1, one.disk_id),
            messages.Keys(1, one.disk_id),
            messages.Install(register.MemberSet(2, members.groups), one.disk_id),
        ]
        for ask in asked:
            result = await two.kinds()[ask.KIND](messages.encode(ask))
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
    # Fields that a later release adds are passed over, another version is not.
    assert messages.decode(type(message), {**body, "later": 1}) == message
    with pytest.raises(ValueError):
        messages.decode(type(message), {**body, messages.VERSION_FIELD: 2})


def test_the_wire_form_is_that_of_the_release_before() -> None:
    """Members of both releases talk to each other while a fleet is upgraded."""
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
    """It raised in the proposer, and ended the duty that had asked."""

    async def main() -> None:
        world = worlds.World(1, tmp_path)
        address = world.address()

        async def odd(body: frames.Body) -> frames.Result:
            return outcome.Success({"ballot": "x", "set": 7, "keys": {"a": 1}})

        async def outvoted(body: frames.Body) -> frames.Result:
            return outcome.failure("outvoted", f"{2**80}")

        kinds: dict[str, frames.Handler] = {
            "prepare": outvoted,
            "accept": odd,
            "read": odd,
            "keys": odd,
            "state": odd,
        }
        server = frames.CallServer(kinds, lambda event, what: None)
        await world.machine_for("store").net.listen(address, server.serve)
        machine = world.machine_for("registry")
        call_client = frames.CallClient(machine.net)
        proposer = proposers.Proposer(
            "a", call_client, machine.clock, machine.fault_points, WAIT_S, random.Random(1)
        )
        proposer.quorum.adopt(register.MemberSet(1, ((("d", address),),)))
        read = await proposer.read("k")
        assert isinstance(read, outcome.Failure) and read.code.tag == "no_majority"
        assert await proposer.copies.keys() is None
        assert not await proposer.quorum.learn()
        changed = await proposer.change("k", lambda now: now)
        assert isinstance(changed, outcome.Failure) and changed.code.tag == "no_majority"
        # A count that no ballot could pass was not taken up.
        assert register.is_count(proposer._next_ballot()[0])

    loops.run(main())
