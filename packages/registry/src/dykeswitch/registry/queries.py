"""The operators' query commands: each sentence of the language and what answers it."""

import typing

import dykeswitch.frames as frames
import dykeswitch.language as language
import dykeswitch.layout.documents as documents
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.registry.components as components
import dykeswitch.registry.member_calls as member_calls
import dykeswitch.registry.planned as planned
import dykeswitch.registry.replies as replies
import dykeswitch.registry.votes as votes
import dykeswitch.timeline as timelines

LOAN_COLUMNS: typing.Final = (
    "service",
    "part",
    "lender",
    "fence",
    "borrowers",
    "lent",
    "out",
    "of",
    "waits s",
)


class Queries:
    """Answers the sentences of the operators' language."""

    def __init__(
        self, parts: components.Components, members: member_calls.MemberCalls, pauses: planned.PlannedPauses
    ) -> None:
        self._parts = parts
        self._members = members
        self._pauses = pauses

    async def answer(self, ask: language.Command, by: str) -> replies.Table | outcome.Failure:
        """The table that a sentence asks for, after the change that it orders."""
        if isinstance(ask, language.Explain):
            return self._parts.replies.explain(ask)
        if isinstance(ask, language.Trail):
            return await self._trail(ask.exchange)
        if isinstance(ask, language.Pause):
            return await self._pauses.add(ask, by)
        if isinstance(ask, language.End):
            return await self._pauses.end(ask.pause)
        return await self._show(ask)

    async def _show(self, ask: language.Show) -> replies.Table | outcome.Failure:
        if ask.subject == "pauses":
            # Planned pauses are told from a majority, not from memory.
            failure = await self._parts.publisher.read_documents()
            if failure is not None:
                return failure
        if ask.subject == "history":
            return await self._history(ask)
        if ask.subject == "loans":
            return await self._loans(ask)
        if ask.subject == "votes":
            return await votes.report(self._parts.reconfiguration, self._parts.proposer, ask)
        if ask.subject == "proxies":
            await self._hear_of_proxies()
            return self._proxies(ask)
        if ask.subject == "duties":
            return self._duties()
        if ask.subject == "layout":
            return self._layout()
        return self._parts.replies.show(ask) or self._member_table()

    async def _history(self, ask: language.Show) -> replies.Table:
        """Every registry's history as one: what one missed, or forgot over a start, others tell."""
        names = self._parts.replies.names(ask)
        pages = await self._members.ask_others("spans", {"names": names})
        books = [self._parts.replies.spans.of(names), *(page["rows"] for page in pages)]
        return replies.one_history(books, 1 + len(pages))

    async def _loans(self, ask: language.Show) -> replies.Table:
        """Every lender's book: what of each service's floor is lent, and what may still be spent."""
        pages = await self._members.ask_others("loans", {})
        books = [self._parts.lender.rows(), *(page["rows"] for page in pages)]
        found = [row for book in books for row in book if ask.wants("service", str(row[0]))]
        return replies.Table(LOAN_COLUMNS, sorted(found))

    async def _trail(self, name: str) -> replies.Table | outcome.Failure:
        """Ask the proxy that carried an exchange what it did; its name begins with the proxy's."""
        parts = self._parts
        await self._hear_of_proxies()
        entry = parts.timeline.get(timelines.PROXY, name.rsplit("-", 2)[0])
        if entry is None or "spot" not in entry.fields:
            return outcome.failure("no_such", f"no living proxy carried {name}")
        ask: frames.Body = {"exchange": name}
        result = await parts.call_client.call(
            ports.address_of(entry.fields["spot"]), "exchange", ask, parts.config.call_timeout_s
        )
        if isinstance(result, outcome.Failure):
            return result
        rows = [[round(at * 1000, 1), what, why] for at, what, why in result.value["trail"]]
        return replies.Table(("after ms", "what", "why"), rows)

    async def _hear_of_proxies(self) -> None:
        """Take up what proxies said of themselves to the registries that they poll, which are not all."""
        for page in await self._members.ask_others("proxies", {}):
            self._parts.timeline.merge(page["items"])

    def _proxies(self, ask: language.Show) -> replies.Table:
        fields = ("zone", "web", "layout", "ready")
        rows = [
            [entry.key, *(entry.fields[field] for field in fields), entry.fields.get("extra", "")]
            for entry in sorted(self._parts.timeline.all(timelines.PROXY), key=lambda entry: entry.key)
            if ask.wants("zone", str(entry.fields["zone"]))
        ]
        return replies.Table(("proxy", "zone", "address", "layout", "ready", "extra"), rows)

    def _duties(self) -> replies.Table:
        held = sorted(self._parts.duties.owners().items())
        return replies.Table(
            ("slot", "owner", "fence"), [[slot, owner, fence] for slot, (owner, fence) in held]
        )

    def _layout(self) -> replies.Table:
        publisher = self._parts.publisher
        version = publisher.documents.version(documents.LAYOUT)
        rules = len(publisher.layout.rules) if publisher.layout else 0
        return replies.Table(("version", "rules"), [[version, rules]])

    def _member_table(self) -> replies.Table:
        """Registries that are heard, and the store of each disk."""
        rows = [
            [entry.key, "registry", entry.fields["zone"], entry.fields["web"], "live"]
            for entry in sorted(self._parts.timeline.all(timelines.CORE), key=lambda entry: entry.key)
        ]
        seated = self._parts.proposer.members.disks()
        states = self._parts.reconfiguration.states
        for disk, state in sorted(states.items()):
            seat = "seated" if disk in seated else "blank" if state.vacant else "retired"
            rows.append([disk, "store", state.site.zone, state.address, seat])
        missing = sorted(set(seated) - set(states))
        rows += [[disk, "store", "", seated[disk], "silent"] for disk in missing]
        return replies.Table(("member", "kind", "zone", "address", "state"), rows)
