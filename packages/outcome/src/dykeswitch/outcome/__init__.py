"""Success and failure results, and the numbered result codes that all programs share."""

import dataclasses
import typing

T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Code:
    """One numbered result code; `docs/result-codes.md` lists them all."""

    number: int
    tag: str
    status: int
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Success(typing.Generic[T]):
    """The result of an operation that succeeded."""

    value: T


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """The result of an operation that was not done, or whose outcome is unknown."""

    code: Code
    detail: str = ""
    faults: tuple[str, ...] = ()

    def page(self) -> dict[str, object]:
        """Returns the JSON body of an error response."""
        body: dict[str, object] = {
            "code": self.code.number,
            "result": self.code.tag,
            "text": self.code.text,
        }
        if self.detail:
            body["why"] = fit(self.detail)
        if self.faults:
            body["faults"] = [fit(text) for text in self.faults]
        return body


def fit(text: str) -> str:
    """Returns text with lone surrogates escaped: input may contain them, but UTF-8 cannot encode them."""
    return text.encode("utf-8", "backslashreplace").decode()


def _index_by_tag(*codes: Code) -> dict[str, Code]:
    # A number or tag used twice would make log lines ambiguous, so duplicates fail at import.
    if len({code.number for code in codes}) != len(codes):
        raise ValueError("duplicate result code number")
    by_tag = {code.tag: code for code in codes}
    if len(by_tag) != len(codes):
        raise ValueError("duplicate result code tag")
    return by_tag


# 1xx: responses to clients. 2xx: endpoints. 3xx: layouts and operators.
# 4xx: the register. 5xx: calls between members. 6xx: startup.
RESULT_CODES: typing.Final[dict[str, Code]] = _index_by_tag(
    Code(101, "no_rule", 404, "no rule sends this request anywhere"),
    Code(102, "no_layout", 503, "no confirmed layout yet; the request did not run"),
    Code(103, "no_endpoint", 503, "no endpoint could take it; the request did not run"),
    Code(104, "too_busy", 503, "too many exchanges at once; the request did not run"),
    Code(105, "body_too_big", 413, "the request's body is over the bound"),
    Code(106, "head_too_big", 431, "the request's headers are over the bound"),
    Code(107, "bad_expiry", 400, "the expiry header is not a whole number of milliseconds"),
    Code(108, "outcome_unknown", 502, "the pipe broke after the request was sent; outcome unknown"),
    Code(109, "timed_out", 504, "no reply in time after the request was sent; outcome unknown"),
    Code(110, "bad_reply", 502, "the endpoint's reply was garbage or cut short; outcome unknown"),
    Code(111, "not_run", 503, "given up on; the request did not run and will not"),
    Code(112, "expired", 504, "the expiry passed before anything was sent; the request did not run"),
    Code(113, "wrong_owner", 502, "the reply came from another endpoint; outcome unknown"),
    Code(114, "stopping", 503, "this proxy is stopping; the request did not run"),
    Code(115, "caller_left", 499, "the caller left before it was answered"),
    Code(116, "cut_off", 503, "this proxy reaches no other node; the request did not run"),
    Code(201, "bad_beat", 400, "the beat is malformed"),
    Code(202, "beat_gone", 409, "this id has left or was displaced; announce with a new id"),
    Code(203, "not_held", 503, "too few other cores heard of it in time; tell another registry"),
    Code(204, "cut_off_registry", 503, "this registry reaches no majority of stores; tell another registry"),
    Code(301, "bad_layout", 422, "the layout has faults"),
    Code(302, "lost_race", 412, "the version to match is not the newest"),
    Code(303, "no_such", 404, "there is no such thing here"),
    Code(304, "bad_json", 400, "the body is not JSON"),
    Code(305, "bad_match", 400, "If-Match takes one version number"),
    Code(306, "too_big", 413, "the body is over the bound"),
    Code(307, "bad_query", 400, "the query is malformed"),
    Code(308, "number_taken", 409, "another layout was confirmed under this number"),
    Code(309, "too_old", 504, "too old to tell whether it was taken; read the newest layout"),
    Code(401, "no_majority", 503, "no majority of stores answered; nothing was changed"),
    Code(402, "unknown", 504, "outcome unknown: a repeat of the same change settles it"),
    Code(403, "conflict", 503, "another change went first; nothing was changed"),
    Code(404, "other_disk", 409, "the store at this address holds another disk"),
    Code(405, "not_seated", 409, "this disk is in no member set and has no vote"),
    Code(406, "old_epoch", 409, "the member set is newer than the one asked under"),
    Code(407, "disk_fault", 500, "the disk refused or damaged a write"),
    Code(408, "outvoted", 409, "a higher ballot was promised"),
    Code(501, "bad_frame", 400, "a frame is malformed"),
    Code(502, "frame_too_big", 413, "a frame is over the bound"),
    Code(503, "other_version", 400, "a frame is of another version"),
    Code(504, "no_reply", 504, "the member did not answer in time"),
    Code(505, "no_kind", 400, "the member does not know this kind of call"),
    Code(506, "broke", 500, "the member failed on this call"),
    Code(601, "bad_settings", 500, "the settings have faults"),
    Code(602, "port_taken", 500, "an address can not be listened on"),
    Code(603, "no_folder", 500, "the data folder is missing or not writable"),
)


def failure(tag: str, detail: str = "", faults: tuple[str, ...] = ()) -> Failure:
    """Returns the failure with the result code of this tag."""
    return Failure(RESULT_CODES[tag], detail, faults)
