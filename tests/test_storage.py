"""The storage after every outcome of a power loss, and after its process was killed.

A power loss keeps or loses each unsynced name independently, and each unsynced write survives, goes
missing or is torn. For one write of one key there are few enough outcomes to try all of them.
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
MAX_OUTCOMES: typing.Final = 20_000
KEY: typing.Final = "k"


class Stopped(BaseException):
    """The process ended at a fault point."""


class Chooser:
    """Makes the given choices, then always 0; records how many options each choice had."""

    def __init__(self, given: tuple[int, ...]) -> None:
        self._given = given
        self.choices_made: list[tuple[int, int]] = []

    def __call__(self, options: int) -> int:
        position = len(self.choices_made)
        choice = self._given[position] if position < len(self._given) else 0
        self.choices_made.append((choice, options))
        return choice

    def next_choices(self) -> tuple[int, ...] | None:
        """The next list of choices in order, or None after the last one."""
        choices_made = list(self.choices_made)
        while choices_made:
            choice, options = choices_made.pop()
            if choice + 1 < options:
                return (*(earlier for earlier, _ in choices_made), choice + 1)
        return None


class Case:
    """One simulated disk and the storage of a process that uses it."""

    def __init__(self, root: pathlib.Path, skipped_sync: tuple[str, str] | None = None) -> None:
        if root.exists():
            shutil.rmtree(root)
        root.mkdir()
        self.disk = disks.SimDisk(root, random.Random(1))
        self.fault_points = worlds.SimFaultPoints()
        self._skipped_sync = skipped_sync
        self.skipped_count = 0

    def open(self) -> tuple[storage.Storage, dict[str, typing.Any]]:
        """The storage of a process that starts, and the records that it read."""
        self._skip_sync()
        opened_storage = storage.Storage(self.disk, self.fault_points)
        return opened_storage, opened_storage.open()

    def _skip_sync(self) -> None:
        if self._skipped_sync is None:
            return
        kind, name = self._skipped_sync
        original = getattr(self.disk, kind)

        def sync(path: pathlib.Path) -> None:
            if path.name == name or (name == "tmp" and path.name.startswith("tmp")):
                self.skipped_count += 1
                return
            original(path)

        setattr(self.disk, kind, sync)

    def restart(self) -> None:
        self.disk = self.disk.reopen()

    def put_and_stop_at(self, opened_storage: storage.Storage, point: int, record: object) -> None:
        """Starts a write and ends the process at a fault point."""

        def stop() -> None:
            raise Stopped

        self.fault_points.armed[point] = stop
        with pytest.raises(Stopped):
            opened_storage.put(KEY, record)


def outcomes(root: pathlib.Path, play: typing.Callable[[disks.Choose], None]) -> int:
    """Plays a case once for each outcome of its power loss; returns the number of outcomes."""
    given: tuple[int, ...] | None = ()
    count = 0
    while given is not None:
        chooser = Chooser(given)
        play(chooser)
        given = chooser.next_choices()
        count += 1
        assert count < MAX_OUTCOMES
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
    """An acknowledged write survives; the write in progress is there completely or not at all."""

    def play(choose: disks.Choose) -> None:
        case = Case(tmp_path / "disk")
        opened_storage, _ = case.open()
        for number in range(1, before + 1):
            opened_storage.put(KEY, number)
        case.put_and_stop_at(opened_storage, point, before + 1)
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
    """After a process was killed during a write, whatever the next one reads must be durable."""

    def play(choose: disks.Choose) -> None:
        case = Case(tmp_path / "disk")
        opened_storage, _ = case.open()
        for number in range(1, before + 1):
            opened_storage.put(KEY, number)
        case.put_and_stop_at(opened_storage, point, before + 1)
        answered_from = _read_after(case)
        case.disk.lose_power(choose)
        assert _read_after(case) == answered_from

    outcomes(tmp_path, play)


@pytest.mark.parametrize("point", POINTS)
def test_a_write_after_a_kill_survives_a_power_loss(point: int, tmp_path: pathlib.Path) -> None:
    """Directories that a killed process created but did not sync are durable before the next vote."""

    def play(choose: disks.Choose) -> None:
        case = Case(tmp_path / "disk")
        opened_storage, _ = case.open()
        case.put_and_stop_at(opened_storage, point, "first")
        case.restart()
        opened_storage, _ = case.open()
        opened_storage.put(KEY, "second")
        case.disk.lose_power(choose)
        assert _read_after(case) == "second"

    outcomes(tmp_path, play)


@pytest.mark.parametrize(
    "path", ["register", f"register/{KEY.encode().hex()}"], ids=["the base", "the folder of a key"]
)
def test_a_folder_made_by_a_killed_process_is_synced_by_the_next(path: str, tmp_path: pathlib.Path) -> None:
    """The process ended between creating the directory and syncing its parent."""

    def play(choose: disks.Choose) -> None:
        case = Case(tmp_path / "disk")
        if path != "register":
            case.open()
        (case.disk.root / path).mkdir()
        case.restart()
        opened_storage, _ = case.open()
        opened_storage.put(KEY, "vote")
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
    """Each sync is needed: without it, some outcome loses an acknowledged write."""
    lost = []

    def play(choose: disks.Choose) -> None:
        case = Case(tmp_path / "disk", (kind, name))
        opened_storage, _ = case.open()
        opened_storage.put(KEY, "vote")
        assert case.skipped_count
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
    """Each directory that a killed process did not sync must be synced by the next one."""
    lost = []

    def play(choose: disks.Choose) -> None:
        case = Case(tmp_path / "disk", ("sync_folder", name))
        opened_storage, _ = case.open()
        opened_storage.put(KEY, "vote")
        case.restart()
        _, records = case.open()
        assert records == {KEY: "vote"}
        case.disk.lose_power(choose)
        lost.append(_read_after(case) != "vote")

    outcomes(tmp_path, play)
    assert any(lost)


def test_a_process_end_is_no_power_loss(tmp_path: pathlib.Path) -> None:
    """Unsynced writes of a killed process are visible to the next one, and may still be lost."""
    case = Case(tmp_path / "disk")
    (case.disk.root / "file").write_bytes(b"x")
    case.restart()
    assert (case.disk.root / "file").read_bytes() == b"x"
    case.disk.lose_power(lambda options: 0)
    assert not (case.disk.root / "file").exists()


def test_removed_and_renamed_names_are_kept_or_lost_one_by_one(tmp_path: pathlib.Path) -> None:
    """There are eight outcomes of a removal and a rename, as a rename is a removal and a new name."""
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
    """On a full disk the older record stays in force, and the next write needs no restart."""
    case = Case(tmp_path / "disk")
    opened_storage, _ = case.open()
    opened_storage.put(KEY, 1)
    for step in ("sync_file", "sync_folder"):
        case.disk.step_errors = {step: "no space left on device"}
        with pytest.raises(storage.NotWrittenError):
            opened_storage.put(KEY, 2)
        case.disk.step_errors = {}
        opened_storage.put(KEY, 3)
        case.disk.lose_power(lambda options: 0)
        assert _read_after(case) == 3
        opened_storage, _ = case.open()


def test_a_folder_whose_sync_failed_is_synced_by_the_next_write(tmp_path: pathlib.Path) -> None:
    """The directory exists after the failure, but its name may not be durable."""

    def play(choose: disks.Choose) -> None:
        case = Case(tmp_path / "disk")
        opened_storage, _ = case.open()
        case.disk.step_errors = {"sync_folder": "input/output error"}
        with pytest.raises(storage.NotWrittenError):
            opened_storage.put(KEY, "vote")
        case.disk.step_errors = {}
        opened_storage.put(KEY, "vote")
        case.disk.lose_power(choose)
        assert _read_after(case) == "vote"

    outcomes(tmp_path, play)


def test_a_write_that_failed_at_its_rename_is_not_known_to_stand(tmp_path: pathlib.Path) -> None:
    case = Case(tmp_path / "disk")
    opened_storage, _ = case.open()
    opened_storage.put(KEY, 1)
    case.disk.step_errors = {"rename": "input/output error"}
    with pytest.raises(OSError) as caught:
        opened_storage.put(KEY, 2)
    assert not isinstance(caught.value, storage.NotWrittenError)


def test_folders_that_are_no_key_are_told_as_damage(tmp_path: pathlib.Path) -> None:
    case = Case(tmp_path / "disk")
    case.open()
    (case.disk.root / "register" / "not-hex").mkdir()
    with pytest.raises(storage.StorageDamageError):
        case.open()


def test_a_real_disk_keeps_the_same_order_of_syncs(tmp_path: pathlib.Path) -> None:
    """The adapter for real disks makes the same calls, so that the results above apply to it."""
    disk: ports.Disk = real.RealDisk(tmp_path)
    opened_storage = storage.Storage(disk, ports.NoFaultPoints())
    assert opened_storage.open() == {}
    for number in range(5):
        opened_storage.put(KEY, number)
    reopened = storage.Storage(disk, ports.NoFaultPoints())
    assert reopened.open() == {KEY: 4}
    assert len(list((tmp_path / "register" / KEY.encode().hex()).iterdir())) == 1
