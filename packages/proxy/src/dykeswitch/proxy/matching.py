"""Matches exchanges to rules of the layout, which give the service, the deadline and the attempts."""

import random
import typing

import dykeswitch.layout as layouts
import dykeswitch.proxy.exchange as exchanges
import dykeswitch.settings as settings

# Retry-After for clients while this proxy has no layout yet.
NO_LAYOUT_RETRY_S: typing.Final = 1.0


def find_rule(
    exchange: exchanges.Exchange, layout: layouts.Layout | None, config: settings.Settings, rng: random.Random
) -> str | None:
    """Apply the layout's matching rule to an exchange; return a result tag if none can be applied."""
    if layout is None:
        exchange.retry_after = NO_LAYOUT_RETRY_S
        return "no_layout"
    rule = layout.match(exchange.host, exchange.path, exchange.method)
    if rule is None:
        return "no_rule"
    # A split rule's service is chosen at random once, and again only if the rule no longer has that service.
    if exchange.service not in rule.services():
        exchange.service = rule.draw(rng)
    if not exchange.service:
        # The route exists, but all weights of its split are zero.
        exchange.retry_after = config.back_s
        return "no_endpoint"
    limits = layouts.limits(layout, rule, exchange.service)
    exchange.layout = layout
    exchange.rule = rule
    exchange.writing = rule.writes(exchange.method)
    exchange.attempt_timeout_s = limits.get("request_s", config.request_s)
    exchange.max_tries = limits.get("max_tries", config.max_tries)
    # The shorter of the client's timeout and the rule's applies.
    timeout_s = limits.get("expiry_s", config.request_s)
    exchange.deadline = exchange.started_at + (
        timeout_s if exchange.requested_timeout_s is None else min(timeout_s, exchange.requested_timeout_s)
    )
    return None


def next_services(
    exchange: exchanges.Exchange, attempts: int, layout: layouts.Layout | None, config: settings.Settings
) -> tuple[str, ...]:
    """Return the services that another attempt may go to, by the current layout and attempt count."""
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


def rule_still_applies(
    exchange: exchanges.Exchange, layout: layouts.Layout | None, config: settings.Settings
) -> bool:
    """Return whether the current layout still routes the exchange to the service selected for it."""
    if layout is exchange.layout or layout is None:
        return layout is not None
    rule = layout.match(exchange.host, exchange.path, exchange.method)
    if rule is None or exchange.service not in rule.services():
        return False
    # Whether a request is repeatable decides how long an attempt may take and whether another follows.
    if rule.writes(exchange.method) is not exchange.writing:
        return False
    return exchange.attempts < layouts.limits(layout, rule, exchange.service).get(
        "max_tries", config.max_tries
    )
