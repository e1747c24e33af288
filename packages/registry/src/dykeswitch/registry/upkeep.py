"""The registry's background loops."""

import typing

import cbor2

import dykeswitch.outcome as outcome
import dykeswitch.register as register
import dykeswitch.registry.components as components
import dykeswitch.registry.duties as duties
import dykeswitch.registry.member_calls as member_calls
import dykeswitch.registry.standing as standing
import dykeswitch.timeline as timelines

# The register key under which the table of endpoints is saved.
ENDPOINT_TABLE_KEY: typing.Final = "endpoints"
# At a start, what is needed to serve is retried at this share of the sweep interval.
STARTUP_INTERVAL_SHARE: typing.Final = 0.1

Loop = typing.Coroutine[typing.Any, typing.Any, None]


class Upkeep:
    """Background loops that run until cancelled.

    They announce this registry, maintain the member set, read documents, save the table of
    endpoints, claim slots, expire silent endpoints and repair outdated copies.
    """

    def __init__(
        self,
        parts: components.Components,
        members: member_calls.MemberCalls,
        readiness: standing.Readiness,
    ) -> None:
        self._parts = parts
        self._readiness = readiness
        self._members = members
        self._config = parts.config
        self._clock = parts.clock
        # The table of endpoints as this registry last wrote it to the register.
        self._saved_table: list[timelines.Fields] = []
        self._table_write_count = 0
        self._last_tick_at = self._clock.now()
        # Whether the silence of an endpoint proved nothing at the last check, for lack of a majority.
        self._heartbeats_unreliable = True

    def loops(self) -> list[Loop]:
        """Every loop, to be run concurrently."""
        return [
            self._parts.gossip.run(),
            self._announce_loop(),
            self._member_set_loop(),
            self._read_documents_loop(),
            self._save_table_loop(),
            self._claim_slots_loop(),
            self._expire_endpoints_loop(),
            self._report_heartbeats_loop(),
            self._repair_copies_loop(),
            self._parts.prober.run(),
        ]

    async def _announce_loop(self) -> None:
        """Announce this registry as a core, so that all members know it and the store on its machine."""
        config = self._config
        fields = {
            "spot": config.member,
            "web": config.web,
            "store": config.store,
            "zone": config.zone,
            "boot": self._parts.boot_id,
        }
        while True:
            is_new = self._parts.timeline.get(timelines.CORE, config.name) is None
            # Calls show that this registry is alive; the entry gives its identity and addresses.
            self._parts.timeline.write(timelines.CORE, config.name, dict(fields), config.recover_s, is_new)
            await self._clock.sleep(config.recover_s / 4)

    async def _member_set_loop(self) -> None:
        """Reconcile the member set of the stores periodically."""
        parts = self._parts
        while True:
            stores = {entry.key: str(entry.fields["store"]) for entry in parts.timeline.all(timelines.CORE)}
            stores[self._config.name] = self._config.store
            await parts.reconfiguration.reconcile(set(stores.values()), parts.live(), stores)
            interval_s = self._config.sweep_interval_s * (0.75 + 0.5 * parts.rng.random())
            # Until a set is known nothing can be served, so try again soon.
            await self._clock.sleep(
                interval_s if parts.proposer.members.groups else interval_s * STARTUP_INTERVAL_SHARE
            )

    async def _read_documents_loop(self) -> None:
        """Read committed documents periodically, in case the committing registry failed to announce one."""
        publisher = self._parts.publisher
        while True:
            failure = await publisher.read_documents()
            starting = failure is not None and publisher.majority_read_at < 0
            await self._clock.sleep(
                self._config.sweep_interval_s * (STARTUP_INTERVAL_SHARE if starting else 1.0)
            )

    async def _save_table_loop(self) -> None:
        """Restore the table of endpoints from the register at a start, then save it there periodically."""
        while not await self._restore_table():
            await self._clock.sleep(self._config.sweep_interval_s * STARTUP_INTERVAL_SHARE)
        while True:
            await self._clock.sleep(self._config.sweep_interval_s)
            # Only one of the live registries writes it, and only when it has changed.
            if duties.rendezvous_owner(ENDPOINT_TABLE_KEY, self._parts.live()) != self._config.name:
                continue
            rows = self._parts.endpoints.table()
            if rows and rows != self._saved_table and await self._write_table(cbor2.dumps(rows)):
                self._saved_table = rows

    async def _write_table(self, data: bytes) -> bool:
        self._table_write_count += 1
        op = f"{self._config.name}/{self._parts.boot_id}/{ENDPOINT_TABLE_KEY}/{self._table_write_count}"

        def step(current: register.Value) -> register.Value:
            return (
                current
                if current.version_of(op) is not None or current.body == data
                else current.successor(data, op)
            )

        return isinstance(await self._parts.proposer.change(ENDPOINT_TABLE_KEY, step), outcome.Success)

    async def _restore_table(self) -> bool:
        result = await self._parts.proposer.read(ENDPOINT_TABLE_KEY)
        if isinstance(result, outcome.Failure):
            return False
        if result.value.body:
            restored = self._parts.endpoints.restore(cbor2.loads(result.value.body))
            self._parts.log.info("endpoints restored", endpoints=restored)
        return True

    async def _claim_slots_loop(self) -> None:
        """Claim the slots assigned to this registry, periodically."""
        while True:
            # Learn of the other registries first; otherwise each registry that starts would claim all slots.
            await self._clock.sleep(self._config.dead_after_s / 2)
            await self._parts.duties.reconcile(self._parts.live())
            self._parts.lender.remove_expired()

    async def _expire_endpoints_loop(self) -> None:
        """Expire endpoints that have fallen silent."""
        parts = self._parts
        while True:
            now = self._clock.now()
            if now - self._last_tick_at > self._config.clock_gap_s + self._config.tick_interval_s:
                parts.endpoints.resumed()
                parts.log.warning("frozen", span_s=round(now - self._last_tick_at, 2))
            self._last_tick_at = now
            if not self._may_expire():
                self._heartbeats_unreliable = True
            else:
                self._expire_silent()
            await self._clock.sleep(self._config.tick_interval_s)

    def _may_expire(self) -> bool:
        """Whether endpoints may be expired.

        Without a majority heartbeats go to other registries, so hearing none here proves nothing.
        """
        return self._readiness.has_majority()

    def _expire_silent(self) -> None:
        parts = self._parts
        if self._heartbeats_unreliable:
            # Heartbeats missed in the meantime do not count.
            parts.endpoints.resumed()
            self._heartbeats_unreliable = False
        all_cores_heard = parts.gossip.cores().keys() == parts.gossip.known_cores().keys()
        for name in parts.endpoints.expire_silent(all_cores_heard):
            parts.log.warning("endpoint lapsed", endpoint=name)

    async def _report_heartbeats_loop(self) -> None:
        """Report heard endpoints to the other registries.

        An endpoint sends each heartbeat to one registry only, and must not seem silent to the rest.
        """
        while True:
            names = self._parts.endpoints.recently_heard()
            if names:
                await self._members.call_others("heard", {"names": names})
            await self._clock.sleep(self._config.dead_after_s / 3)

    async def _repair_copies_loop(self) -> None:
        """Repair outdated copies of keys that no read touches."""
        while True:
            await self._clock.sleep(self._config.recover_s / 3)
            repaired = await self._parts.proposer.repair_copies()
            if repaired:
                self._parts.log.info("copies repaired", keys=repaired)
