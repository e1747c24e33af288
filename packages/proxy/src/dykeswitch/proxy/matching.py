"""Which rule of the layout holds for an exchange, and with it service, expiry and tries."""

import random
import typing

import dykeswitch.layout as layouts
import dykeswitch.proxy.exchange as exchanges
import dykeswitch.settings as settings

# How soon a caller may come again while we have no layout yet.
NO_LAYOUT_RETRY_S: typing.Final = 1.0


def find_rule(
    x: exchanges.Exchange, layout: layouts.Layout | None, bounds: settings.Settings, rng: random.Random
) -> str | None:
    """Bring an exchange under the layout's rule; the tag of what is wrong, if anything is."""
    if layout is None:
        x.retry_after = NO_LAYOUT_RETRY_S
        return "no_layout"
    rule = layout.match(x.host, x.path, x.method)
    if rule is None:
        return "no_rule"
    # Drawn once where the rule is split, and again only if the rule has moved on.
    if x.service not in rule.services():
        x.service = rule.draw(rng)
    if not x.service:
        # The route is there, but all parts of its split weigh nothing.
        x.retry_after = bounds.back_s
        return "no_endpoint"
    limits = layouts.limits(layout, rule, x.service)
    x.layout = layout
    x.rule = rule
    x.writing = rule.writes(x.method)
    x.request_s = limits.get("request_s", bounds.request_s)
    x.max_tries = limits.get("max_tries", bounds.max_tries)
    # The earlier of the caller's own expiry and the rule's holds.
    span = limits.get("expiry_s", bounds.request_s)
    x.expiry = x.born + (span if x.asked_s is None else min(span, x.asked_s))
    return None


def next_services(
    x: exchanges.Exchange, goes: int, layout: layouts.Layout | None, bounds: settings.Settings
) -> tuple[str, ...]:
    """The services to which another attempt may go after so many, by the layout of this moment."""
    rule = layout.match(x.host, x.path, x.method) if layout is not None else None
    if layout is None or rule is None or rule.writes(x.method):
        return ()
    services = rule.services()
    if x.service in services:
        services = (x.service,)
    return tuple(
        service
        for service in services
        if goes < layouts.limits(layout, rule, service).get("max_tries", bounds.max_tries)
    )


def is_still_ruled(x: exchanges.Exchange, layout: layouts.Layout | None, bounds: settings.Settings) -> bool:
    """Whether the layout of this very moment still lets the exchange go where it was selected for."""
    if layout is x.layout or layout is None:
        return layout is not None
    rule = layout.match(x.host, x.path, x.method)
    if rule is None or x.service not in rule.services():
        return False
    # Whether it may be repeated decides how long an attempt waits, and whether another follows.
    if rule.writes(x.method) is not x.writing:
        return False
    return x.goes < layouts.limits(layout, rule, x.service).get("max_tries", bounds.max_tries)
