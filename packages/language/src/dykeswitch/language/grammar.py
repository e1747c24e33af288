"""The grammar of the operators' language, and from its tree to a command."""

import typing

import lark

import dykeswitch.language as language
import dykeswitch.outcome as outcome

GRAMMAR: typing.Final = r"""
start: who | votes | show | explain | trail | pause | end

who: "who"i "is"i "paused"i filter*
votes: "who"i "votes"i filter*
show: "show"i subject filter*
subject: PAUSED | ENDPOINTS | SERVICES | RULES | MEMBERS | PROXIES
       | DUTIES | PAUSES | LAYOUT | HISTORY | LOANS
filter: "service"i NAME -> by_service
      | "zone"i NAME -> by_zone
      | "endpoint"i NAME -> by_endpoint
explain: "explain"i METHOD [HOST] PATH
trail: "explain"i "exchange"i NAME
pause: "pause"i NAME "for"i SPAN ["in"i SPAN] "because"i REASON
end: "end"i "pause"i NAME

PAUSED.2: "paused"i
ENDPOINTS.2: "endpoints"i
SERVICES.2: "services"i
RULES.2: "rules"i
MEMBERS.2: "members"i
PROXIES.2: "proxies"i
DUTIES.2: "duties"i
PAUSES.2: "pauses"i
LAYOUT.2: "layout"i
HISTORY.2: "history"i
LOANS.2: "loans"i
METHOD.2: /(GET|HEAD|POST|PUT|DELETE|PATCH|OPTIONS|TRACE)\b/
PATH: /\/[^\s]*/
SPAN.3: /[0-9]+(\.[0-9]+)?(s|m|h|d)\b/
REASON: /"[^"\n]{1,200}"/
HOST: /[A-Za-z0-9][A-Za-z0-9_.-]*/
NAME: /[A-Za-z0-9_][A-Za-z0-9_.:-]*/

%import common.WS
%ignore WS
"""

# What the parser's own names for words are called towards an operator.
PLAIN: typing.Final = {
    "NAME": "a name",
    "SPAN": "a span such as 90s, 10m, 2h or 1d",
    "REASON": 'a reason in "quotes"',
    "PATH": "a path that starts with /",
    "HOST": "a host's name",
    "METHOD": "a method such as GET",
    "$END": "the end",
}
# No window may be longer, nor begin later: ten years.
SPAN_MOST: typing.Final = 3650 * 86400.0
UNITS: typing.Final = {"s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}


def _span(token: lark.Token) -> float:
    return float(token[:-1]) * UNITS[token[-1]]


class _Build(lark.Transformer[lark.Token, language.Command]):
    """From the parse tree to a command."""

    def start(self, parts: list[typing.Any]) -> language.Command:
        return typing.cast(language.Command, parts[0])

    def by_service(self, parts: list[lark.Token]) -> tuple[str, str]:
        return ("service", str(parts[0]))

    def by_zone(self, parts: list[lark.Token]) -> tuple[str, str]:
        return ("zone", str(parts[0]))

    def by_endpoint(self, parts: list[lark.Token]) -> tuple[str, str]:
        return ("endpoint", str(parts[0]))

    def subject(self, parts: list[lark.Token]) -> str:
        return parts[0].lower()

    def who(self, parts: list[typing.Any]) -> language.Command:
        return language.Show("paused", tuple(parts))

    def votes(self, parts: list[typing.Any]) -> language.Command:
        return language.Show("votes", tuple(parts))

    def show(self, parts: list[typing.Any]) -> language.Command:
        return language.Show(parts[0], tuple(parts[1:]))

    def explain(self, parts: list[typing.Any]) -> language.Command:
        return language.Explain(str(parts[0]), str(parts[1] or ""), str(parts[2]))

    def trail(self, parts: list[typing.Any]) -> language.Command:
        return language.Trail(str(parts[0]))

    def pause(self, parts: list[typing.Any]) -> language.Command:
        later = _span(parts[2]) if parts[2] is not None else 0.0
        return language.Pause(str(parts[0]), _span(parts[1]), later, str(parts[3])[1:-1])

    def end(self, parts: list[typing.Any]) -> language.Command:
        return language.End(str(parts[0]))


_PARSER: typing.Final = lark.Lark(GRAMMAR, parser="earley", maybe_placeholders=True)


def _expected(names: typing.Iterable[str]) -> str:
    words = set()
    for name in names:
        words.add(PLAIN.get(name, f"'{name.lower()}'"))
    return ", ".join(sorted(words))


def parse(text: str) -> outcome.Success[language.Command] | outcome.Failure:
    """A command out of text, or the place of the fault and what was expected there."""
    if len(text) > 2000:
        return outcome.failure("bad_query", "longer than 2000 letters")
    try:
        tree = _PARSER.parse(text)
    except lark.UnexpectedCharacters as flaw:
        names = flaw.allowed or set()
        return outcome.failure("bad_query", f"at column {flaw.column}: expected {_expected(names)}")
    except lark.UnexpectedEOF as flaw:
        return outcome.failure("bad_query", f"at the end: expected {_expected(flaw.expected)}")
    except lark.UnexpectedInput as flaw:
        return outcome.failure("bad_query", f"at column {flaw.column}: not understood")
    command = _Build().transform(tree)
    if not isinstance(command, language.Pause):
        return outcome.Success(command)
    if not (0 < command.for_s <= SPAN_MOST and command.in_s <= SPAN_MOST):
        # Past what a calendar holds it could be planned, and never shown.
        return outcome.failure("bad_query", "a pause takes a span over 0, and up to 3650d")
    return outcome.Success(command)
