"""Which rule of the layout holds for an exchange, and with it service, expiry and tries."""

import random
import typing

import dykeswitch.layout as layouts
import dykeswitch.proxy.exchange as exchanges
import dykeswitch.settings as settings

# How soon a caller may come again while we have no layout yet.
NO_LAYOUT_RETRY_S: typing.Final = 1.0


def find_rule(
    exchange: exchanges.Exchange, layout: layouts.Layout | None, config: settings.Settings, rng: random.Random
) -> str | None:
    """Bring an exchange under the layout's rule; the tag of what is wrong, if anything is."""
    if layout is None:
        exchange.retry_after = NO_LAYOUT_RETRY_S
        return "no_layout"
    rule = layout.match(exchange.host, exchange.path, exchange.method)
    if rule is None:
        return "no_rule"
    # Drawn once where the rule is split, and again only if the rule has moved on.
    if exchange.service not in rule.services():
        exchange.service = rule.draw(rng)
    if not exchange.service:
        # The route is there, but all parts of its split weigh nothing.
        exchange.retry_after = config.back_s
        return "no_endpoint"
    limits = layouts.limits(layout, rule, exchange.service)
    exchange.layout = layout
    exchange.rule = rule
    exchange.writing = rule.writes(exchange.method)
    exchange.request_s = limits.get("request_s", config.request_s)
    exchange.max_tries = limits.get("max_tries", config.max_tries)
    # The earlier of the caller's own expiry and the rule's holds.
    span = limits.get("expiry_s", config.request_s)
    exchange.expiry = exchange.started_at + (
        span if exchange.requested_timeout_s is None else min(span, exchange.requested_timeout_s)
    )
    return None


def next_services(
    exchange: exchanges.Exchange, attempts: int, layout: layouts.Layout | None, config: settings.Settings
) -> tuple[str, ...]:
    """The services to which another attempt may go after so many, by the layout of this moment."""
    rule = layout.match(exchange.host, exchange.path, exchange.method) if layout is not None else None
    if layout is None or rule is None or rule.writes(exchange.method):
        return ()
    services = rule.services()
    if exchange.service in services:
        services = (exchange.service,)
    return tuple(
        service
        for service in services
        if attempts < layouts.limits(layout, rule, service).get("max_tries", config.max_tries)
    )


def is_still_ruled(
    exchange: exchanges.Exchange, layout: layouts.Layout | None, config: settings.Settings
) -> bool:
    """Whether the layout of this very moment still lets the exchange go where it was selected for."""
    if layout is exchange.layout or layout is None:
        return layout is not None
    rule = layout.match(exchange.host, exchange.path, exchange.method)
    if rule is None or exchange.service not in rule.services():
        return False
    # Whether it may be repeated decides how long an attempt waits, and whether another follows.
    if rule.writes(exchange.method) is not exchange.writing:
        return False
    return exchange.attempts < layouts.limits(layout, rule, exchange.service).get(
        "max_tries", config.max_tries
    )
