"""The grammar of the operators' language, and the conversion of parse trees to commands."""

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

# Descriptions of terminals in error messages.
TERMINAL_TEXTS: typing.Final = {
    "NAME": "a name",
    "SPAN": "a span such as 90s, 10m, 2h or 1d",
    "REASON": 'a reason in "quotes"',
    "PATH": "a path that starts with /",
    "HOST": "a host's name",
    "METHOD": "a method such as GET",
    "$END": "the end",
}
# The maximum duration of a pause, and the maximum time until it begins: ten years.
MAX_SPAN_S: typing.Final = 3650 * 86400.0
UNIT_S: typing.Final = {"s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}


def _seconds(token: lark.Token) -> float:
    return float(token[:-1]) * UNIT_S[token[-1]]


class _Build(lark.Transformer[lark.Token, language.Command]):
    """Converts a parse tree to a command; each method handles the grammar rule of its name."""

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
        in_s = _seconds(parts[2]) if parts[2] is not None else 0.0
        return language.Pause(str(parts[0]), _seconds(parts[1]), in_s, str(parts[3])[1:-1])

    def end(self, parts: list[typing.Any]) -> language.Command:
        return language.End(str(parts[0]))


_PARSER: typing.Final = lark.Lark(GRAMMAR, parser="earley", maybe_placeholders=True)


def _expected(terminals: typing.Iterable[str]) -> str:
    texts = set()
    for terminal in terminals:
        texts.add(TERMINAL_TEXTS.get(terminal, f"'{terminal.lower()}'"))
    return ", ".join(sorted(texts))


def parse(text: str) -> outcome.Success[language.Command] | outcome.Failure:
    """Parse a command, or report the position of the error and what was expected there."""
    if len(text) > 2000:
        return outcome.failure("bad_query", "longer than 2000 characters")
    try:
        tree = _PARSER.parse(text)
    except lark.UnexpectedCharacters as error:
        terminals = error.allowed or set()
        return outcome.failure("bad_query", f"at column {error.column}: expected {_expected(terminals)}")
    except lark.UnexpectedEOF as error:
        return outcome.failure("bad_query", f"at the end: expected {_expected(error.expected)}")
    except lark.UnexpectedInput as error:
        return outcome.failure("bad_query", f"at column {error.column}: syntax error")
    command = _Build().transform(tree)
    if not isinstance(command, language.Pause):
        return outcome.Success(command)
    if not (0 < command.for_s <= MAX_SPAN_S and command.in_s <= MAX_SPAN_S):
        # Times beyond the range of a calendar could be stored but not displayed.
        return outcome.failure(
            "bad_query", "a pause must last longer than 0 and at most 3650d, and begin within 3650d"
        )
    return outcome.Success(command)
