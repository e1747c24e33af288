"""The pages of a registry: counters, endpoints, members, health."""

import typing

import dykeswitch.layout.documents as documents
import dykeswitch.registry.components as components
import dykeswitch.registry.member_calls as member_calls
import dykeswitch.registry.replies as replies
import dykeswitch.timeline as timelines

Document = dict[str, typing.Any]


class Pages:
    """Builds the pages about the fleet."""

    def __init__(self, parts: components.Components, members: member_calls.MemberCalls) -> None:
        self._parts = parts
        self._members = members

    def _endpoint_entries(self) -> list[timelines.Entry]:
        return sorted(self._parts.timeline.all(timelines.ENDPOINT), key=lambda entry: entry.key)

    def counters(self) -> bytes:
        """This registry's counters, in the Prometheus text format."""
        # Imported on demand: the page is rarely requested, and the import would slow down every start.
        import dykeswitch.logs.counters as counters

        parts = self._parts
        up = [
            entry for entry in parts.timeline.all(timelines.ENDPOINT) if entry.fields["state"] == timelines.UP
        ]
        lent, out = parts.lender.sums()
        counts = {
            "coins_lent": lent,
            "coins_out": out,
            "loans_lent": parts.lender.granted_count,
            "loans_refused": parts.lender.refused_count,
            "loans_passed_over": parts.lender.ignored_count,
            "probes": parts.prober.probes,
            "copies_mended": parts.proposer.repaired,
            "endpoints_up": len(up),
            "endpoints_down": sum(1 for entry in up if parts.marks.mark_of(entry.key) is not None),
            "member_set_epoch": parts.proposer.members.epoch,
            **parts.meter.counts,
        }
        return counters.page("registry", parts.config.name, counts)

    def endpoints(self) -> Document:
        """Every endpoint with what it reported about itself, and its mark."""
        rows = []
        for entry in self._endpoint_entries():
            mark = self._parts.marks.mark_of(entry.key)
            page: Document = {"id": entry.key}
            page.update((k, v) for k, v in entry.fields.items() if k != "born")
            if mark is not None:
                page["down"] = {"reason": mark.fields["reason"], "by": mark.fields["by"]}
                page["down"]["left_s"] = round(mark.expiry - self._parts.clock.now(), 2)
            rows.append(page)
        return {"endpoints": rows}

    def members(self) -> Document:
        """The cores, the proxies, the voting stores, and the owner of each slot."""
        parts = self._parts
        members = parts.proposer.members
        states = parts.reconfiguration.states
        return {
            "cores": {entry.key: entry.fields for entry in parts.timeline.all(timelines.CORE)},
            "proxies": {entry.key: entry.fields for entry in parts.timeline.all(timelines.PROXY)},
            "view": sorted(parts.gossip.view),
            "stores": {
                "epoch": members.epoch,
                "joint": members.is_joint(),
                "groups": [dict(group) for group in members.groups],
                "seen": {
                    disk: {"spot": state.address, "seated": state.seated} for disk, state in states.items()
                },
            },
            "duties": {
                str(slot): {"owner": owner, "fence": fence}
                for slot, (owner, fence) in parts.duties.owners().items()
            },
            "layout": parts.publisher.documents.version(documents.LAYOUT),
        }

    async def health(self) -> Document:
        """The healthy and unhealthy endpoints of each service."""
        last_probed = await self._probe_ages()
        services: dict[str, dict[str, list[Document]]] = {}
        for entry in self._endpoint_entries():
            if entry.fields["state"] in timelines.FINAL_STATES:
                continue
            page = services.setdefault(str(entry.fields["service"]), {"healthy": [], "unhealthy": []})
            row = self._health_row(entry, last_probed.get(entry.key))
            page["unhealthy" if "reason" in row else "healthy"].append(row)
        return {"timestamp": replies.format_time(self._parts.clock.wall()), "services": services}

    async def _probe_ages(self) -> dict[str, float]:
        """How long ago each endpoint was probed; asks all registries, since each probes only some."""
        now = self._parts.clock.now()
        ages_s = {name: now - result.finished_at for name, result in self._parts.prober.results.items()}
        for reply in await self._members.call_others("seen", {}):
            for name, (age_s, _) in reply["seen"].items():
                ages_s[name] = min(ages_s.get(name, age_s), age_s)
        return ages_s

    def _health_row(self, entry: timelines.Entry, probe_age_s: float | None) -> Document:
        mark = self._parts.marks.mark_of(entry.key)
        wall = self._parts.gossip.wall()
        row: Document = {
            "id": entry.key,
            "address": entry.fields["address"],
            "zone": entry.fields["zone"],
            "lastChecked": None if probe_age_s is None else replies.format_time(wall - probe_age_s),
        }
        if entry.fields["state"] == timelines.LAPSED:
            row["reason"] = "beats stopped"
        elif mark is not None:
            row["reason"] = mark.fields["reason"]
        return row
