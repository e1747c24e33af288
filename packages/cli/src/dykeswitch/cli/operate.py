"""What an operator does from the command line."""

import argparse
import asyncio
import difflib
import getpass
import json
import pathlib
import sys
import typing

import dykeswitch.language as language
import dykeswitch.layout as layouts
import dykeswitch.layout.objects as objects
import dykeswitch.outcome as outcome
import dykeswitch.ports as ports
import dykeswitch.ports.real as real
import dykeswitch.settings as settings

# Exit codes: docs/result-codes.md lists them.
DONE: typing.Final = 0
REFUSED: typing.Final = 1
MISUSED: typing.Final = 2
UNREACHED: typing.Final = 3
UNKNOWN: typing.Final = 4
WAIT_S: typing.Final = 10.0


def add_commands(words: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """The operator's commands."""
    text = "ask or command the fleet in the operators' language"
    sub = words.add_parser("query", help=text, description=text)
    _add_at(sub)
    sub.add_argument("text", nargs="+", help="for example: who is paused service pages")
    sub.add_argument("--json", action="store_true", help="print JSON rather than a table")
    sub.add_argument("--by", default=getpass.getuser(), help="who asks (default: the user)")
    text = "send a layout (JSON, or Kubernetes-style objects in YAML)"
    sub = words.add_parser("apply", help=text, description=text)
    _add_at(sub)
    sub.add_argument("file")
    sub.add_argument("--if-version", type=int, help="only if this is the newest version")
    text = "fetch the newest layout"
    sub = words.add_parser("fetch", help=text, description=text)
    _add_at(sub)
    text = "compare a layout file with the newest layout"
    sub = words.add_parser("compare", help=text, description=text)
    _add_at(sub)
    sub.add_argument("file")
    text = "check a layout or a settings file without any fleet"
    sub = words.add_parser("check", help=text, description=text)
    sub.add_argument("kind", choices=["layout", *settings.PROGRAMS])
    sub.add_argument("file")


def _add_at(sub: argparse.ArgumentParser) -> None:
    sub.add_argument(
        "--at", required=True, metavar="IP:PORT,...", help="registries; the first that answers is used"
    )


def run(args: argparse.Namespace) -> int:
    """Carry out one command; its exit code."""
    if args.word == "check":
        return _check(args)
    return asyncio.run(_remote(args))


def _say(failure: outcome.Failure) -> int:
    sys.stderr.write(f"dykeswitch: {failure.code.number} {failure.code.tag}: {failure.code.text}\n")
    for line in (failure.detail, *failure.faults):
        if line:
            sys.stderr.write(f"  {line}\n")
    return MISUSED if failure.code.tag == "bad_settings" else REFUSED


def _load(path: str) -> outcome.Success[layouts.Layout] | outcome.Failure:
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        return outcome.failure("bad_layout", faults=(f"{path}: {error.strerror}",))
    if path.endswith((".yaml", ".yml")):
        return objects.read(data)
    return layouts.read(data)


def _check(args: argparse.Namespace) -> int:
    if args.kind == "layout":
        result = _load(args.file)
        if isinstance(result, outcome.Failure):
            return _say(result)
        layout = result.value
        print(f"good: {len(layout.services)} services, {len(layout.rules)} rules")
        return DONE
    flags = argparse.ArgumentParser()
    settings.add_flags(flags)
    found = settings.gather(args.kind, flags.parse_args(["--settings", args.file]))
    if isinstance(found, outcome.Failure):
        return _say(found)
    print(f"good: settings for a {args.kind} named {found.value.name}")
    return DONE


async def _remote(args: argparse.Namespace) -> int:
    addresses = args.at.split(",")
    flaws = [f"{s}: {f}" for s in addresses if (f := ports.address_fault(s))]
    if flaws:
        return _say(outcome.failure("bad_settings", faults=tuple(flaws)))
    if args.word == "query":
        return await _query(args, addresses)
    if args.word == "fetch":
        return await _fetch(addresses)
    result = _load(args.file)
    if isinstance(result, outcome.Failure):
        return _say(result)
    if args.word == "apply":
        return await _apply(args, addresses, result.value)
    return await _compare(addresses, result.value)


async def _ask(
    addresses: list[str], method: str, path: str, body: bytes, headers: list[tuple[str, str]]
) -> ports.Response | None:
    """The first answer; a registry without a majority is passed over if another has one."""
    web = real.RealWeb()
    last: ports.Response | None = None
    for address in addresses:
        try:
            reply = await web.request(method, address, path, headers, body, WAIT_S)
        except (OSError, TimeoutError) as error:
            sys.stderr.write(f"dykeswitch: {address}: {error or 'no answer in time'}\n")
            # What was sent may have been done: another registry must not do it again.
            if isinstance(error, TimeoutError) and method in ("PUT", "POST"):
                return None
            continue
        if reply.status != 503:
            return reply
        last = reply
    return last


def _told(reply: ports.Response | None) -> int | None:
    """The exit code of an answer that is no success."""
    if reply is None:
        return UNREACHED
    if reply.status == 200:
        return None
    try:
        page = json.loads(reply.body)
    except ValueError:
        page = {}
    sys.stderr.write(f"dykeswitch: {page.get('code', reply.status)} {page.get('result', '')}: ")
    sys.stderr.write(f"{page.get('text', 'refused')}\n")
    for line in [page.get("why"), *page.get("faults", [])]:
        if line:
            sys.stderr.write(f"  {line}\n")
    return UNKNOWN if reply.status == 504 else REFUSED


async def _query(args: argparse.Namespace, addresses: list[str]) -> int:
    # A shell takes the quotes off a reason: words that came as one are quoted again.
    words = args.text
    if len(words) > 1:
        words = [f'"{w}"' if " " in w and '"' not in w else w for w in words]
    ask = json.dumps({"text": " ".join(words), "by": args.by}).encode()
    reply = await _ask(addresses, "POST", "/v1/query", ask, [("content-type", "application/json")])
    code = _told(reply)
    if code is not None or reply is None:
        return UNREACHED if code is None else code
    page = json.loads(reply.body)
    if args.json:
        print(json.dumps(page, indent=2))
        return DONE
    print(language.table(page["columns"], page["rows"]))
    for name, text in page.get("summary", {}).items():
        print(f"{name}: {text}")
    fresh = page["fresh"]
    if not fresh["majority"]:
        print(f"-- {fresh['by']} has no majority of stores: this may be old")
    return DONE


async def _apply(args: argparse.Namespace, addresses: list[str], layout: layouts.Layout) -> int:
    headers = [("content-type", "application/json")]
    if args.if_version is not None:
        headers.append(("if-match", f'"{args.if_version}"'))
    reply = await _ask(addresses, "PUT", "/v1/layout", layouts.serialize(layout), headers)
    code = _told(reply)
    if code is not None or reply is None:
        return UNREACHED if code is None else code
    print(f"version {json.loads(reply.body)['version']}")
    return DONE


async def _newest(addresses: list[str]) -> tuple[int | None, ports.Response | None]:
    reply = await _ask(addresses, "GET", "/v1/layout", b"", [])
    return _told(reply), reply


async def _fetch(addresses: list[str]) -> int:
    code, reply = await _newest(addresses)
    if code is not None or reply is None:
        return UNREACHED if code is None else code
    sys.stderr.write(f"version {reply.header('dykeswitch-version')}\n")
    print(json.dumps(json.loads(reply.body), indent=2, sort_keys=True))
    return DONE


async def _compare(addresses: list[str], layout: layouts.Layout) -> int:
    code, reply = await _newest(addresses)
    if code is not None or reply is None:
        return UNREACHED if code is None else code
    one = json.dumps(json.loads(reply.body), indent=2, sort_keys=True).splitlines()
    two = json.dumps(layout.doc, indent=2, sort_keys=True).splitlines()
    newest = f"version {reply.header('dykeswitch-version')}"
    lines = list(difflib.unified_diff(one, two, newest, "file", lineterm=""))
    print("\n".join(lines) if lines else f"the same as {newest}")
    return REFUSED if lines else DONE
