"""Tests of the model checker: scopes have no violations, and each removed guard is detected."""

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

# Searches are limited by executions, not by time, so that slow machines get the same verdict.
SECONDS: typing.Final = 600.0
SEED: typing.Final = 3
SCHEDULES: typing.Final = 300
CLEAN_SCHEDULES: typing.Final = 12
EXECUTIONS: typing.Final = 60
# Depth-first search varies early events last, so it needs more executions.
EXHAUSTIVE_EXECUTIONS: typing.Final = 2000


def _no_ballot_comparison(patch: pytest.MonkeyPatch) -> None:
    """Make a voter accept ballots below its promise."""
    real = voters.Voter._accept_value

    async def accept_any_ballot(self: voters.Voter, request: messages.Accept) -> messages.Accepted:
        self._key_states.setdefault(request.key, voters.KeyState()).promised = register.ZERO_BALLOT
        return await real(self, request)

    patch.setattr(voters.Voter, "_accept_value", accept_any_ballot)


def _no_sync(patch: pytest.MonkeyPatch) -> None:
    """Make a disk answer before its writes are durable."""
    patch.setattr(disks.FileDisk, "sync_file", lambda self, path: None)
    patch.setattr(disks.FileDisk, "sync_folder", lambda self, path: None)


def _no_sync_of_names(patch: pytest.MonkeyPatch) -> None:
    """Make a disk sync its files but not the names in its folders."""
    patch.setattr(disks.FileDisk, "sync_folder", lambda self, path: None)


def _no_epoch_check(patch: pytest.MonkeyPatch) -> None:
    """Make a voter answer calls that use an outdated member set."""
    real = voters.Voter._refusal

    def ignore_epoch(self: voters.Voter, key: str, disk: str, epoch: int) -> outcome.Failure | None:
        return real(self, key, disk, register.MAX_COUNT)

    patch.setattr(voters.Voter, "_refusal", ignore_epoch)


def _no_joint_majorities(patch: pytest.MonkeyPatch) -> None:
    """Let the majority of a single group decide for a joint member set."""

    def any_group_majority(groups: typing.Any, yes: typing.Collection[str]) -> bool:
        return any(register.majority(group, yes) for group in groups)

    patch.setattr(register, "has_majorities", any_group_majority)


def _no_adoption(patch: pytest.MonkeyPatch) -> None:
    """Make a proposer ignore the highest accepted value."""
    real = proposers._highest

    def ignore_accepted_value(yes: dict[str, messages.Promise]) -> tuple[register.Ballot, register.Value]:
        return real(yes)[0], register.INITIAL_VALUE

    patch.setattr(proposers, "_highest", ignore_accepted_value)


def _no_version_check(patch: pytest.MonkeyPatch) -> None:
    """Make a host apply documents regardless of the version that it has."""
    real = documents.Documents.apply

    async def apply_any_version(self: documents.Documents, name: str, version: int, data: bytes) -> bool:
        current = self._documents.pop(name, None)
        applied = await real(self, name, version, data)
        if current is not None and not applied:
            self._documents[name] = current
        return applied

    patch.setattr(documents.Documents, "apply", apply_any_version)


Removal = typing.Callable[[pytest.MonkeyPatch], None]


class Case(typing.NamedTuple):
    """The removal of a guard, the scope that detects it and the invariants that may be violated."""

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


def _case_id(case: Case) -> str:
    return case.removal.__name__.removeprefix("_")


def _random(scope: str, schedules: int) -> executions.Figures:
    return randomised.Randomised(scopes.SCOPES[scope].wide, SEED).run(schedules, SECONDS)


@pytest.mark.parametrize("case", CASES, ids=_case_id)
def test_a_guard_that_is_gone_is_found_by_random_schedules(
    case: Case, monkeypatch: pytest.MonkeyPatch
) -> None:
    case.removal(monkeypatch)
    figures = _random(case.scope, SCHEDULES)
    assert figures.violation is not None, figures
    assert figures.violation.message.split()[0] in case.invariants, figures.violation


@pytest.mark.parametrize("case", CASES[:2], ids=_case_id)
def test_a_guard_that_is_gone_is_found_by_the_exhaustive_search(
    case: Case, monkeypatch: pytest.MonkeyPatch
) -> None:
    case.removal(monkeypatch)
    figures = exhaustive.Exhaustive(scopes.SCOPES[case.scope].small, SECONDS).run(EXHAUSTIVE_EXECUTIONS)
    assert figures.violation is not None, figures
    assert figures.violation.message.split()[0] in case.invariants, figures.violation


@pytest.mark.parametrize("scope", list(scopes.SCOPES))
def test_the_first_orders_of_a_small_scope_are_clean(scope: str) -> None:
    """`dykeswitch explore` searches each scope completely; docs/explore.md has the figures."""
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
    # With the guard restored, the same events violate nothing.
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
    answers = histories.Answer
    done = _order("A", "a", answers.ACKNOWLEDGED, 1)
    assert histories.linearizable(_history(done, _read("B", 1, b"a")))
    assert not histories.linearizable(_history(done, _read("B", 0, b"")))
    # An order with an unknown result may have taken effect or not, but it cannot be undone.
    unknown = _order("A", "a", answers.UNKNOWN)
    assert histories.linearizable(_history(unknown, _read("B", 0, b""), _read("C", 1, b"a")))
    assert not histories.linearizable(_history(unknown, _read("B", 1, b"a"), _read("C", 0, b"")))
    # A refusal shows that another version existed by then, so later reads must not miss it.
    refused = _order("B", "b", answers.REFUSED, expected=0)
    assert histories.linearizable(_history(unknown, refused, _read("C", 1, b"a")))
    assert not histories.linearizable(_history(unknown, refused, _read("C", 0, b"")))
    # Two orders cannot create the same version, and the effect of a failed order cannot be read.
    assert not histories.linearizable(_history(done, _order("B", "b", answers.ACKNOWLEDGED, 1)))
    assert not histories.linearizable(_history(_order("A", "a", answers.FAILED), _read("B", 1, b"a")))


def test_a_killed_process_runs_nothing_any_more() -> None:
    """Closing a coroutine of an ended process releases a lock and wakes another of its coroutines.

    The woken coroutine must not run, even if the host has been started again.
    """
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

        async def hold_lock() -> None:
            async with lock:
                await loop.create_future()

        async def wait_for_lock() -> None:
            async with lock:
                done.append("written")

        spawn(hold_lock())
        return spawn(wait_for_lock())

    # The reference keeps the waiting task alive, as a call in progress would.
    waiting = start()
    loop.run_until_idle()
    host.stop()
    host.up = True
    host.starts += 1
    gc.collect()
    loop.run_until_idle()
    assert done == [] and not waiting.done()
    loop.close()
