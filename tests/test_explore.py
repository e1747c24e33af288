"""The model checker: small scopes are clean, and each guard that is taken away is missed."""

import asyncio
import contextvars
import gc
import pathlib
import typing

import pytest

import dykeswitch.cli.main as cli
import dykeswitch.explorer.disk as disks
import dykeswitch.explorer.execution as executions
import dykeswitch.explorer.exhaustive as exhaustive
import dykeswitch.explorer.history as histories
import dykeswitch.explorer.hosts as hosts
import dykeswitch.explorer.loop as loops
import dykeswitch.explorer.randomised as randomised
import dykeswitch.explorer.scopes as scopes
import dykeswitch.explorer.trace as traces
import dykeswitch.layout.documents as documents
import dykeswitch.outcome as outcome
import dykeswitch.register as register
import dykeswitch.register.messages as messages
import dykeswitch.register.proposer as proposers
import dykeswitch.register.voter as voters

# Bounds in executions and not in seconds: a slow machine must come to the same verdict.
SECONDS: typing.Final = 600.0
SEED: typing.Final = 3
SCHEDULES: typing.Final = 300
CLEAN_SCHEDULES: typing.Final = 12
EXECUTIONS: typing.Final = 60
# An exhaustive search comes late to what happens early: it is given more.
SEARCHED: typing.Final = 2000


def _no_ballot_comparison(patch: pytest.MonkeyPatch) -> None:
    """A disk accepts below what it has promised."""
    real = voters.Voter._take_up

    async def careless(self: voters.Voter, ask: messages.Accept) -> messages.Accepted:
        self._key_states.setdefault(ask.key, voters.KeyState()).promised = register.ZERO_BALLOT
        return await real(self, ask)

    patch.setattr(voters.Voter, "_take_up", careless)


def _no_sync(patch: pytest.MonkeyPatch) -> None:
    """A disk answers before what it wrote lasts."""
    patch.setattr(disks.FileDisk, "sync_file", lambda self, path: None)
    patch.setattr(disks.FileDisk, "sync_folder", lambda self, path: None)


def _no_sync_of_names(patch: pytest.MonkeyPatch) -> None:
    """A disk syncs its files and not the names of its folders."""
    patch.setattr(disks.FileDisk, "sync_folder", lambda self, path: None)


def _no_epoch_check(patch: pytest.MonkeyPatch) -> None:
    """A disk answers calls that count by a member set that was left behind."""
    real = voters.Voter._barred

    def lenient(self: voters.Voter, key: str, disk: str, epoch: int) -> outcome.Failure | None:
        return real(self, key, disk, register.MAX_COUNT)

    patch.setattr(voters.Voter, "_barred", lenient)


def _no_joint_majorities(patch: pytest.MonkeyPatch) -> None:
    """A joint member set needs the majority of one of its groups alone."""

    def one_group(groups: typing.Any, yes: typing.Collection[str]) -> bool:
        return any(register.majority(group, yes) for group in groups)

    patch.setattr(register, "has_majorities", one_group)


def _no_adoption(patch: pytest.MonkeyPatch) -> None:
    """A proposer does not take up the highest value that was accepted."""
    real = proposers._highest

    def forgetful(yes: dict[str, messages.Promise]) -> tuple[register.Ballot, register.Value]:
        return real(yes)[0], register.INITIAL_VALUE

    patch.setattr(proposers, "_highest", forgetful)


def _no_version_check(patch: pytest.MonkeyPatch) -> None:
    """A document is taken up whatever version is held."""
    real = documents.Documents.apply

    async def eager(self: documents.Documents, name: str, version: int, data: bytes) -> bool:
        held = self._held.pop(name, None)
        taken = await real(self, name, version, data)
        if held is not None and not taken:
            self._held[name] = held
        return taken

    patch.setattr(documents.Documents, "apply", eager)


Removal = typing.Callable[[pytest.MonkeyPatch], None]


class Case(typing.NamedTuple):
    """A guard's removal, the scope that finds it and the invariants of which it breaks one."""

    removal: Removal
    scope: str
    invariants: set[str]


CASES: typing.Final = [
    Case(_no_ballot_comparison, "race", {"I1", "I2", "I6", "I7", "I9"}),
    Case(_no_adoption, "race", {"I1", "I2", "I5", "I9"}),
    Case(_no_sync, "power", {"I2", "I3", "I7", "I8", "I9"}),
    Case(_no_sync_of_names, "power", {"I2", "I3", "I7", "I8", "I9"}),
    Case(_no_epoch_check, "swap", {"I1", "I2", "I9"}),
    Case(_no_joint_majorities, "swap", {"I1", "I2", "I3", "I9"}),
    Case(_no_version_check, "documents", {"I4"}),
]


def _name(case: Case) -> str:
    return case.removal.__name__.removeprefix("_")


def _random(scope: str, schedules: int) -> executions.Figures:
    return randomised.Randomised(scopes.SCOPES[scope].wide, SEED).run(schedules, SECONDS)


@pytest.mark.parametrize("case", CASES, ids=_name)
def test_a_guard_that_is_gone_is_found_by_random_schedules(
    case: Case, monkeypatch: pytest.MonkeyPatch
) -> None:
    case.removal(monkeypatch)
    figures = _random(case.scope, SCHEDULES)
    assert figures.violation is not None, figures
    assert figures.violation.message.split()[0] in case.invariants, figures.violation


@pytest.mark.parametrize("case", CASES[:2], ids=_name)
def test_a_guard_that_is_gone_is_found_by_the_exhaustive_search(
    case: Case, monkeypatch: pytest.MonkeyPatch
) -> None:
    case.removal(monkeypatch)
    figures = exhaustive.Exhaustive(scopes.SCOPES[case.scope].small, SECONDS).run(SEARCHED)
    assert figures.violation is not None, figures
    assert figures.violation.message.split()[0] in case.invariants, figures.violation


@pytest.mark.parametrize("scope", list(scopes.SCOPES))
def test_the_first_orders_of_a_small_scope_are_clean(scope: str) -> None:
    """The whole of each is searched by `dykeswitch explore`; its figures stand in docs/explore.md."""
    figures = exhaustive.Exhaustive(scopes.SCOPES[scope].small, SECONDS).run(EXECUTIONS)
    assert figures.violation is None, figures.violation
    assert figures.complete or figures.executions == EXECUTIONS


@pytest.mark.parametrize("scope", list(scopes.SCOPES))
def test_random_schedules_of_a_wide_scope_are_clean(scope: str) -> None:
    figures = _random(scope, CLEAN_SCHEDULES)
    assert figures.violation is None, figures.violation
    assert figures.executions == CLEAN_SCHEDULES


def test_one_seed_gives_one_verdict_and_one_trace(monkeypatch: pytest.MonkeyPatch) -> None:
    _no_version_check(monkeypatch)
    first, second = _random("documents", SCHEDULES), _random("documents", SCHEDULES)
    assert first.violation is not None
    assert first.violation == second.violation
    assert (first.executions, first.events) == (second.executions, second.events)


def test_a_trace_is_shrunk_printed_and_replayed(
    monkeypatch: pytest.MonkeyPatch, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "trace"
    with monkeypatch.context() as patch:
        _no_adoption(patch)
        assert cli.main(["explore", "--scope", "race", "--form", "wide", "--seed", str(SEED)]) == 1
        path.write_text(capsys.readouterr().out)
        recorded = traces.read(path.read_text())
        assert 0 < len(recorded.events) < 40
        assert cli.main(["explore", "--replay", str(path)]) == 1
        assert capsys.readouterr().out in path.read_text()
    # The guard is back: the same events break nothing.
    assert cli.main(["explore", "--replay", str(path)]) == 0


def test_what_is_no_trace_is_told(tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "trace"
    path.write_text("deliver: A->s1\n")
    assert cli.main(["explore", "--replay", str(path)]) == 2
    assert "no line '# scope" in capsys.readouterr().err


def _history(*operations: histories.Operation) -> histories.History:
    history = histories.History()
    for operation in operations:
        answer, version, body = operation.answer, operation.version, operation.read_body
        operation.answer = histories.Answer.NONE
        history.record_request(operation)
        history.record_answer(operation, answer, version, body)
    return history


def _order(
    client: str, order: str, answer: histories.Answer, version: int = 0, expected: int | None = None
) -> histories.Operation:
    return histories.Operation(
        client,
        1,
        histories.Kind.ORDER,
        "k",
        order,
        order.encode(),
        expected,
        answer=answer,
        version=version,
    )


def _read(client: str, version: int, body: bytes) -> histories.Operation:
    return histories.Operation(
        client,
        1,
        histories.Kind.READ,
        "k",
        answer=histories.Answer.READ,
        version=version,
        read_body=body,
    )


def test_a_history_is_held_against_the_order_of_time() -> None:
    told = histories.Answer
    done = _order("A", "a", told.ACKNOWLEDGED, 1)
    assert histories.linearizable(_history(done, _read("B", 1, b"a")))
    assert not histories.linearizable(_history(done, _read("B", 0, b"")))
    # What is unknown may have been done or not, but not undone.
    unknown = _order("A", "a", told.UNKNOWN)
    assert histories.linearizable(_history(unknown, _read("B", 0, b""), _read("C", 1, b"a")))
    assert not histories.linearizable(_history(unknown, _read("B", 1, b"a"), _read("C", 0, b"")))
    # A refusal has a version that it was judged by, and that stays.
    refused = _order("B", "b", told.REFUSED, expected=0)
    assert histories.linearizable(_history(unknown, refused, _read("C", 1, b"a")))
    assert not histories.linearizable(_history(unknown, refused, _read("C", 0, b"")))
    # Two of one version, and one that failed and is seen.
    assert not histories.linearizable(_history(done, _order("B", "b", told.ACKNOWLEDGED, 1)))
    assert not histories.linearizable(_history(_order("A", "a", told.FAILED), _read("B", 1, b"a")))


def test_a_killed_process_runs_nothing_any_more() -> None:
    """Unwinding one of its coroutines releases a lock and wakes another, after its host started anew."""
    loop = loops.CooperativeLoop()  # type: ignore[abstract]
    host = hosts.Host("s1")
    host.starts = 1
    done: list[str] = []

    def spawn(work: typing.Coroutine[typing.Any, typing.Any, None]) -> asyncio.Task[None]:
        context = contextvars.Context()
        hosts.enter(context, host)
        return loop.create_task(work, context=context)

    def start() -> asyncio.Task[None]:
        lock = asyncio.Lock()

        async def writes() -> None:
            async with lock:
                await loop.create_future()

        async def waits() -> None:
            async with lock:
                done.append("written")

        spawn(writes())
        return spawn(waits())

    # Somebody still refers to the one that waits, as to a call on its way.
    waiting = start()
    loop.run_until_idle()
    host.stop()
    host.up = True
    host.starts += 1
    gc.collect()
    loop.run_until_idle()
    assert done == [] and not waiting.done()
    loop.close()
