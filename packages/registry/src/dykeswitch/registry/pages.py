"""Pages that a registry shows: counters, endpoints, members, health."""

import typing

import dykeswitch.layout.documents as documents
import dykeswitch.registry.components as components
import dykeswitch.registry.member_calls as member_calls
import dykeswitch.registry.replies as replies
import dykeswitch.timeline as timelines

Document = dict[str, typing.Any]


class Pages:
    """Puts together what is shown of the fleet."""

    def __init__(self, parts: components.Components, members: member_calls.MemberCalls) -> None:
        self._parts = parts
        self._members = members

    def _endpoint_entries(self) -> list[timelines.Entry]:
        return sorted(self._parts.timeline.all(timelines.ENDPOINT), key=lambda entry: entry.key)

    def counters(self) -> bytes:
        """This registry's counters, in the text form of Prometheus."""
        # Brought in when somebody asks: few do, and each start would pay for it.
        import dykeswitch.logs.counters as counters

        parts = self._parts
        up = [e for e in parts.timeline.all(timelines.ENDPOINT) if e.fields["state"] == timelines.UP]
        lent, out = parts.lender.sums()
        counts = {
            "coins_lent": lent,
            "coins_out": out,
            "loans_lent": parts.lender.lent,
            "loans_refused": parts.lender.refused,
            "loans_passed_over": parts.lender.passed_over,
            "probes": parts.prober.probes,
            "copies_mended": parts.proposer.repaired,
            "endpoints_up": len(up),
            "endpoints_down": sum(1 for e in up if parts.marks.mark_of(e.key) is not None),
            "member_set_epoch": parts.proposer.members.epoch,
            **parts.meter.counts,
        }
        return counters.page("registry", parts.config.name, counts)

    def endpoints(self) -> Document:
        """Every endpoint with what it said of itself, and its mark."""
        found = []
        for entry in self._endpoint_entries():
            mark = self._parts.marks.mark_of(entry.key)
            page: Document = {"id": entry.key}
            page.update((k, v) for k, v in entry.fields.items() if k != "born")
            if mark is not None:
                page["down"] = {"reason": mark.fields["reason"], "by": mark.fields["by"]}
                page["down"]["left_s"] = round(mark.expiry - self._parts.clock.now(), 2)
            found.append(page)
        return {"endpoints": found}

    def members(self) -> Document:
        """Cores, proxies, the stores that vote, and who has which duty."""
        parts = self._parts
        members = parts.proposer.members
        states = parts.reconfiguration.states
        return {
            "cores": {e.key: e.fields for e in parts.timeline.all(timelines.CORE)},
            "proxies": {e.key: e.fields for e in parts.timeline.all(timelines.PROXY)},
            "view": sorted(parts.gossip.view),
            "stores": {
                "epoch": members.epoch,
                "joint": members.is_joint(),
                "groups": [dict(group) for group in members.groups],
                "seen": {d: {"spot": s.address, "seated": s.seated} for d, s in states.items()},
            },
            "duties": {str(s): {"owner": o, "fence": f} for s, (o, f) in parts.duties.owners().items()},
            "layout": parts.publisher.documents.version(documents.LAYOUT),
        }

    async def health(self) -> Document:
        """The source's health page, with services for its networks."""
        probed = await self._probed_ago()
        services: dict[str, dict[str, list[Document]]] = {}
        for entry in self._endpoint_entries():
            if entry.fields["state"] in timelines.FINAL_STATES:
                continue
            page = services.setdefault(str(entry.fields["service"]), {"healthy": [], "unhealthy": []})
            row = self._health_row(entry, probed.get(entry.key))
            page["unhealthy" if "reason" in row else "healthy"].append(row)
        return {"timestamp": replies.stamp(self._parts.clock.wall()), "services": services}

    async def _probed_ago(self) -> dict[str, float]:
        """How long ago each endpoint was probed: by one registry each, so all are asked."""
        now = self._parts.clock.now()
        ago = {name: now - seen.at for name, seen in self._parts.prober.seen.items()}
        for told in await self._members.ask_others("seen", {}):
            for name, (span, _) in told["seen"].items():
                ago[name] = min(ago.get(name, span), span)
        return ago

    def _health_row(self, entry: timelines.Entry, probed_ago: float | None) -> Document:
        mark = self._parts.marks.mark_of(entry.key)
        wall = self._parts.gossip.wall()
        row: Document = {
            "id": entry.key,
            "address": entry.fields["address"],
            "zone": entry.fields["zone"],
            "lastChecked": None if probed_ago is None else replies.stamp(wall - probed_ago),
        }
        if entry.fields["state"] == timelines.LAPSED:
            row["reason"] = "beats stopped"
        elif mark is not None:
            row["reason"] = mark.fields["reason"]
        return row
