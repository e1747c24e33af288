"""Replies to operators' queries, from what this registry knows."""

import collections
import dataclasses
import datetime
import typing

import dykeswitch.language as language
import dykeswitch.layout as layouts
import dykeswitch.layout.pauses as pauses
import dykeswitch.outcome as outcome
import dykeswitch.timeline as timelines

MAX_HISTORY_ENTRIES: typing.Final = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """The reply to a query: columns and rows."""

    columns: tuple[str, ...]
    rows: list[list[typing.Any]]
    # Values that apply to the whole table rather than to one row.
    summary: dict[str, typing.Any] = dataclasses.field(default_factory=dict)


def format_time(wall: float) -> str:
    """A wall-clock time in the format shown to operators."""
    return datetime.datetime.fromtimestamp(wall, datetime.UTC).isoformat(timespec="milliseconds")


class EndpointHistory:
    """For each endpoint, a bounded history of when it was open or paused, and why."""

    def __init__(self, timeline: timelines.Timeline, wall: typing.Callable[[], float]) -> None:
        self._wall = wall
        self._clock = timeline.clock
        self._entries: dict[str, collections.deque[list[typing.Any]]] = {}
        timeline.on_change(self._on_entry)

    def _on_entry(self, entry: timelines.Entry) -> None:
        if entry.kind == timelines.MARK:
            name = entry.key.removeprefix("down:")
            if entry.fields.get("clear"):
                self._note(name, "open", str(entry.fields["reason"]), str(entry.fields["by"]), None)
                return
            left = entry.expiry - self._clock.now()
            until = format_time(self._wall() + left)
            self._note(name, "paused", str(entry.fields["reason"]), str(entry.fields["by"]), until)
        elif entry.kind == timelines.ENDPOINT:
            state = str(entry.fields["state"])
            self._note(entry.key, "open" if state == timelines.UP else "gone", state, "registry", None)

    def _note(self, name: str, state: str, reason: str, by: str, until: str | None) -> None:
        entries = self._entries.setdefault(name, collections.deque(maxlen=MAX_HISTORY_ENTRIES))
        # Entries that change nothing are not recorded.
        if entries and entries[-1][2:5] == [state, reason, by] and state != "paused":
            return
        if state == "open" and reason == timelines.UP and entries and entries[-1][2] == "paused":
            return
        entries.append([name, format_time(self._wall()), state, reason, by, until])
        if len(self._entries) > 4096:
            del self._entries[next(iter(self._entries))]

    def of(self, names: typing.Collection[str]) -> list[list[typing.Any]]:
        return [row for name in sorted(names) for row in self._entries.get(name, ())]


# Registries record the same change at most this far apart, by their shared clock.
SAME_CHANGE_WINDOW_S: typing.Final = 2.0


def merge_histories(
    histories: typing.Sequence[typing.Sequence[list[typing.Any]]], registry_count: int
) -> Table:
    """Merge the histories of several registries; each change is listed once, at its earliest time."""
    rows: list[list[typing.Any]] = []
    last: dict[tuple[typing.Any, ...], tuple[float, list[typing.Any]]] = {}
    for row in sorted(
        (list(row) for history in histories for row in history), key=lambda row: (row[0], row[1])
    ):
        name, at, state, reason, by, until = row
        when = datetime.datetime.fromisoformat(at).timestamp()
        known = last.get((name, state, reason, by))
        if known is not None and when - known[0] < SAME_CHANGE_WINDOW_S and known[1][6] < registry_count:
            known[1][6] += 1
            continue
        merged = [name, at, state, reason, by, until, 1]
        last[(name, state, reason, by)] = (when, merged)
        rows.append(merged)
    return Table(("endpoint", "at", "state", "reason", "by", "until", "heard by"), rows)


class Replies:
    """Answers queries that change nothing."""

    def __init__(
        self,
        timeline: timelines.Timeline,
        marks: timelines.Marks,
        wall: typing.Callable[[], float],
        layout: typing.Callable[[], layouts.Layout | None],
        planned: typing.Callable[[], list[pauses.Pause]],
    ) -> None:
        self._timeline = timeline
        self._marks = marks
        self._wall = wall
        self._layout = layout
        self._planned = planned
        self.history = EndpointHistory(timeline, wall)

    def _endpoints(self, command: language.Show) -> list[timelines.Entry]:
        return [
            entry
            for entry in sorted(self._timeline.all(timelines.ENDPOINT), key=lambda entry: entry.key)
            if command.wants("service", str(entry.fields["service"]))
            and command.wants("zone", str(entry.fields.get("zone")))
            and command.wants("endpoint", entry.key)
        ]

    def names(self, command: language.Show) -> list[str]:
        """The names of the endpoints that a query is about."""
        return [entry.key for entry in self._endpoints(command)]

    def closed_reasons(self, entry: timelines.Entry) -> list[list[typing.Any]]:
        """Every reason why an endpoint takes no traffic now: reason, until when, set by whom, kind."""
        reasons: list[list[typing.Any]] = []
        wall = self._wall()
        for pause in self._planned():
            if pause.endpoint == entry.key and pause.is_active(wall):
                reasons.append([pause.reason, format_time(pause.ends), pause.by, f"planned {pause.name}"])
        state = entry.fields["state"]
        if state != timelines.UP:
            reason = {timelines.LAPSED: "beats stopped", timelines.LEFT: "left"}.get(state, "displaced")
            until = "its next beat" if state == timelines.LAPSED else "never"
            reasons.append([reason, until, "registry", "gone"])
        mark = self._marks.mark_of(entry.key)
        if mark is not None:
            left = mark.expiry - self._timeline.clock.now()
            reasons.append([mark.fields["reason"], format_time(wall + left), mark.fields["by"], "mark"])
        return reasons

    def show(self, command: language.Show) -> Table | None:
        """The reply to a query about the timeline or the layout; None for other subjects."""
        if command.subject == "paused":
            rows = [
                [entry.key, entry.fields["service"], entry.fields.get("zone"), *reason]
                for entry in self._endpoints(command)
                for reason in self.closed_reasons(entry)
            ]
            return Table(("endpoint", "service", "zone", "why", "until", "by", "kind"), rows)
        if command.subject == "endpoints":
            rows = []
            for entry in self._endpoints(command):
                reasons = self.closed_reasons(entry)
                state = "open" if not reasons else str(reasons[0][3])
                fields = entry.fields
                rows.append(
                    [
                        entry.key,
                        fields["service"],
                        fields["address"],
                        fields.get("zone"),
                        fields.get("burden"),
                        state,
                    ]
                )
            return Table(("endpoint", "service", "address", "zone", "burden", "state"), rows)
        if command.subject == "pauses":
            rows = [
                [
                    pause.name,
                    pause.endpoint,
                    format_time(pause.begins),
                    format_time(pause.ends),
                    pause.reason,
                    pause.by,
                ]
                for pause in self._planned()
                if command.wants("endpoint", pause.endpoint)
            ]
            return Table(("pause", "endpoint", "from", "until", "why", "by"), rows)
        return self._show_layout(command)

    def _show_layout(self, command: language.Show) -> Table | None:
        layout = self._layout()
        if command.subject == "services":
            rows = []
            for name, service in sorted((layout.services if layout else {}).items()):
                known = self._endpoints(language.Show("endpoints", (("service", name),)))
                up = [entry for entry in known if entry.fields["state"] == timelines.UP]
                open_count = sum(1 for entry in up if not self.closed_reasons(entry))
                if command.wants("service", name):
                    rows.append([name, service.probe, len(up), open_count])
            return Table(("service", "probe", "endpoints", "open"), rows)
        if command.subject == "rules":
            rows = [
                [
                    rule.name,
                    rule.host or "*",
                    rule.path,
                    ",".join(sorted(rule.methods)) or "*",
                    rule.service,
                    rule.writing,
                ]
                for rule in (layout.rules if layout else [])
                if command.wants("service", rule.service)
            ]
            return Table(("rule", "host", "path", "methods", "service", "writing"), rows)
        return None

    def explain(self, command: language.Explain) -> Table | outcome.Failure:
        """Explain step by step how a request would be routed."""
        layout = self._layout()
        if layout is None:
            return outcome.failure("no_layout")
        rows: list[list[typing.Any]] = []
        rule = layout.match(command.host, command.path, command.method)
        if rule is None:
            rows.append(
                ["match", "no rule", f"no rule matches {command.method} {command.host or '*'}{command.path}"]
            )
            return Table(("step", "what", "why"), rows)
        rows.append(["match", rule.name, f"host {rule.host or '*'}, path {rule.path}"])
        kind = "writing" if rule.writes(command.method) else "reading"
        origin = (
            "stated by the rule" if rule.writing is not None else f"derived from the method {command.method}"
        )
        rows.append(["kind", kind, origin])
        open_endpoints = []
        for entry in self._endpoints(language.Show("endpoints", (("service", rule.service),))):
            reasons = self.closed_reasons(entry)
            if reasons:
                rows.append(["passed over", entry.key, f"{reasons[0][0]}, until {reasons[0][1]}"])
            else:
                open_endpoints.append(entry)
        for entry in open_endpoints:
            load = entry.fields.get("burden", 0.0)
            rows.append(["may go to", entry.key, f"open, zone {entry.fields.get('zone')}, burden {load}"])
        if not open_endpoints:
            rows.append(
                ["none open", rule.service, "the endpoint whose mark expires first would be tried, if any"]
            )
        return Table(("step", "what", "why"), rows)
