"""The endpoint table: beats in, lapses out, on the shared timeline."""

import dataclasses
import typing

import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.settings as settings
import dykeswitch.timeline as timelines

# Beats an endpoint may miss before it is taken for gone, and a half for the road.
MISSED: typing.Final = 3.5
INTERVAL_LEAST: typing.Final = 0.2
NAME_MOST: typing.Final = 128
# For how many beats an endpoint that only the register remembers is selected.
REMEMBERED: typing.Final = 1.5
# What the register remembers of an endpoint.
TABLE: typing.Final = ("service", "address", "zone", "interval", "slots")
# A told burden that moved by less is no news.
LOAD_STEP: typing.Final = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """What an endpoint says of itself."""

    name: str
    service: str
    address: str
    zone: str
    load: float
    interval_s: float
    leaving: bool
    # Still serving what it has, but nothing new is to come: it leaves as surely.
    draining: bool = False
    # Requests it works on at once, where it says so.
    slots: int | None = None
    # Rises with each beat, so that a late one is told by it.
    count: int | None = None
    # For how many seconds more it is slow, having just started.
    warm_s: float = 0.0


KEYS: typing.Final = (
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
COUNT_MOST: typing.Final = 2**53


def _whole(raw: dict[str, object], key: str, least: int, faults: list[str]) -> int | None:
    """An optional whole number of a beat."""
    found = raw.get(key)
    if found is None:
        return None
    if isinstance(found, bool) or not isinstance(found, int) or not least <= found < COUNT_MOST:
        faults.append(f"{key}: must be a whole number from {least}")
        return None
    return found


def read_heartbeat(raw: object) -> outcome.Success[Heartbeat] | outcome.Failure:
    """A beat out of JSON, or every fault in it."""
    if not isinstance(raw, dict):
        return outcome.failure("bad_beat", faults=("beat: must be an object",))
    faults: list[str] = []
    for key in raw:
        if key not in KEYS:
            faults.append(f"{key}: unknown key")
    leaving = raw.get("leaving", False)
    if not isinstance(leaving, bool):
        faults.append("leaving: must be true or false")
    draining = raw.get("draining", False)
    if not isinstance(draining, bool):
        faults.append("draining: must be true or false")
    slots, count = _whole(raw, "slots", 1, faults), _whole(raw, "count", 0, faults)
    warm = raw.get("warm_s", 0.0)
    if isinstance(warm, bool) or not isinstance(warm, (int, float)) or not 0 <= warm < 1e6:
        faults.append("warm_s: must be a number from 0")
        warm = 0.0
    for key in ("id", "service", "zone"):
        text = raw.get(key)
        # Who leaves need only say who it is.
        if text is None and leaving is True and key != "id":
            continue
        if not isinstance(text, str) or not 0 < len(text) <= NAME_MOST or not text.isprintable():
            faults.append(f"{key}: must be 1 to {NAME_MOST} letters")
    address = raw.get("address")
    if not (address is None and leaving is True):
        flaw = ports.address_fault(address) if isinstance(address, str) else "must be ip:port"
        if flaw:
            faults.append(f"address: {flaw}")
    load = raw.get("burden", 0.0)
    if isinstance(load, bool) or not isinstance(load, (int, float)) or not 0 <= load < 1e9:
        faults.append("burden: must be a number from 0")
    interval = raw.get("interval_s", 2.0)
    if isinstance(interval, bool) or not isinstance(interval, (int, float)) or not 0 < interval <= 60:
        faults.append("interval_s: must be a number over 0 and up to 60")
    if faults:
        return outcome.failure("bad_beat", faults=tuple(faults))
    return outcome.Success(
        Heartbeat(
            str(raw["id"]),
            str(raw.get("service", "")),
            str(address or ""),
            str(raw.get("zone", "")),
            float(load),
            max(INTERVAL_LEAST, float(interval)),
            bool(leaving),
            bool(draining),
            slots,
            count,
            float(warm),
        )
    )


class Endpoints:
    """Takes beats and lapses the silent."""

    def __init__(self, config: settings.Settings, clock: ports.Clock, timeline: timelines.Timeline) -> None:
        self._config = config
        self._clock = clock
        self._timeline = timeline
        # When we last saw a beat of an id, by whatever way it came.
        self._seen: dict[str, float] = {}
        self._own: dict[str, float] = {}
        # The highest count of beats heard of an id.
        self._counts: dict[str, int] = {}
        # Ids heard since the other registries were last told.
        self._fresh: set[str] = set()
        timeline.on_change(self._on_entry)

    def _on_entry(self, entry: timelines.Entry) -> None:
        if entry.kind != timelines.ENDPOINT:
            return
        now = self._clock.now()
        state = entry.fields["state"]
        if state == timelines.UP:
            self._seen[entry.key] = now
        elif state == timelines.LAPSED:
            heard = self._own.get(entry.key)
            # Another registry heard nothing, but we did: the endpoint is there.
            if heard is not None and now - heard < self._grace(entry):
                fields = {**entry.fields, "state": timelines.UP}
                self._timeline.write(timelines.ENDPOINT, entry.key, fields, self._config.forget_s)
        else:
            self._seen.pop(entry.key, None)
            self._own.pop(entry.key, None)
            self._counts.pop(entry.key, None)

    def _grace(self, entry: timelines.Entry) -> float:
        return float(entry.fields.get("interval", 2.0)) * MISSED

    def record_heartbeat(self, heartbeat: Heartbeat) -> outcome.Success[dict[str, object]] | outcome.Failure:
        """Take a beat; the reply says when to beat again."""
        old = self._timeline.get(timelines.ENDPOINT, heartbeat.name)
        if heartbeat.leaving or heartbeat.draining:
            # An id we never heard of may have been heard elsewhere: it leaves all the same.
            fields = dict(old.fields) if old is not None else self._fields(heartbeat, [0, ""])
            if fields["state"] not in timelines.FINAL_STATES:
                fields["state"] = timelines.LEFT
                self._timeline.write(timelines.ENDPOINT, heartbeat.name, fields, self._config.forget_s)
            return outcome.Success({"left": True})
        if old is not None and old.fields["state"] in timelines.FINAL_STATES:
            return outcome.failure("beat_gone", f"{heartbeat.name} {old.fields['state']}")
        now = self._clock.now()
        # One that was overtaken on its way says nothing of today.
        if heartbeat.count is not None:
            if heartbeat.count < self._counts.get(heartbeat.name, 0):
                return outcome.Success({"late": True})
            self._counts[heartbeat.name] = heartbeat.count
        moved = (
            old is None
            or old.fields["address"] != heartbeat.address
            or old.fields["service"] != heartbeat.service
        )
        fresh = moved or old is None or "remembered" in old.fields
        born = list(self._timeline.stamp()) if fresh or old is None else old.fields["born"]
        fields = self._fields(heartbeat, born)
        urgent = old is None or any(
            old.fields[k] != fields[k] for k in ("state", "service", "address", "zone")
        )
        self._own[heartbeat.name] = self._seen[heartbeat.name] = now
        self._fresh.add(heartbeat.name)
        # That it is there still is between registries; only what has changed goes to all, and
        # what would be forgotten for want of news.
        if urgent or old is None or self._worn(old, fields):
            self._timeline.write(timelines.ENDPOINT, heartbeat.name, fields, self._config.forget_s, urgent)
        return outcome.Success({"beat_again_s": min(heartbeat.interval_s, self._config.dead_after_s)})

    def _worn(self, old: timelines.Entry, fields: timelines.Fields) -> bool:
        """Whether an entry should be written again, though nothing urgent has changed."""
        if old.expiry - self._clock.now() < self._config.forget_s / 2 or "remembered" in old.fields:
            return True
        if old.fields.get("slots") != fields.get("slots"):
            return True
        return abs(float(old.fields.get("burden", 0.0)) - float(fields["burden"])) >= LOAD_STEP

    # What the register remembers, for the day when every machine forgets at once.

    def table(self) -> list[timelines.Fields]:
        """Every endpoint that beats, by name: what a start from nothing begins with."""
        found = []
        for entry in sorted(self._timeline.all(timelines.ENDPOINT), key=lambda e: e.key):
            if entry.fields["state"] == timelines.UP and "remembered" not in entry.fields:
                kept: timelines.Fields = {k: entry.fields[k] for k in TABLE if k in entry.fields}
                found.append({**kept, "id": entry.key})
        return found

    def remember(self, table: typing.Iterable[timelines.Fields]) -> int:
        """Take up endpoints that nobody has told of yet, for no longer than a beat and a half.

        Which of them left meanwhile is not known: a request names its endpoint, so that another
        one at the address refuses it, and who does not beat is forgotten again.
        """
        taken = 0
        for row in table:
            name = str(row["id"])
            if self._timeline.get(timelines.ENDPOINT, name) is not None:
                continue
            fields: timelines.Fields = {k: row[k] for k in TABLE if k in row}
            fields.update(state=timelines.UP, load=0.0, remembered=True, born=[0, self._timeline.name])
            span = float(fields.get("interval", 2.0)) * REMEMBERED
            if self._timeline.write(timelines.ENDPOINT, name, fields, span) is not None:
                taken += 1
        return taken

    def recently_heard(self) -> list[str]:
        """Ids heard since this was last asked."""
        fresh, self._fresh = sorted(self._fresh), set()
        return fresh

    def heard_elsewhere(self, names: typing.Iterable[str]) -> None:
        """Another registry heard these a moment ago."""
        now = self._clock.now()
        for name in names:
            if name in self._seen:
                self._seen[name] = now

    def _fields(self, heartbeat: Heartbeat, born: list[typing.Any]) -> timelines.Fields:
        return {
            "service": heartbeat.service,
            "address": heartbeat.address,
            "zone": heartbeat.zone,
            "burden": heartbeat.load,
            "interval": heartbeat.interval_s,
            "state": timelines.UP,
            "born": born,
            **({"slots": heartbeat.slots} if heartbeat.slots is not None else {}),
            **({"warm": heartbeat.warm_s} if heartbeat.warm_s else {}),
        }

    def expire_silent(self, whole: bool = True) -> list[str]:
        """Take the silent for gone; returns whom.

        Unless the whole of the cores is heard, only those that were ours to hear: the rest may
        beat to a core that can't tell us.
        """
        now = self._clock.now()
        up = [e for e in self._timeline.all(timelines.ENDPOINT) if e.fields["state"] == timelines.UP]
        if not whole:
            up = [e for e in up if e.key in self._own and self._own[e.key] >= self._seen.get(e.key, now)]
        silent = [e for e in up if now - self._seen.get(e.key, now) > self._grace(e)]
        # When nobody at all is heard, it is rather we who are cut off: judge no one.
        if len(silent) == len(up) and len(up) > 1:
            return []
        for entry in silent:
            fields = {**entry.fields, "state": timelines.LAPSED}
            self._timeline.write(timelines.ENDPOINT, entry.key, fields, self._config.forget_s)
        return [e.key for e in silent]

    def resumed(self) -> None:
        """After a freeze of our own, silence proves nothing: count from now."""
        now = self._clock.now()
        self._seen = dict.fromkeys(self._seen, now)
