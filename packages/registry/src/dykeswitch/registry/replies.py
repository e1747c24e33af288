"""Replies to operators: what the language asks, out of what this registry knows."""

import collections
import dataclasses
import datetime
import typing

import dykeswitch.language as language
import dykeswitch.layout as layouts
import dykeswitch.layout.pauses as pauses
import dykeswitch.outcome as outcome
import dykeswitch.timeline as timelines

SPANS_KEPT: typing.Final = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """An answer: columns and rows."""

    columns: tuple[str, ...]
    rows: list[list[typing.Any]]
    # What holds of the whole rather than of a row.
    summary: dict[str, typing.Any] = dataclasses.field(default_factory=dict)


def stamp(wall: float) -> str:
    """A moment as operators read it."""
    return datetime.datetime.fromtimestamp(wall, datetime.UTC).isoformat(timespec="milliseconds")


class Spans:
    """For each endpoint, a bounded history of when it was open or paused, and why."""

    def __init__(self, timeline: timelines.Timeline, wall: typing.Callable[[], float]) -> None:
        self._wall = wall
        self._clock = timeline.clock
        self._kept: dict[str, collections.deque[list[typing.Any]]] = {}
        timeline.on_change(self._on_entry)

    def _on_entry(self, entry: timelines.Entry) -> None:
        if entry.kind == timelines.MARK:
            name = entry.key.removeprefix("down:")
            if entry.fields.get("clear"):
                self._note(name, "open", str(entry.fields["reason"]), str(entry.fields["by"]), None)
                return
            left = entry.expiry - self._clock.now()
            until = stamp(self._wall() + left)
            self._note(name, "paused", str(entry.fields["reason"]), str(entry.fields["by"]), until)
        elif entry.kind == timelines.ENDPOINT:
            state = str(entry.fields["state"])
            self._note(entry.key, "open" if state == timelines.UP else "gone", state, "registry", None)

    def _note(self, name: str, state: str, reason: str, by: str, until: str | None) -> None:
        kept = self._kept.setdefault(name, collections.deque(maxlen=SPANS_KEPT))
        # Beats that change nothing are no news.
        if kept and kept[-1][2:5] == [state, reason, by] and state != "paused":
            return
        if state == "open" and reason == timelines.UP and kept and kept[-1][2] == "paused":
            return
        kept.append([name, stamp(self._wall()), state, reason, by, until])
        if len(self._kept) > 4096:
            del self._kept[next(iter(self._kept))]

    def of(self, names: typing.Collection[str]) -> list[list[typing.Any]]:
        return [row for name in sorted(names) for row in self._kept.get(name, ())]


# Registries hear of a change this far apart at the most, by their common time.
APART_S: typing.Final = 2.0


def one_history(books: typing.Sequence[typing.Sequence[list[typing.Any]]], many: int) -> Table:
    """The histories of several registries as one: the same change is told once, as first heard."""
    rows: list[list[typing.Any]] = []
    last: dict[tuple[typing.Any, ...], tuple[float, list[typing.Any]]] = {}
    for row in sorted((list(row) for book in books for row in book), key=lambda row: (row[0], row[1])):
        name, at, state, reason, by, until = row
        when = datetime.datetime.fromisoformat(at).timestamp()
        known = last.get((name, state, reason, by))
        if known is not None and when - known[0] < APART_S and known[1][6] < many:
            known[1][6] += 1
            continue
        fresh = [name, at, state, reason, by, until, 1]
        last[(name, state, reason, by)] = (when, fresh)
        rows.append(fresh)
    return Table(("endpoint", "at", "state", "reason", "by", "until", "heard by"), rows)


class Replies:
    """Replies the questions that need no change."""

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
        self.spans = Spans(timeline, wall)

    def _endpoints(self, ask: language.Show) -> list[timelines.Entry]:
        return [
            e
            for e in sorted(self._timeline.all(timelines.ENDPOINT), key=lambda e: e.key)
            if ask.wants("service", str(e.fields["service"]))
            and ask.wants("zone", str(e.fields.get("zone")))
            and ask.wants("endpoint", e.key)
        ]

    def names(self, ask: language.Show) -> list[str]:
        """The endpoints that a question is about."""
        return [e.key for e in self._endpoints(ask)]

    def standing(self, entry: timelines.Entry) -> list[list[typing.Any]]:
        """Every reason why an endpoint takes no traffic now: why, until, who, kind."""
        found: list[list[typing.Any]] = []
        wall = self._wall()
        for pause in self._planned():
            if pause.endpoint == entry.key and pause.is_active(wall):
                found.append([pause.reason, stamp(pause.ends), pause.by, f"planned {pause.name}"])
        state = entry.fields["state"]
        if state != timelines.UP:
            why = {timelines.LAPSED: "beats stopped", timelines.LEFT: "left"}.get(state, "displaced")
            until = "its next beat" if state == timelines.LAPSED else "never"
            found.append([why, until, "registry", "gone"])
        mark = self._marks.mark_of(entry.key)
        if mark is not None:
            left = mark.expiry - self._timeline.clock.now()
            found.append([mark.fields["reason"], stamp(wall + left), mark.fields["by"], "mark"])
        return found

    def show(self, ask: language.Show) -> Table | None:
        """The answer to a question about what is on the timeline."""
        if ask.subject == "paused":
            rows = [
                [e.key, e.fields["service"], e.fields.get("zone"), *why]
                for e in self._endpoints(ask)
                for why in self.standing(e)
            ]
            return Table(("endpoint", "service", "zone", "why", "until", "by", "kind"), rows)
        if ask.subject == "endpoints":
            rows = []
            for e in self._endpoints(ask):
                why = self.standing(e)
                state = "open" if not why else str(why[0][3])
                f = e.fields
                rows.append([e.key, f["service"], f["address"], f.get("zone"), f.get("burden"), state])
            return Table(("endpoint", "service", "address", "zone", "burden", "state"), rows)
        if ask.subject == "pauses":
            rows = [
                [p.name, p.endpoint, stamp(p.begins), stamp(p.ends), p.reason, p.by]
                for p in self._planned()
                if ask.wants("endpoint", p.endpoint)
            ]
            return Table(("pause", "endpoint", "from", "until", "why", "by"), rows)
        return self._show_layout(ask)

    def _show_layout(self, ask: language.Show) -> Table | None:
        layout = self._layout()
        if ask.subject == "services":
            rows = []
            for name, service in sorted((layout.services if layout else {}).items()):
                every = self._endpoints(language.Show("endpoints", (("service", name),)))
                alive = [e for e in every if e.fields["state"] == timelines.UP]
                clear = sum(1 for e in alive if not self.standing(e))
                if ask.wants("service", name):
                    rows.append([name, service.probe, len(alive), clear])
            return Table(("service", "probe", "endpoints", "open"), rows)
        if ask.subject == "rules":
            rows = [
                [r.name, r.host or "*", r.path, ",".join(sorted(r.methods)) or "*", r.service, r.writing]
                for r in (layout.rules if layout else [])
                if ask.wants("service", r.service)
            ]
            return Table(("rule", "host", "path", "methods", "service", "writing"), rows)
        return None

    def explain(self, ask: language.Explain) -> Table | outcome.Failure:
        """Step by step, why a request would go where it goes."""
        layout = self._layout()
        if layout is None:
            return outcome.failure("no_layout")
        rows: list[list[typing.Any]] = []
        rule = layout.match(ask.host, ask.path, ask.method)
        if rule is None:
            rows.append(["match", "no rule", f"nothing matches {ask.method} {ask.host or '*'}{ask.path}"])
            return Table(("step", "what", "why"), rows)
        rows.append(["match", rule.name, f"host {rule.host or '*'}, path {rule.path}"])
        kind = "writing" if rule.writes(ask.method) else "reading"
        told = "stated by the rule" if rule.writing is not None else f"told by {ask.method}"
        rows.append(["kind", kind, told])
        open_ones = []
        for entry in self._endpoints(language.Show("endpoints", (("service", rule.service),))):
            why = self.standing(entry)
            if why:
                rows.append(["passed over", entry.key, f"{why[0][0]}, until {why[0][1]}"])
            else:
                open_ones.append(entry)
        for entry in open_ones:
            load = entry.fields.get("burden", 0.0)
            rows.append(["may go to", entry.key, f"open, zone {entry.fields.get('zone')}, burden {load}"])
        if not open_ones:
            rows.append(["none open", rule.service, "the one whose mark ends first would be asked, if any"])
        return Table(("step", "what", "why"), rows)
