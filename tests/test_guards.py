"""Removes each safeguard in turn, and checks that the failure it prevents then occurs.

A simulated day without a breach proves little unless the same day has one without the safeguard.
"""

import asyncio
import typing

import pytest

import dykeswitch.adapter as adapters
import dykeswitch.layout.checker as checker
import dykeswitch.layout.documents as documents
import dykeswitch.membership as membership
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.ports.departure as departures
import dykeswitch.proxy.answering as answering
import dykeswitch.proxy.budget as budgets
import dykeswitch.proxy.carrier as carriers
import dykeswitch.proxy.delivery as deliveries
import dykeswitch.proxy.exchange as exchanges
import dykeswitch.proxy.headers as headers
import dykeswitch.proxy.program as proxies
import dykeswitch.proxy.selection as selection
import dykeswitch.register as register
import dykeswitch.register.proposer as proposers
import dykeswitch.register.storage as storage
import dykeswitch.registry.lender as lenders
import dykeswitch.registry.order_memory as order_memory
import dykeswitch.registry.orders as orders
import dykeswitch.registry.prober as probers
import dykeswitch.registry.publisher as publishers
import dykeswitch.registry.standing as standing
import dykeswitch.registry.upkeep as upkeeps
import dykeswitch.simulator.faults.control as control
import dykeswitch.simulator.trial as trials
import dykeswitch.soundness.connection as connections
import dykeswitch.timeline as timelines

RemoveGuard = typing.Callable[[pytest.MonkeyPatch], None]


def _no_proof(patch: pytest.MonkeyPatch) -> None:
    """Connections to endpoints are used without a probe."""

    async def verify_nothing(connection: connections.EndpointConnection, path: str, served_by: bytes) -> None:
        return None

    patch.setattr(connections, "verify", verify_nothing)
    # A request also names the endpoint that it is for, and any other endpoint refuses it. That check
    # alone prevents the failure as well, so both are removed.
    patch.setattr(adapters.DefaultAdapter, "header_names", adapters.HeaderNames(expected=b"x-nobody"))


def _always_retry(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        carriers.Carrier,
        "_attempts_exhausted",
        lambda self, exchange: exchange.attempts >= exchange.max_tries,
    )
    # The budget would hide the failure, since it covers few extra attempts in a day this short.
    _no_budget(patch)


def _no_budget(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(budgets.Budget, "take", lambda self, now: True)


def _tries_for_ever(patch: pytest.MonkeyPatch) -> None:
    # Writing requests keep their limit: only reading ones are retried without end.
    patch.setattr(
        carriers.Carrier,
        "_attempts_exhausted",
        lambda self, exchange: exchange.writing and exchange.attempts > 0,
    )
    _no_budget(patch)


def _keeps_what_failed(patch: pytest.MonkeyPatch) -> None:
    """A response that breaks off after its head is replaced by an empty success."""
    deliver = deliveries.Delivery.deliver

    async def deliver_and_keep(self: deliveries.Delivery, exchange: exchanges.Exchange) -> None:
        await deliver(self, exchange)
        if exchange.response_head_received and exchange.response is None:
            exchange.response = exchanges.Response(connections.ResponseHead(200, []), b"", None)

    patch.setattr(deliveries.Delivery, "deliver", deliver_and_keep)


def _hands_on_all_time(patch: pytest.MonkeyPatch) -> None:
    """Each attempt gets the time of the whole exchange, not the time that is left."""
    request_headers = headers.request_headers

    def with_all_time(
        exchange: exchanges.Exchange, adapter: adapters.Adapter, names: adapters.HeaderNames, now: float
    ) -> connections.Headers:
        return request_headers(exchange, adapter, names, exchange.started_at)

    patch.setattr(headers, "request_headers", with_all_time)


def _deaf_to_departures(patch: pytest.MonkeyPatch) -> None:
    """A proxy does not learn that clients have left."""
    patch.setattr(departures.Departure, "announce", lambda self: None)


def _cut_passes(patch: pytest.MonkeyPatch) -> None:
    """An incomplete response body is accepted as complete."""
    complete_parts = connections.EndpointConnection.parts

    async def parts(self: connections.EndpointConnection) -> typing.AsyncIterator[bytes]:
        try:
            async for part in complete_parts(self):
                yield part
        except connections.EndpointConnectionError:
            return

    patch.setattr(connections.EndpointConnection, "parts", parts)


def _always_hint(patch: pytest.MonkeyPatch) -> None:
    """Every refusal has a Retry-After header."""
    refuse = answering.Responder.refuse

    async def refuse_with_hint(
        self: answering.Responder, exchange: exchanges.Exchange, failure: outcome.Failure
    ) -> None:
        exchange.retry_after = 1
        await refuse(self, exchange, failure)

    patch.setattr(answering.Responder, "refuse", refuse_with_hint)


def _forgetful_storage(patch: pytest.MonkeyPatch) -> None:
    """Only records with internal keys (`@...`) are stored."""
    put = storage.Storage.put

    def put_internal(self: storage.Storage, key: str, record: typing.Any) -> None:
        if key.startswith("@"):
            put(self, key, record)

    patch.setattr(storage.Storage, "put", put_internal)


def _rude_stop(patch: pytest.MonkeyPatch) -> None:
    """A stopping proxy does not wait for the requests that it has accepted."""

    async def leave(self: proxies.Proxy) -> None:
        assert self._server is not None
        await self._server.stop(0.0)

    patch.setattr(proxies.Proxy, "_drain", leave)


def _deaf_to_leaving(patch: pytest.MonkeyPatch) -> None:
    """Selection ignores that endpoints leave."""
    on_entry = selection.Selector._on_entry

    def ignore_leaving(self: typing.Any, entry: typing.Any) -> None:
        if entry.fields.get("state") != "left":
            on_entry(self, entry)

    patch.setattr(selection.Selector, "_on_entry", ignore_leaving)
    patch.setattr(selection.Selector, "up", _up_of_all)
    patch.setattr(selection.Selector, "usable", lambda self, entry: True)

    def subset(self: typing.Any, service: str, tried: set[str]) -> list[typing.Any]:
        return [entry for entry in self.up(service) if entry.key not in tried]

    # The choice of the subset checks the state of endpoints by itself.
    patch.setattr(selection.Selector, "_subset", subset)


def _up_of_all(self: typing.Any, service: str) -> list[typing.Any]:
    return [e for e in self._timeline.all("endpoint") if e.fields["service"] == service]


def _hears_forever(patch: pytest.MonkeyPatch) -> None:
    """A proxy never finds that it is cut off."""
    patch.setattr(proxies.Proxy, "silence_s", lambda self: 0.0)


def _no_fence(patch: pytest.MonkeyPatch) -> None:
    # The prober's check of its clock also prevents the failure, so both are removed.
    patch.setattr(timelines.Timeline, "_is_fence_current", lambda self, entry: True)
    patch.setattr(probers.Prober, "_stale", lambda self, begun: False)


def _no_last_call(patch: pytest.MonkeyPatch) -> None:
    """A stopping proxy does not limit its exchanges to the grace period."""
    patch.setattr(proxies.Proxy, "_apply_stop_deadline", lambda self, exchange: None)


def _lends_at_once(patch: pytest.MonkeyPatch) -> None:
    # A new lender neither waits for the loans of its predecessor to end, nor counts them.
    patch.setattr(lenders.Lender, "_takeover_wait_s", lambda self, ownership: 0.0)


def _no_pauses(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(proxies.Proxy, "paused", lambda self, endpoint: None)


def _no_knocking(patch: pytest.MonkeyPatch) -> None:
    """Members do not look for lost members at their former addresses."""
    patch.setattr(membership.Gossip, "_lost_address", lambda self: None)


def _confirms_by_memory(patch: pytest.MonkeyPatch) -> None:
    # At a core that lags, two checks each prevent the failure: reading from a majority, and knowing
    # that there is a newer layout that the core does not have. Both are removed.
    async def read(self: publishers.Publisher) -> None:
        return None

    async def caught_up(self: documents.Documents, addresses: typing.Sequence[ports.Address]) -> bool:
        await catch_up(self, addresses)
        return True

    catch_up = documents.Documents.catch_up
    read_documents = publishers.Publisher.read_documents

    async def keep(self: upkeeps.Upkeep) -> None:
        while True:
            await read_documents(self._parts.publisher)
            await asyncio.sleep(self._config.sweep_interval_s)

    patch.setattr(publishers.Publisher, "read_documents", read)
    patch.setattr(upkeeps.Upkeep, "_read_documents_loop", keep)
    patch.setattr(documents.Documents, "catch_up", caught_up)


def _slips_back(patch: pytest.MonkeyPatch) -> None:
    """A proxy returns to the previous layout for a while."""
    reads = proxies.Proxy._read_document

    async def read_and_revert(
        self: proxies.Proxy, name: str, version: int, data: bytes
    ) -> documents.Apply | None:
        old = self.carrier.layout
        apply = await reads(self, name, version, data)
        if apply is None or name != documents.LAYOUT or old is None:
            return apply

        def apply_and_revert() -> None:
            apply()
            new = self.carrier.layout
            loop = asyncio.get_running_loop()
            loop.call_later(0.6, lambda: setattr(self.carrier, "layout", old))
            loop.call_later(1.2, lambda: setattr(self.carrier, "layout", new))

        return apply_and_revert

    patch.setattr(proxies.Proxy, "_read_document", read_and_revert)


def _breaks_are_accepted(patch: pytest.MonkeyPatch) -> None:
    """The layout check reports no faults."""
    patch.setattr(checker.Checker, "fault", lambda self, path, text: None)


def _slow_news(patch: pytest.MonkeyPatch) -> None:
    """Proxies fetch documents only every five seconds."""

    async def keep(self: proxies.Proxy) -> None:
        while True:
            await asyncio.sleep(5.0)
            await self.documents.catch_up(self._addresses())

    patch.setattr(proxies.Proxy, "_keep_documents", keep)


def _reads_by_memory(patch: pytest.MonkeyPatch) -> None:
    """Reads of the layout return the local copy instead of asking a majority."""

    async def newest(self: orders.Orders) -> outcome.Success[register.Value] | outcome.Failure:
        stored = self._parts.publisher.documents
        version = stored.version(documents.LAYOUT)
        return outcome.Success(register.Value(version, stored.body(documents.LAYOUT)))

    patch.setattr(orders.Orders, "newest", newest)


def _forgets_orders(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(order_memory.Ledger, "digest", lambda self, number: None)


def _one_vote_decides(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(register, "majority", lambda group, yes: any(disk in yes for disk, _ in group))


def _never_mends(patch: pytest.MonkeyPatch) -> None:
    # Reads that find different copies repair them, and so does the sweep. Both are removed.
    async def repair_copies(self: proposers.Proposer) -> int:
        return 0

    async def read(self: proposers.Proposer, key: str) -> proposers.Read:
        stored = self.copies._known.get(key)
        copies = await self.copies.read_all(key)
        if len(copies) < 2:
            return outcome.failure("no_majority")
        highest = max(copy.ballot for copy in copies.values())
        newest = {disk: copy for disk, copy in copies.items() if copy.ballot == highest}
        return outcome.Success(self.copies._value_of_ballot(key, highest, newest, stored))

    patch.setattr(proposers.Proposer, "repair_copies", repair_copies)
    # Each read waits for the core that is down: with all the changes, a day would take five minutes.
    patch.setattr(control, "CHANGES", 24)
    patch.setattr(proposers.Proposer, "read", read)


def _takes_any_answer(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(connections.EndpointConnection, "_is_expected", lambda self, head, exchange_id: True)


def _keeps_heartbeats_to_itself(patch: pytest.MonkeyPatch) -> None:
    """A core that is cut off still acknowledges heartbeats."""
    patch.setattr(standing.Readiness, "has_majority", lambda self: True)


GUARDS: typing.Final[list[tuple[RemoveGuard, str, str]]] = [
    (_no_proof, "hand_over_address", "right_owner"),
    (_always_retry, "lose_replies", "run_twice"),
    (_no_budget, "fail_service", "extra_bound"),
    (_tries_for_ever, "every_run_fails", "tries_bounded"),
    # Routes that change between two attempts.
    (_keeps_what_failed, "remove_route_amid_reads", "whole_replies"),
    (_always_retry, "route_writes_amid_reads", "not_run_again"),
    (_tries_for_ever, "route_has_one_try_amid_reads", "not_run_again"),
    (_hands_on_all_time, "hang", "no_time_added"),
    (_deaf_to_departures, "callers_leave", "nothing_run_for_nobody"),
    (_deaf_to_departures, "callers_leave_between_tries", "nothing_sent_for_nobody"),
    (_cut_passes, "cut_bodies", "whole_replies"),
    (_always_hint, "lose_replies", "told_not_done"),
    (_forgetful_storage, "restart_all_cores", "register_holds"),
    (_rude_stop, "restart_in_turn", "not_dropped"),
    (_deaf_to_leaving, "roll_endpoints", "not_after_leaving"),
    (_slow_news, "burst_layouts", "layout_in_time"),
    (_slow_news, "burst_layouts", "layout_by_traffic"),
    (_hears_forever, "isolate_proxy", "layout_by_traffic"),
    (_hears_forever, "isolate_proxy", "not_after_leaving"),
    (_no_fence, "hand_over_duty", "no_crash"),
    (_no_last_call, "stop_with_long_work", "not_dropped"),
    (_no_budget, "too_many_proxies", "extra_bound"),
    (_lends_at_once, "lose_lenders", "extra_bound"),
    (_no_pauses, "plan_pause", "not_while_paused"),
    (_no_knocking, "swap_every_core", "no_crash"),
    (_confirms_by_memory, "cut_one_core", "layout_in_time"),
    (_slips_back, "jump_all_clocks", "layout_order_by_traffic"),
    (_breaks_are_accepted, "race_operators", "broken_refused"),
    # A core that is cut off for a long time.
    (_reads_by_memory, "cut_core_long", "register_holds"),
    (_reads_by_memory, "cut_core_long_in", "register_holds"),
    (_reads_by_memory, "cut_core_long_out", "register_holds"),
    (_keeps_heartbeats_to_itself, "cut_core_long", "not_turned_away"),
    # Two operators, and orders that are sent again.
    (_one_vote_decides, "two_operators", "one_body_per_version"),
    (_forgets_orders, "two_operators", "never_refused_again"),
    # A second loss after a repair, and a member that leaves.
    (_one_vote_decides, "second_loss", "register_holds"),
    (_one_vote_decides, "leaving_core", "register_holds"),
    # Hundreds of changes, and members that restart or resume.
    (_never_mends, "hundreds_of_changes", "no_crash"),
    (_reads_by_memory, "hundreds_of_changes", "register_holds"),
    # Late responses, and requests that may not be repeated.
    (_takes_any_answer, "late_answers", "own_replies"),
    (_always_retry, "late_answers", "run_twice"),
]


@pytest.mark.parametrize(("remove_guard", "fault", "point"), GUARDS)
def test_without_its_guard_the_failure_shows(
    remove_guard: RemoveGuard, fault: str, point: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    remove_guard(monkeypatch)
    shape = "brook" if fault in control.FAULTS else "ghent"
    breaches: set[str] = set()
    # Some failures occur only by chance, so several seeds may be needed.
    # With seeds 31, 32 and 34 the writing service is the faulty one.
    # With 31, lenders and borrowers are killed at an unfavourable time.
    # With 30, 38 and 42 the connection of a writing request is reset while the request runs; with 32,
    # 37 and 40 a late response arrives while another request waits.
    # With 24, 41, 42 and 57 the last member that has an order is the one that is lost.
    seeds_by_fault = {
        "lose_replies": (31, 32, 34, 35),
        "lose_lenders": (31, 32, 34, 35),
        "late_answers": (32, 30, 37, 38, 40, 42),
        "second_loss": (24, 41, 46, 48),
        "leaving_core": (42, 57, 58, 60, 66),
    }
    seeds = seeds_by_fault.get(fault, (33, 31, 32, 34, 35, 36))
    for seed in seeds:
        try:
            breaches |= set(trials.one_day(shape, seed, (fault,), 0.1, 3.0).breaches)
        except TimeoutError as error:
            breaches.add(str(error))
        if point in breaches:
            return
    raise AssertionError(f"{fault} without its safeguard breached {sorted(breaches)}, not {point}")
