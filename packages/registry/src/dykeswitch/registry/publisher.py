"""The register's documents at one registry: read from a majority and announced on the timeline."""

import typing

import dykeswitch.adapter as adapters
import dykeswitch.frames as frames
import dykeswitch.layout as layouts
import dykeswitch.layout.documents as documents
import dykeswitch.layout.pauses as pauses
import dykeswitch.logs as logs
import dykeswitch.outcome as outcome
import dykeswitch.register as register
import dykeswitch.register.proposer as proposers
import dykeswitch.settings as settings
import dykeswitch.timeline as timelines

# How many proxies should have a change before its operator gets an acknowledgement.
MIN_DELIVERIES: typing.Final = 2
# The time of the last read from a majority, before there was one.
NEVER: typing.Final = -1e9


class Publisher:
    """Keeps the newest confirmed documents, and announces them to every proxy."""

    def __init__(
        self,
        config: settings.Settings,
        log: logs.Log,
        adapter: adapters.Adapter,
        timeline: timelines.Timeline,
        call_client: frames.CallClient,
        proposer: proposers.Proposer,
    ) -> None:
        self._config = config
        self._log = log
        self._adapter = adapter
        self._timeline = timeline
        self._clock = timeline.clock
        self._proposer = proposer
        self.documents = documents.Documents(
            timeline, call_client, config.call_timeout_s, self._read_document
        )
        self.layout: layouts.Layout | None = None
        self.pauses: list[pauses.Pause] = []
        # The newest confirmed version of each document, and when this registry first learned of it.
        self._confirmed: dict[str, tuple[int, float]] = {}
        # When documents were last read from a majority.
        self.majority_read_at = NEVER

    async def _read_document(self, name: str, version: int, data: bytes) -> documents.Apply | None:
        """Parse a document, yielding to other tasks; returns a function that applies it at once."""
        if name == documents.PAUSES:
            try:
                planned = pauses.read(data)
            except pauses.PausesError as error:
                self._log.error("pauses refused", version=version, why=str(error))
                return None
            return lambda: setattr(self, "pauses", planned)
        raw = self._adapter.layout(data)
        result = raw if isinstance(raw, outcome.Failure) else await layouts.check_cooperatively(raw.value)
        if isinstance(result, outcome.Failure):
            self._log.error("layout refused", version=version, faults=result.faults[:5])
            return None
        layout = result.value

        def apply() -> None:
            self.layout = layout
            self._log.info("layout taken up", version=version, rules=len(layout.rules))

        return apply

    def probe_path(self, service: str) -> str:
        """The path at which a service's endpoints are probed, or empty if the layout names none."""
        if self.layout is None or service not in self.layout.services:
            return ""
        return self.layout.services[service].probe

    async def publish(self, name: str, value: register.Value) -> None:
        """Announce a confirmed version on the timeline, so that every proxy fetches it."""
        if not value.version:
            return
        await self.documents.apply(name, value.version, value.body)
        known, _ = self._confirmed.get(name, (0, NEVER))
        if value.version > known:
            self._confirmed[name] = (value.version, self._clock.now())
        announced = self._timeline.get(timelines.DOCUMENT, name)
        forget_s = self._config.forget_s
        if announced is None or int(announced.fields["version"]) < value.version:
            self._timeline.write(timelines.DOCUMENT, name, {"version": value.version}, forget_s)
        elif announced.expiry - self._clock.now() < forget_s / 2:
            self._timeline.write(timelines.DOCUMENT, name, dict(announced.fields), forget_s, urgent=False)

    async def read_documents(self) -> outcome.Failure | None:
        """Read the newest documents from a majority, and announce them."""
        for name in documents.NAMES:
            result = await self._proposer.read(name)
            if isinstance(result, outcome.Failure):
                return result
            await self.publish(name, result.value)
        self.majority_read_at = self._clock.now()
        return None

    async def wait_delivered(self, name: str, version: int) -> None:
        """Wait briefly until two proxies have a version, so that it spreads even if all cores fail.

        The wait counts from when this registry first knew the version: an order that is sent
        again later need not wait.
        """
        proxies = len(self._timeline.all(timelines.PROXY))
        _, since = self._confirmed.get(name, (version, self._clock.now()))
        end = since + self._config.clock_gap_s
        while self._clock.now() < end:
            proxies_with_it = self.documents.delivered.get((name, version), set())
            if len(proxies_with_it) >= min(MIN_DELIVERIES, proxies) or self.documents.version(name) > version:
                return
            await self._clock.sleep(self._config.clock_gap_s / 100)
