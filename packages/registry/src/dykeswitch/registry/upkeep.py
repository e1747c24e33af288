"""The registry's background loops: what it does without being called."""

import typing

import cbor2

import dykeswitch.outcome as outcome
import dykeswitch.register as register
import dykeswitch.registry.components as components
import dykeswitch.registry.duties as duties
import dykeswitch.registry.member_calls as member_calls
import dykeswitch.registry.standing as standing
import dykeswitch.timeline as timelines

# The register's key of the table of endpoints.
TABLE: typing.Final = "endpoints"
# The part of a sweep's span after which a start looks again for what it needs to begin.
EAGER: typing.Final = 0.1

Loop = typing.Coroutine[typing.Any, typing.Any, None]


class Upkeep:
    """Runs until cancelled: announces, seats, reads, remembers, lapses, mends."""

    def __init__(
        self,
        parts: components.Components,
        members: member_calls.MemberCalls,
        stand: standing.Standing,
    ) -> None:
        self._parts = parts
        self._standing = stand
        self._members = members
        self._config = parts.config
        self._clock = parts.clock
        # The table of endpoints as we last wrote it to the register.
        self._table: list[timelines.Fields] = []
        self._table_writes = 0
        self._tick = self._clock.now()
        # Whether silence proved nothing when we last looked.
        self._blind = True

    def loops(self) -> list[Loop]:
        """Every loop, to be run side by side."""
        return [
            self._parts.gossip.run(),
            self._keep_announced(),
            self._keep_seated(),
            self._keep_reading(),
            self._keep_table(),
            self._keep_duties(),
            self._keep_lapsing(),
            self._keep_telling(),
            self._keep_swept(),
            self._parts.prober.run(),
        ]

    async def _keep_announced(self) -> None:
        """Announce ourselves as a core, so that all know us and the store beside us."""
        config = self._config
        fields = {
            "spot": config.member,
            "web": config.web,
            "store": config.store,
            "zone": config.zone,
            "boot": self._parts.boot_id,
        }
        while True:
            fresh = self._parts.timeline.get(timelines.CORE, config.name) is None
            # Whether we live is heard by calls; this says who and where we are.
            self._parts.timeline.write(timelines.CORE, config.name, dict(fields), config.recover_s, fresh)
            await self._clock.sleep(config.recover_s / 4)

    async def _keep_seated(self) -> None:
        """Keep the member set of the stores whole."""
        parts = self._parts
        while True:
            stores = {e.key: str(e.fields["store"]) for e in parts.timeline.all(timelines.CORE)}
            stores[self._config.name] = self._config.store
            await parts.reconfiguration.reconcile(set(stores.values()), parts.live(), stores)
            span = self._config.sweep_interval_s * (0.75 + 0.5 * parts.rng.random())
            # Until a set is known nothing can be told to anybody: look again soon.
            await self._clock.sleep(span if parts.proposer.members.groups else span * EAGER)

    async def _keep_reading(self) -> None:
        """Learn what others committed, also when they died before they could tell."""
        publisher = self._parts.publisher
        while True:
            failure = await publisher.read_documents()
            eager = failure is not None and publisher.majority_at < 0
            await self._clock.sleep(self._config.sweep_interval_s * (EAGER if eager else 1.0))

    async def _keep_table(self) -> None:
        """Have the register remember which endpoints there are, and begin with what it remembers."""
        while not await self._recall():
            await self._clock.sleep(self._config.sweep_interval_s * EAGER)
        while True:
            await self._clock.sleep(self._config.sweep_interval_s)
            # One of the living registries writes it, and only when it has changed.
            if duties.first_of(TABLE, self._parts.live()) != self._config.name:
                continue
            rows = self._parts.endpoints.table()
            if rows and rows != self._table and await self._write_table(cbor2.dumps(rows)):
                self._table = rows

    async def _write_table(self, data: bytes) -> bool:
        self._table_writes += 1
        op = f"{self._config.name}/{self._parts.boot_id}/{TABLE}/{self._table_writes}"

        def step(now: register.Value) -> register.Value:
            return now if now.version_of(op) is not None or now.body == data else now.successor(data, op)

        return isinstance(await self._parts.proposer.change(TABLE, step), outcome.Success)

    async def _recall(self) -> bool:
        result = await self._parts.proposer.read(TABLE)
        if isinstance(result, outcome.Failure):
            return False
        if result.value.body:
            taken = self._parts.endpoints.remember(cbor2.loads(result.value.body))
            self._parts.log.info("endpoints recalled", endpoints=taken)
        return True

    async def _keep_duties(self) -> None:
        """Claim the duties that fall to us."""
        while True:
            # A first look around, lest each start takes every duty to itself.
            await self._clock.sleep(self._config.dead_after_s / 2)
            await self._parts.duties.reconcile(self._parts.live())
            self._parts.lender.remove_expired()

    async def _keep_lapsing(self) -> None:
        """Take endpoints that fell silent for gone."""
        parts = self._parts
        while True:
            now = self._clock.now()
            if now - self._tick > self._config.clock_gap_s + self._config.tick_interval_s:
                parts.endpoints.resumed()
                parts.log.warning("frozen", span_s=round(now - self._tick, 2))
            self._tick = now
            if not self._may_judge():
                self._blind = True
            else:
                self._lapse_silent()
            await self._clock.sleep(self._config.tick_interval_s)

    def _may_judge(self) -> bool:
        """Without a majority heartbeats are sent elsewhere: that we hear none proves nothing."""
        return self._standing.has_majority()

    def _lapse_silent(self) -> None:
        parts = self._parts
        if self._blind:
            # What was missed meanwhile is not held against anybody.
            parts.endpoints.resumed()
            self._blind = False
        whole = parts.gossip.cores().keys() == parts.gossip.known_cores().keys()
        for name in parts.endpoints.expire_silent(whole):
            parts.log.warning("endpoint lapsed", endpoint=name)

    async def _keep_telling(self) -> None:
        """Tell the other registries whose beats we heard: who is silent for one is not for all."""
        while True:
            names = self._parts.endpoints.recently_heard()
            if names:
                await self._members.ask_others("heard", {"names": names})
            await self._clock.sleep(self._config.dead_after_s / 3)

    async def _keep_swept(self) -> None:
        """Find the old copies that no read comes by."""
        while True:
            await self._clock.sleep(self._config.recover_s / 3)
            repaired = await self._parts.proposer.repair_copies()
            if repaired:
                self._parts.log.info("copies mended", keys=repaired)
