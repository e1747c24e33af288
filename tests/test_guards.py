"""Each guard taken away in turn: the failure it is meant for must then show.

A day that holds proves little unless the same day breaks without the guard.
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

Wreck = typing.Callable[[pytest.MonkeyPatch], None]


def _no_proof(patch: pytest.MonkeyPatch) -> None:
    async def proven(connection: connections.EndpointConnection, path: str, served_by: bytes) -> None:
        return None

    patch.setattr(connections, "verify", proven)
    # A request names the endpoint that it is for, and any other refuses it: with that guard
    # alone the address holds too, so both are taken away.
    patch.setattr(adapters.DefaultAdapter, "header_names", adapters.HeaderNames(expected=b"x-nobody"))


def _always_retry(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        carriers.Carrier, "_is_spent", lambda self, exchange: exchange.attempts >= exchange.max_tries
    )
    # The budget would hide it: few extra go's are paid for in a day this short.
    _no_budget(patch)


def _no_budget(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(budgets.Budget, "take", lambda self, now: True)


def _tries_for_ever(patch: pytest.MonkeyPatch) -> None:
    # Orders are still kept to what holds for them: this is of reading alone.
    patch.setattr(
        carriers.Carrier, "_is_spent", lambda self, exchange: exchange.writing and exchange.attempts > 0
    )
    _no_budget(patch)


def _keeps_what_failed(patch: pytest.MonkeyPatch) -> None:
    deliver = deliveries.Delivery.deliver

    async def delivered(self: deliveries.Delivery, exchange: exchanges.Exchange) -> None:
        await deliver(self, exchange)
        if exchange.head_came and exchange.answer is None:
            exchange.answer = exchanges.Answer(connections.ResponseHead(200, []), b"", None)

    patch.setattr(deliveries.Delivery, "deliver", delivered)


def _hands_on_all_time(patch: pytest.MonkeyPatch) -> None:
    own = headers.request_headers

    def from_the_begin(
        exchange: exchanges.Exchange, adapter: adapters.Adapter, names: adapters.HeaderNames, now: float
    ) -> connections.Headers:
        return own(exchange, adapter, names, exchange.started_at)

    patch.setattr(headers, "request_headers", from_the_begin)


def _deaf_to_departures(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(departures.Departure, "announce", lambda self: None)


def _cut_passes(patch: pytest.MonkeyPatch) -> None:
    whole = connections.EndpointConnection.parts

    async def parts(self: connections.EndpointConnection) -> typing.AsyncIterator[bytes]:
        try:
            async for part in whole(self):
                yield part
        except connections.EndpointConnectionError:
            return

    patch.setattr(connections.EndpointConnection, "parts", parts)


def _always_hint(patch: pytest.MonkeyPatch) -> None:
    answer = answering.Answering.refuse

    async def hinted(
        self: answering.Answering, exchange: exchanges.Exchange, failure: outcome.Failure
    ) -> None:
        exchange.retry_after = 1
        await answer(self, exchange, failure)

    patch.setattr(answering.Answering, "refuse", hinted)


def _forgetful_storage(patch: pytest.MonkeyPatch) -> None:
    put = storage.Storage.put

    def forget(self: storage.Storage, key: str, record: typing.Any) -> None:
        if key.startswith("@"):
            put(self, key, record)

    patch.setattr(storage.Storage, "put", forget)


def _rude_stop(patch: pytest.MonkeyPatch) -> None:
    async def leave(self: proxies.Proxy) -> None:
        assert self._server is not None
        await self._server.stop(0.0)

    patch.setattr(proxies.Proxy, "_leave", leave)


def _deaf_to_leaving(patch: pytest.MonkeyPatch) -> None:
    note = selection.Selector._note

    def deaf(self: typing.Any, entry: typing.Any) -> None:
        if entry.fields.get("state") != "left":
            note(self, entry)

    patch.setattr(selection.Selector, "_note", deaf)
    patch.setattr(selection.Selector, "up", _up_of_all)
    patch.setattr(selection.Selector, "usable", lambda self, entry: True)

    def subset(self: typing.Any, service: str, tried: set[str]) -> list[typing.Any]:
        return [entry for entry in self.up(service) if entry.key not in tried]

    # The subset that selection is made among looks at the state of endpoints by itself.
    patch.setattr(selection.Selector, "_subset", subset)


def _up_of_all(self: typing.Any, service: str) -> list[typing.Any]:
    return [e for e in self._timeline.all("endpoint") if e.fields["service"] == service]


def _hears_forever(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(proxies.Proxy, "silence_s", lambda self: 0.0)


def _no_fence(patch: pytest.MonkeyPatch) -> None:
    # The prober's own look at its clock covers for the fence: both are taken away.
    patch.setattr(timelines.Timeline, "_fence_holds", lambda self, entry: True)
    patch.setattr(probers.Prober, "_stale", lambda self, begun: False)


def _no_last_call(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(proxies.Proxy, "_hurry", lambda self, exchange: None)


def _lends_at_once(patch: pytest.MonkeyPatch) -> None:
    # Neither waiting for what the lender before lent, nor counting it as out.
    patch.setattr(lenders.Lender, "_takeover_wait_s", lambda self, ownership: 0.0)


def _no_pauses(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(proxies.Proxy, "paused", lambda self, endpoint: None)


def _no_knocking(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(membership.Gossip, "_stranger", lambda self: None)


def _confirms_by_memory(patch: pytest.MonkeyPatch) -> None:
    # Asking a majority, and knowing of a newer layout without holding it, cover for each
    # other at a core that lags: both are taken away.
    async def read(self: publishers.Publisher) -> None:
        return None

    async def caught_up(self: documents.Documents, addresses: typing.Sequence[ports.Address]) -> bool:
        await catch_up(self, addresses)
        return True

    catch_up = documents.Documents.catch_up
    reading = publishers.Publisher.read_documents

    async def keep(self: upkeeps.Upkeep) -> None:
        while True:
            await reading(self._parts.publisher)
            await asyncio.sleep(self._config.sweep_interval_s)

    patch.setattr(publishers.Publisher, "read_documents", read)
    patch.setattr(upkeeps.Upkeep, "_read_documents_loop", keep)
    patch.setattr(documents.Documents, "catch_up", caught_up)


def _slips_back(patch: pytest.MonkeyPatch) -> None:
    reads = proxies.Proxy._reads

    async def slip(self: proxies.Proxy, name: str, version: int, data: bytes) -> documents.Apply | None:
        old = self.carrier.layout
        apply = await reads(self, name, version, data)
        if apply is None or name != documents.LAYOUT or old is None:
            return apply

        def back() -> None:
            apply()
            fresh = self.carrier.layout
            loop = asyncio.get_running_loop()
            loop.call_later(0.6, lambda: setattr(self.carrier, "layout", old))
            loop.call_later(1.2, lambda: setattr(self.carrier, "layout", fresh))

        return back

    patch.setattr(proxies.Proxy, "_reads", slip)


def _breaks_are_accepted(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(checker.Checker, "fault", lambda self, path, text: None)


def _slow_news(patch: pytest.MonkeyPatch) -> None:
    async def keep(self: proxies.Proxy) -> None:
        while True:
            await asyncio.sleep(5.0)
            await self.documents.catch_up(self._addresses())

    patch.setattr(proxies.Proxy, "_keep_documents", keep)


def _reads_by_memory(patch: pytest.MonkeyPatch) -> None:
    async def newest(self: orders.Orders) -> outcome.Success[register.Value] | outcome.Failure:
        held = self._parts.publisher.documents
        version = held.version(documents.LAYOUT)
        return outcome.Success(register.Value(version, held.body(documents.LAYOUT)))

    patch.setattr(orders.Orders, "newest", newest)


def _forgets_orders(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(order_memory.Ledger, "digest", lambda self, number: None)


def _one_vote_decides(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(register, "majority", lambda group, yes: any(disk in yes for disk, _ in group))


def _never_mends(patch: pytest.MonkeyPatch) -> None:
    # Reads that find copies apart and the sweep cover for each other: both are taken away.
    async def repair_copies(self: proposers.Proposer) -> int:
        return 0

    async def read(self: proposers.Proposer, key: str) -> proposers.Read:
        have = self.copies._held.get(key)
        found = await self.copies.everyone(key)
        if len(found) < 2:
            return outcome.failure("no_majority")
        top = max(copy.ballot for copy in found.values())
        newest = {disk: copy for disk, copy in found.items() if copy.ballot == top}
        return outcome.Success(self.copies._value_of(key, top, newest, have))

    patch.setattr(proposers.Proposer, "repair_copies", repair_copies)
    # Each read waits for the core that is down: with all the changes it is a day of five minutes.
    patch.setattr(control, "CHANGES", 24)
    patch.setattr(proposers.Proposer, "read", read)


def _takes_any_answer(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(connections.EndpointConnection, "_answers", lambda self, head, name: True)


def _keeps_heartbeats_to_itself(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(standing.Readiness, "has_majority", lambda self: True)


GUARDS: typing.Final[list[tuple[Wreck, str, str]]] = [
    (_no_proof, "hand_over_address", "right_owner"),
    (_always_retry, "lose_replies", "run_twice"),
    (_no_budget, "fail_service", "extra_bound"),
    (_tries_for_ever, "every_run_fails", "tries_bounded"),
    # A route that changes between two attempts.
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
    # A core that is cut off for long.
    (_reads_by_memory, "cut_core_long", "register_holds"),
    (_reads_by_memory, "cut_core_long_in", "register_holds"),
    (_reads_by_memory, "cut_core_long_out", "register_holds"),
    (_keeps_heartbeats_to_itself, "cut_core_long", "not_turned_away"),
    # Two operators, and orders sent again.
    (_one_vote_decides, "two_operators", "one_body_per_version"),
    (_forgets_orders, "two_operators", "never_refused_again"),
    # A second loss after a repair, and a member that leaves.
    (_one_vote_decides, "second_loss", "register_holds"),
    (_one_vote_decides, "leaving_core", "register_holds"),
    # Hundreds of changes, and members that start again or wake.
    (_never_mends, "hundreds_of_changes", "no_crash"),
    (_reads_by_memory, "hundreds_of_changes", "register_holds"),
    # Answers that come late, and calls that may not be repeated.
    (_takes_any_answer, "late_answers", "own_replies"),
    (_always_retry, "late_answers", "run_twice"),
]


@pytest.mark.parametrize(("wreck", "fault", "point"), GUARDS)
def test_without_its_guard_the_failure_shows(
    wreck: Wreck, fault: str, point: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    wreck(monkeypatch)
    shape = "brook" if fault in control.FAULTS else "ghent"
    found: set[str] = set()
    # Some failures need luck to show: a few seeds may be needed for one.
    # With seeds 31, 32 and 34 the writing service is the one that misbehaves.
    # With 31 those who lent and those who had something die at a bad moment.
    # With 30, 38 and 42 a write's connection is reset amid its run; with 32, 37 and 40 a late
    # answer comes where another request waits.
    # With 24, 41, 42 and 57 the last one that holds an order is the one that is lost.
    picked = {
        "lose_replies": (31, 32, 34, 35),
        "lose_lenders": (31, 32, 34, 35),
        "late_answers": (32, 30, 37, 38, 40, 42),
        "second_loss": (24, 41, 46, 48),
        "leaving_core": (42, 57, 58, 60, 66),
    }
    seeds = picked.get(fault, (33, 31, 32, 34, 35, 36))
    for seed in seeds:
        try:
            found |= set(trials.one_day(shape, seed, (fault,), 0.1, 3.0).breaches)
        except TimeoutError as flaw:
            found.add(str(flaw))
        if point in found:
            return
    raise AssertionError(f"{fault} without its guard broke {sorted(found)}, not {point}")
