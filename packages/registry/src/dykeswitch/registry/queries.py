"""Operators' query commands: dispatches each parsed command to the code that answers it."""

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
    """Answers the commands of the operators' query language."""

    def __init__(
        self, parts: components.Components, members: member_calls.MemberCalls, pauses: planned.PlannedPauses
    ) -> None:
        self._parts = parts
        self._members = members
        self._pauses = pauses

    async def answer(self, command: language.Command, by: str) -> replies.Table | outcome.Failure:
        """Execute a command, and return the table that answers it."""
        if isinstance(command, language.Explain):
            return self._parts.replies.explain(command)
        if isinstance(command, language.Trail):
            return await self._trail(command.exchange)
        if isinstance(command, language.Pause):
            return await self._pauses.add(command, by)
        if isinstance(command, language.End):
            return await self._pauses.end(command.pause)
        return await self._show(command)

    async def _show(self, command: language.Show) -> replies.Table | outcome.Failure:
        if command.subject == "pauses":
            # Planned pauses are read from a majority, not from memory.
            failure = await self._parts.publisher.read_documents()
            if failure is not None:
                return failure
        if command.subject == "history":
            return await self._history(command)
        if command.subject == "loans":
            return await self._loans(command)
        if command.subject == "votes":
            return await votes.report(self._parts.reconfiguration, self._parts.proposer, command)
        if command.subject == "proxies":
            await self._merge_proxies()
            return self._proxies(command)
        if command.subject == "duties":
            return self._duties()
        if command.subject == "layout":
            return self._layout()
        return self._parts.replies.show(command) or self._member_table()

    async def _history(self, command: language.Show) -> replies.Table:
        """The merged history of all registries, since one may have missed some or lost it at a restart."""
        names = self._parts.replies.names(command)
        pages = await self._members.call_others("spans", {"names": names})
        tables = [self._parts.replies.history.of(names), *(page["rows"] for page in pages)]
        return replies.merge_histories(tables, 1 + len(pages))

    async def _loans(self, command: language.Show) -> replies.Table:
        """The tables of all lenders: how much of each service's floor is lent, and may still be spent."""
        pages = await self._members.call_others("loans", {})
        tables = [self._parts.lender.rows(), *(page["rows"] for page in pages)]
        rows = [row for table in tables for row in table if command.wants("service", str(row[0]))]
        return replies.Table(LOAN_COLUMNS, sorted(rows))

    async def _trail(self, name: str) -> replies.Table | outcome.Failure:
        """Fetch the trail of an exchange from its proxy, whose name the exchange's name begins with."""
        parts = self._parts
        await self._merge_proxies()
        entry = parts.timeline.get(timelines.PROXY, name.rsplit("-", 2)[0])
        if entry is None or "spot" not in entry.fields:
            return outcome.failure("no_such", f"no live proxy handled exchange {name}")
        request: frames.Body = {"exchange": name}
        result = await parts.call_client.call(
            ports.address_of(entry.fields["spot"]), "exchange", request, parts.config.call_timeout_s
        )
        if isinstance(result, outcome.Failure):
            return result
        rows = [[round(at * 1000, 1), what, why] for at, what, why in result.value["trail"]]
        return replies.Table(("after ms", "what", "why"), rows)

    async def _merge_proxies(self) -> None:
        """Merge the entries of proxies that poll other registries, since each proxy polls only some."""
        for page in await self._members.call_others("proxies", {}):
            self._parts.timeline.merge(page["items"])

    def _proxies(self, command: language.Show) -> replies.Table:
        fields = ("zone", "web", "layout", "ready")
        rows = [
            [entry.key, *(entry.fields[field] for field in fields), entry.fields.get("extra", "")]
            for entry in sorted(self._parts.timeline.all(timelines.PROXY), key=lambda entry: entry.key)
            if command.wants("zone", str(entry.fields["zone"]))
        ]
        return replies.Table(("proxy", "zone", "address", "layout", "ready", "extra"), rows)

    def _duties(self) -> replies.Table:
        owners = sorted(self._parts.duties.owners().items())
        return replies.Table(
            ("slot", "owner", "fence"), [[slot, owner, fence] for slot, (owner, fence) in owners]
        )

    def _layout(self) -> replies.Table:
        publisher = self._parts.publisher
        version = publisher.documents.version(documents.LAYOUT)
        rules = len(publisher.layout.rules) if publisher.layout else 0
        return replies.Table(("version", "rules"), [[version, rules]])

    def _member_table(self) -> replies.Table:
        """The live registries, and the store of each disk."""
        rows = [
            [entry.key, "registry", entry.fields["zone"], entry.fields["web"], "live"]
            for entry in sorted(self._parts.timeline.all(timelines.CORE), key=lambda entry: entry.key)
        ]
        voters = self._parts.proposer.members.disks()
        states = self._parts.reconfiguration.states
        for disk, state in sorted(states.items()):
            state_name = "seated" if disk in voters else "blank" if state.vacant else "retired"
            rows.append([disk, "store", state.site.zone, state.address, state_name])
        missing = sorted(set(voters) - set(states))
        rows += [[disk, "store", "", voters[disk], "silent"] for disk in missing]
        return replies.Table(("member", "kind", "zone", "address", "state"), rows)
