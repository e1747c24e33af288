"""The endpoint table: applies heartbeats and expires silent endpoints, on the shared timeline."""

import dataclasses
import typing

import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.settings as settings
import dykeswitch.timeline as timelines

# After how many heartbeat intervals of silence an endpoint lapses: three missed heartbeats, and half
# an interval for network delay.
LAPSE_INTERVALS: typing.Final = 3.5
MIN_INTERVAL_S: typing.Final = 0.2
MAX_NAME_LENGTH: typing.Final = 128
# For how many heartbeat intervals an endpoint restored from the register is selected without a heartbeat.
REMEMBERED_INTERVALS: typing.Final = 1.5
# The fields of an endpoint that are saved in the register.
TABLE_FIELDS: typing.Final = ("service", "address", "zone", "interval", "slots")
# A smaller change of the reported load is not propagated.
MIN_LOAD_CHANGE: typing.Final = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """What an endpoint reports about itself."""

    name: str
    service: str
    address: str
    zone: str
    load: float
    interval_s: float
    leaving: bool
    # It finishes its current requests but takes no new ones; treated like leaving.
    draining: bool = False
    # How many requests it works on concurrently, if it reports that.
    slots: int | None = None
    # Increases with each heartbeat, so that one that arrives out of order is recognized.
    count: int | None = None
    # For how many more seconds it is slow because it has just started.
    warm_s: float = 0.0


HEARTBEAT_KEYS: typing.Final = (
    "id",
    "service",
    "address",
    "zone",
    "burden",
    "interval_s",
    "leaving",
    "draining",
    "slots",
    "count",
    "warm_s",
)
MAX_COUNT: typing.Final = 2**53


def _optional_integer(raw: dict[str, object], key: str, minimum: int, faults: list[str]) -> int | None:
    """Read an optional integer of a heartbeat; append any fault to `faults`."""
    value = raw.get(key)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value < MAX_COUNT:
        faults.append(f"{key}: must be an integer of at least {minimum}")
        return None
    return value


def read_heartbeat(raw: object) -> outcome.Success[Heartbeat] | outcome.Failure:
    """Read a heartbeat from decoded JSON; a failure lists every fault in it."""
    if not isinstance(raw, dict):
        return outcome.failure("bad_beat", faults=("heartbeat: must be an object",))
    faults: list[str] = []
    for key in raw:
        if key not in HEARTBEAT_KEYS:
            faults.append(f"{key}: unknown key")
    leaving = raw.get("leaving", False)
    if not isinstance(leaving, bool):
        faults.append("leaving: must be true or false")
    draining = raw.get("draining", False)
    if not isinstance(draining, bool):
        faults.append("draining: must be true or false")
    slots, count = _optional_integer(raw, "slots", 1, faults), _optional_integer(raw, "count", 0, faults)
    warm = raw.get("warm_s", 0.0)
    if isinstance(warm, bool) or not isinstance(warm, (int, float)) or not 0 <= warm < 1e6:
        faults.append("warm_s: must be a number of at least 0")
        warm = 0.0
    for key in ("id", "service", "zone"):
        text = raw.get(key)
        # A leaving endpoint need only give its id.
        if text is None and leaving is True and key != "id":
            continue
        if not isinstance(text, str) or not 0 < len(text) <= MAX_NAME_LENGTH or not text.isprintable():
            faults.append(f"{key}: must be 1 to {MAX_NAME_LENGTH} printable characters")
    address = raw.get("address")
    if not (address is None and leaving is True):
        address_error = ports.address_fault(address) if isinstance(address, str) else "must be ip:port"
        if address_error:
            faults.append(f"address: {address_error}")
    load = raw.get("burden", 0.0)
    if isinstance(load, bool) or not isinstance(load, (int, float)) or not 0 <= load < 1e9:
        faults.append("burden: must be a number of at least 0")
    interval = raw.get("interval_s", 2.0)
    if isinstance(interval, bool) or not isinstance(interval, (int, float)) or not 0 < interval <= 60:
        faults.append("interval_s: must be a number above 0 and at most 60")
    if faults:
        return outcome.failure("bad_beat", faults=tuple(faults))
    return outcome.Success(
        Heartbeat(
            str(raw["id"]),
            str(raw.get("service", "")),
            str(address or ""),
            str(raw.get("zone", "")),
            float(load),
            max(MIN_INTERVAL_S, float(interval)),
            bool(leaving),
            bool(draining),
            slots,
            count,
            float(warm),
        )
    )


class Endpoints:
    """Records heartbeats, and expires endpoints that have fallen silent."""

    def __init__(self, config: settings.Settings, clock: ports.Clock, timeline: timelines.Timeline) -> None:
        self._config = config
        self._clock = clock
        self._timeline = timeline
        # When a heartbeat of each endpoint was last known to have arrived, here or at another registry.
        self._last_seen: dict[str, float] = {}
        # When each endpoint last sent a heartbeat to this registry.
        self._last_seen_here: dict[str, float] = {}
        # The highest heartbeat count received from each endpoint.
        self._last_counts: dict[str, int] = {}
        # Endpoints heard since the last report to the other registries.
        self._newly_heard: set[str] = set()
        timeline.on_change(self._on_entry)

    def _on_entry(self, entry: timelines.Entry) -> None:
        if entry.kind != timelines.ENDPOINT:
            return
        now = self._clock.now()
        state = entry.fields["state"]
        if state == timelines.UP:
            self._last_seen[entry.key] = now
        elif state == timelines.LAPSED:
            heard_at = self._last_seen_here.get(entry.key)
            # Another registry expired it for silence, but it sent heartbeats here: it is still up.
            if heard_at is not None and now - heard_at < self._silence_limit_s(entry):
                fields = {**entry.fields, "state": timelines.UP}
                self._timeline.write(timelines.ENDPOINT, entry.key, fields, self._config.forget_s)
        else:
            self._last_seen.pop(entry.key, None)
            self._last_seen_here.pop(entry.key, None)
            self._last_counts.pop(entry.key, None)

    def _silence_limit_s(self, entry: timelines.Entry) -> float:
        return float(entry.fields.get("interval", 2.0)) * LAPSE_INTERVALS

    def record_heartbeat(self, heartbeat: Heartbeat) -> outcome.Success[dict[str, object]] | outcome.Failure:
        """Record a heartbeat; the reply says when to send the next one."""
        old = self._timeline.get(timelines.ENDPOINT, heartbeat.name)
        if heartbeat.leaving or heartbeat.draining:
            # An endpoint unknown here may be known to another registry, so its leaving is recorded too.
            fields = dict(old.fields) if old is not None else self._fields(heartbeat, [0, ""])
            if fields["state"] not in timelines.FINAL_STATES:
                fields["state"] = timelines.LEFT
                self._timeline.write(timelines.ENDPOINT, heartbeat.name, fields, self._config.forget_s)
            return outcome.Success({"left": True})
        if old is not None and old.fields["state"] in timelines.FINAL_STATES:
            return outcome.failure("beat_gone", f"{heartbeat.name} {old.fields['state']}")
        now = self._clock.now()
        # A heartbeat overtaken by a later one is out of date, and is ignored.
        if heartbeat.count is not None:
            if heartbeat.count < self._last_counts.get(heartbeat.name, 0):
                return outcome.Success({"late": True})
            self._last_counts[heartbeat.name] = heartbeat.count
        moved = (
            old is None
            or old.fields["address"] != heartbeat.address
            or old.fields["service"] != heartbeat.service
        )
        is_new = moved or old is None or "remembered" in old.fields
        created = list(self._timeline.stamp()) if is_new or old is None else old.fields["born"]
        fields = self._fields(heartbeat, created)
        urgent = old is None or any(
            old.fields[k] != fields[k] for k in ("state", "service", "address", "zone")
        )
        self._last_seen_here[heartbeat.name] = self._last_seen[heartbeat.name] = now
        self._newly_heard.add(heartbeat.name)
        # That an endpoint is still up is shared between registries only. The timeline, which goes to
        # every member, is written when something changed or when the entry would soon expire.
        if urgent or old is None or self._needs_refresh(old, fields):
            self._timeline.write(timelines.ENDPOINT, heartbeat.name, fields, self._config.forget_s, urgent)
        return outcome.Success({"beat_again_s": min(heartbeat.interval_s, self._config.dead_after_s)})

    def _needs_refresh(self, old: timelines.Entry, fields: timelines.Fields) -> bool:
        """Whether to write an entry again although nothing urgent has changed."""
        if old.expiry - self._clock.now() < self._config.forget_s / 2 or "remembered" in old.fields:
            return True
        if old.fields.get("slots") != fields.get("slots"):
            return True
        return abs(float(old.fields.get("burden", 0.0)) - float(fields["burden"])) >= MIN_LOAD_CHANGE

    # The endpoint table saved in the register, for the case that all machines lose their memory at once.

    def table(self) -> list[timelines.Fields]:
        """Every endpoint confirmed by heartbeats, by name: the table that a cold start restores."""
        rows = []
        for entry in sorted(self._timeline.all(timelines.ENDPOINT), key=lambda e: e.key):
            if entry.fields["state"] == timelines.UP and "remembered" not in entry.fields:
                kept: timelines.Fields = {k: entry.fields[k] for k in TABLE_FIELDS if k in entry.fields}
                rows.append({**kept, "id": entry.key})
        return rows

    def restore(self, table: typing.Iterable[timelines.Fields]) -> int:
        """Restore saved endpoints that are not known yet, for one and a half heartbeat intervals.

        Some of them may have left since the table was saved. That is safe: a request names its
        endpoint, so that a different one at the same address refuses it, and an endpoint that
        sends no heartbeat expires again. Returns how many were added.
        """
        added = 0
        for row in table:
            name = str(row["id"])
            if self._timeline.get(timelines.ENDPOINT, name) is not None:
                continue
            fields: timelines.Fields = {k: row[k] for k in TABLE_FIELDS if k in row}
            fields.update(state=timelines.UP, load=0.0, remembered=True, born=[0, self._timeline.name])
            duration_s = float(fields.get("interval", 2.0)) * REMEMBERED_INTERVALS
            if self._timeline.write(timelines.ENDPOINT, name, fields, duration_s) is not None:
                added += 1
        return added

    def recently_heard(self) -> list[str]:
        """Return the endpoints heard since the previous call."""
        names, self._newly_heard = sorted(self._newly_heard), set()
        return names

    def heard_elsewhere(self, names: typing.Iterable[str]) -> None:
        """Record that another registry has just heard these endpoints."""
        now = self._clock.now()
        for name in names:
            if name in self._last_seen:
                self._last_seen[name] = now

    def _fields(self, heartbeat: Heartbeat, created: list[typing.Any]) -> timelines.Fields:
        return {
            "service": heartbeat.service,
            "address": heartbeat.address,
            "zone": heartbeat.zone,
            "burden": heartbeat.load,
            "interval": heartbeat.interval_s,
            "state": timelines.UP,
            "born": created,
            **({"slots": heartbeat.slots} if heartbeat.slots is not None else {}),
            **({"warm": heartbeat.warm_s} if heartbeat.warm_s else {}),
        }

    def expire_silent(self, all_cores_heard: bool = True) -> list[str]:
        """Mark silent endpoints as lapsed, and return their names.

        Unless all cores are heard, only endpoints that last sent their heartbeats here are
        considered: the others may send them to a core that can't reach this one.
        """
        now = self._clock.now()
        up = [e for e in self._timeline.all(timelines.ENDPOINT) if e.fields["state"] == timelines.UP]
        if not all_cores_heard:
            up = [
                e
                for e in up
                if e.key in self._last_seen_here
                and self._last_seen_here[e.key] >= self._last_seen.get(e.key, now)
            ]
        silent = [e for e in up if now - self._last_seen.get(e.key, now) > self._silence_limit_s(e)]
        # If no endpoint at all is heard, this registry is more likely cut off itself: expire none.
        if len(silent) == len(up) and len(up) > 1:
            return []
        for entry in silent:
            fields = {**entry.fields, "state": timelines.LAPSED}
            self._timeline.write(timelines.ENDPOINT, entry.key, fields, self._config.forget_s)
        return [e.key for e in silent]

    def resumed(self) -> None:
        """Restart all silence timers, since silence during a freeze of this process proves nothing."""
        now = self._clock.now()
        self._last_seen = dict.fromkeys(self._last_seen, now)
