"""The storage under every outcome of a loss of power, and after a process that was killed.

A loss of power keeps or loses each unsynced name by itself, and each unsynced write survives,
goes missing or is torn. For one write of one key all outcomes are few enough to be tried.
"""

import pathlib
import random
import shutil
import typing

import pytest

import dykeswitch.ports as ports
import dykeswitch.ports.real as real
import dykeswitch.register.storage as storage
import dykeswitch.simulator.disk as disks
import dykeswitch.simulator.world as worlds

POINTS: typing.Final = range(storage.POINT_BEFORE, storage.POINT_OLD_DROPPED + 1)
OUTCOMES_MOST: typing.Final = 20_000
KEY: typing.Final = "k"


class Stopped(BaseException):
    """The process ended at a numbered point."""


class Chooser:
    """Answers from a given list of choices, then with 0; remembers how many options each had."""

    def __init__(self, given: tuple[int, ...]) -> None:
        self._given = given
        self.made: list[tuple[int, int]] = []

    def __call__(self, options: int) -> int:
        at = len(self.made)
        choice = self._given[at] if at < len(self._given) else 0
        self.made.append((choice, options))
        return choice

    def following(self) -> tuple[int, ...] | None:
        """The next list of choices in order, or nothing when all were made."""
        made = list(self.made)
        while made:
            choice, options = made.pop()
            if choice + 1 < options:
                return (*(earlier for earlier, _ in made), choice + 1)
        return None


class Case:
    """One disk of its own, with a storage as a process has it."""

    def __init__(self, root: pathlib.Path, lazy: tuple[str, str] | None = None) -> None:
        if root.exists():
            shutil.rmtree(root)
        root.mkdir()
        self.disk = disks.SimDisk(root, random.Random(1))
        self.fault_points = worlds.SimFaultPoints()
        self._lazy = lazy
        self.left_out = 0

    def open(self) -> tuple[storage.Storage, dict[str, typing.Any]]:
        """The storage of a process that starts, and what it read."""
        self._leave_out_a_sync()
        opened = storage.Storage(self.disk, self.fault_points)
        return opened, opened.open()

    def _leave_out_a_sync(self) -> None:
        if self._lazy is None:
            return
        kind, name = self._lazy
        whole = getattr(self.disk, kind)

        def sync(path: pathlib.Path) -> None:
            if path.name == name or (name == "tmp" and path.name.startswith("tmp")):
                self.left_out += 1
                return
            whole(path)

        setattr(self.disk, kind, sync)

    def restart(self) -> None:
        self.disk = self.disk.reopen()

    def put_and_stop_at(self, opened: storage.Storage, point: int, record: object) -> None:
        """A write whose process ends at a numbered point."""

        def stop() -> None:
            raise Stopped

        self.fault_points.armed[point] = stop
        with pytest.raises(Stopped):
            opened.put(KEY, record)


def outcomes(root: pathlib.Path, play: typing.Callable[[disks.Choose], None]) -> int:
    """Play a case once for each outcome of its loss of power; how many there were."""
    given: tuple[int, ...] | None = ()
    count = 0
    while given is not None:
        chooser = Chooser(given)
        play(chooser)
        given = chooser.following()
        count += 1
        assert count < OUTCOMES_MOST
    return count


def _read_after(case: Case) -> object:
    case.restart()
    _, records = case.open()
    return records.get(KEY)


@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("before", [0, 1, 2])
def test_every_outcome_of_a_power_loss_within_a_write(
    before: int, point: int, tmp_path: pathlib.Path
) -> None:
    """What was acknowledged is there; the write under way is there as a whole or not at all."""

    def play(choose: disks.Choose) -> None:
        case = Case(tmp_path / "disk")
        opened, _ = case.open()
        for number in range(1, before + 1):
            opened.put(KEY, number)
        case.put_and_stop_at(opened, point, before + 1)
        case.disk.lose_power(choose)
        acknowledged = before or None
        found = _read_after(case)
        if point >= storage.POINT_PARENT_SYNCED:
            assert found == before + 1
        elif point <= storage.POINT_FOLDER_SYNCED:
            assert found == acknowledged
        else:
            assert found in (acknowledged, before + 1)

    assert outcomes(tmp_path, play) >= 1


@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("before", [0, 1])
def test_what_a_restarted_process_read_survives_a_power_loss(
    before: int, point: int, tmp_path: pathlib.Path
) -> None:
    """A process was killed within a write; what the next one answers from must be durable."""

    def play(choose: disks.Choose) -> None:
        case = Case(tmp_path / "disk")
        opened, _ = case.open()
        for number in range(1, before + 1):
            opened.put(KEY, number)
        case.put_and_stop_at(opened, point, before + 1)
        answered_from = _read_after(case)
        case.disk.lose_power(choose)
        assert _read_after(case) == answered_from

    outcomes(tmp_path, play)


@pytest.mark.parametrize("point", POINTS)
def test_a_write_after_a_kill_survives_a_power_loss(point: int, tmp_path: pathlib.Path) -> None:
    """Folders that a killed process made, and did not sync, are there to stay before a vote is given."""

    def play(choose: disks.Choose) -> None:
        case = Case(tmp_path / "disk")
        opened, _ = case.open()
        case.put_and_stop_at(opened, point, "first")
        case.restart()
        opened, _ = case.open()
        opened.put(KEY, "second")
        case.disk.lose_power(choose)
        assert _read_after(case) == "second"

    outcomes(tmp_path, play)


@pytest.mark.parametrize(
    "path", ["register", f"register/{KEY.encode().hex()}"], ids=["the base", "the folder of a key"]
)
def test_a_folder_made_by_a_killed_process_is_synced_by_the_next(path: str, tmp_path: pathlib.Path) -> None:
    """The process ended between making the folder and syncing its parent."""

    def play(choose: disks.Choose) -> None:
        case = Case(tmp_path / "disk")
        if path != "register":
            case.open()
        (case.disk.root / path).mkdir()
        case.restart()
        opened, _ = case.open()
        opened.put(KEY, "vote")
        case.disk.lose_power(choose)
        assert _read_after(case) == "vote"

    assert outcomes(tmp_path, play) >= 1


@pytest.mark.parametrize(
    ("kind", "name"),
    [
        ("sync_file", "db.dat"),
        ("sync_file", "db.dir"),
        ("sync_folder", "tmp"),
        ("sync_folder", KEY.encode().hex()),
        ("sync_folder", "register"),
        ("sync_folder", "disk"),
    ],
)
def test_without_any_one_sync_some_outcome_loses_a_vote(kind: str, name: str, tmp_path: pathlib.Path) -> None:
    """Each sync is needed: with it left out, an acknowledged write is gone in some outcome."""
    lost = []

    def play(choose: disks.Choose) -> None:
        case = Case(tmp_path / "disk", (kind, name))
        opened, _ = case.open()
        opened.put(KEY, "vote")
        assert case.left_out
        case.disk.lose_power(choose)
        try:
            lost.append(_read_after(case) != "vote")
        except storage.StorageDamageError:
            lost.append(True)

    outcomes(tmp_path, play)
    assert any(lost)


@pytest.mark.parametrize("name", ["disk", "register", KEY.encode().hex()])
def test_without_any_one_sync_at_the_start_some_outcome_loses_a_vote(
    name: str, tmp_path: pathlib.Path
) -> None:
    """Each folder that a killed process did not sync must be synced by the next one."""
    lost = []

    def play(choose: disks.Choose) -> None:
        case = Case(tmp_path / "disk", ("sync_folder", name))
        opened, _ = case.open()
        opened.put(KEY, "vote")
        case.restart()
        _, records = case.open()
        assert records == {KEY: "vote"}
        case.disk.lose_power(choose)
        lost.append(_read_after(case) != "vote")

    outcomes(tmp_path, play)
    assert any(lost)


def test_a_process_end_is_no_power_loss(tmp_path: pathlib.Path) -> None:
    """What a killed process wrote and did not sync is there for the next, and may still be lost."""
    case = Case(tmp_path / "disk")
    (case.disk.root / "file").write_bytes(b"x")
    case.restart()
    assert (case.disk.root / "file").read_bytes() == b"x"
    case.disk.lose_power(lambda options: 0)
    assert not (case.disk.root / "file").exists()


def test_removed_and_renamed_names_are_kept_or_lost_one_by_one(tmp_path: pathlib.Path) -> None:
    """All eight outcomes of one removal and one rename, which is a removal and a new name."""
    seen: set[frozenset[str]] = set()

    def play(choose: disks.Choose) -> None:
        case = Case(tmp_path / "disk")
        for name in ("gone", "old"):
            (case.disk.root / name).write_bytes(b"x")
            case.disk.sync_file(case.disk.root / name)
        case.disk.sync_folder(case.disk.root)
        case.disk.drop(case.disk.root / "gone")
        case.disk.rename(case.disk.root / "old", case.disk.root / "new")
        case.disk.lose_power(choose)
        seen.add(frozenset(path.name for path in case.disk.root.iterdir()))

    assert outcomes(tmp_path, play) == 8
    assert len(seen) == 8


def test_a_write_that_failed_before_its_rename_is_known_not_to_stand(tmp_path: pathlib.Path) -> None:
    """A full disk leaves the older record in force, and the next write needs no new start."""
    case = Case(tmp_path / "disk")
    opened, _ = case.open()
    opened.put(KEY, 1)
    for step in ("sync_file", "sync_folder"):
        case.disk.step_errors = {step: "no space left on device"}
        with pytest.raises(storage.NotWrittenError):
            opened.put(KEY, 2)
        case.disk.step_errors = {}
        opened.put(KEY, 3)
        case.disk.lose_power(lambda options: 0)
        assert _read_after(case) == 3
        opened, _ = case.open()


def test_a_folder_whose_sync_failed_is_synced_by_the_next_write(tmp_path: pathlib.Path) -> None:
    """The folder is there, but nothing says that its name would last."""

    def play(choose: disks.Choose) -> None:
        case = Case(tmp_path / "disk")
        opened, _ = case.open()
        case.disk.step_errors = {"sync_folder": "input/output error"}
        with pytest.raises(storage.NotWrittenError):
            opened.put(KEY, "vote")
        case.disk.step_errors = {}
        opened.put(KEY, "vote")
        case.disk.lose_power(choose)
        assert _read_after(case) == "vote"

    outcomes(tmp_path, play)


def test_a_write_that_failed_at_its_rename_is_not_known_to_stand(tmp_path: pathlib.Path) -> None:
    case = Case(tmp_path / "disk")
    opened, _ = case.open()
    opened.put(KEY, 1)
    case.disk.step_errors = {"rename": "input/output error"}
    with pytest.raises(OSError) as caught:
        opened.put(KEY, 2)
    assert not isinstance(caught.value, storage.NotWrittenError)


def test_folders_that_are_no_key_are_told_as_damage(tmp_path: pathlib.Path) -> None:
    case = Case(tmp_path / "disk")
    case.open()
    (case.disk.root / "register" / "not-hex").mkdir()
    with pytest.raises(storage.StorageDamageError):
        case.open()


def test_a_real_disk_keeps_the_same_order_of_syncs(tmp_path: pathlib.Path) -> None:
    """The adapter for real disks takes the same steps, so what holds above holds for them."""
    disk: ports.Disk = real.RealDisk(tmp_path)
    opened = storage.Storage(disk, ports.NoFaultPoints())
    assert opened.open() == {}
    for number in range(5):
        opened.put(KEY, number)
    again = storage.Storage(disk, ports.NoFaultPoints())
    assert again.open() == {KEY: 4}
    assert len(list((tmp_path / "register" / KEY.encode().hex()).iterdir())) == 1
