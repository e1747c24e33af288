"""The operator's commands: query, apply, fetch, compare and check."""

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
EXIT_OK: typing.Final = 0
EXIT_REFUSED: typing.Final = 1
EXIT_USAGE: typing.Final = 2
EXIT_UNREACHABLE: typing.Final = 3
EXIT_UNKNOWN: typing.Final = 4
REQUEST_TIMEOUT_S: typing.Final = 10.0


def add_commands(subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the operator's commands."""
    text = "send a query or command to the fleet, in the operators' language"
    subparser = subparsers.add_parser("query", help=text, description=text)
    _add_at(subparser)
    subparser.add_argument("text", nargs="+", help="for example: who is paused service pages")
    subparser.add_argument("--json", action="store_true", help="print JSON rather than a table")
    subparser.add_argument("--by", default=getpass.getuser(), help="name of the operator (default: the user)")
    text = "send a layout (JSON, or Kubernetes-style objects in YAML)"
    subparser = subparsers.add_parser("apply", help=text, description=text)
    _add_at(subparser)
    subparser.add_argument("file")
    subparser.add_argument("--if-version", type=int, help="only if this is the newest version")
    text = "print the newest layout"
    subparser = subparsers.add_parser("fetch", help=text, description=text)
    _add_at(subparser)
    text = "compare a layout file with the newest layout"
    subparser = subparsers.add_parser("compare", help=text, description=text)
    _add_at(subparser)
    subparser.add_argument("file")
    text = "validate a layout or a settings file; needs no fleet"
    subparser = subparsers.add_parser("check", help=text, description=text)
    subparser.add_argument("kind", choices=["layout", *settings.PROGRAMS])
    subparser.add_argument("file")


def _add_at(subparser: argparse.ArgumentParser) -> None:
    subparser.add_argument(
        "--at",
        required=True,
        metavar="IP:PORT,...",
        help="addresses of registries; the first that responds is used",
    )


def run(args: argparse.Namespace) -> int:
    """Run one command and return its exit code."""
    if args.word == "check":
        return _check(args)
    return asyncio.run(_remote(args))


def _report_failure(failure: outcome.Failure) -> int:
    sys.stderr.write(f"dykeswitch: {failure.code.number} {failure.code.tag}: {failure.code.text}\n")
    for line in (failure.detail, *failure.faults):
        if line:
            sys.stderr.write(f"  {line}\n")
    return EXIT_USAGE if failure.code.tag == "bad_settings" else EXIT_REFUSED


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
            return _report_failure(result)
        layout = result.value
        print(f"valid layout: {len(layout.services)} services, {len(layout.rules)} rules")
        return EXIT_OK
    flags = argparse.ArgumentParser()
    settings.add_flags(flags)
    checked = settings.gather(args.kind, flags.parse_args(["--settings", args.file]))
    if isinstance(checked, outcome.Failure):
        return _report_failure(checked)
    print(f"valid settings of a {args.kind} named {checked.value.name}")
    return EXIT_OK


async def _remote(args: argparse.Namespace) -> int:
    addresses = args.at.split(",")
    faults = [f"{address}: {fault}" for address in addresses if (fault := ports.address_fault(address))]
    if faults:
        return _report_failure(outcome.failure("bad_settings", faults=tuple(faults)))
    if args.word == "query":
        return await _query(args, addresses)
    if args.word == "fetch":
        return await _fetch(addresses)
    result = _load(args.file)
    if isinstance(result, outcome.Failure):
        return _report_failure(result)
    if args.word == "apply":
        return await _apply(args, addresses, result.value)
    return await _compare(addresses, result.value)


async def _request(
    addresses: list[str], method: str, path: str, body: bytes, headers: list[tuple[str, str]]
) -> ports.Response | None:
    """Return the first response; a registry without a majority (503) is skipped if another has one."""
    web = real.RealWeb()
    last: ports.Response | None = None
    for address in addresses:
        try:
            response = await web.request(method, address, path, headers, body, REQUEST_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            sys.stderr.write(f"dykeswitch: {address}: {error or 'no response within the timeout'}\n")
            # The change may have been made after all, so another registry must not make it again.
            if isinstance(error, TimeoutError) and method in ("PUT", "POST"):
                return None
            continue
        if response.status != 503:
            return response
        last = response
    return last


def _exit_code(response: ports.Response | None) -> int | None:
    """Report a response that is not a success and return its exit code; None for a success."""
    if response is None:
        return EXIT_UNREACHABLE
    if response.status == 200:
        return None
    try:
        page = json.loads(response.body)
    except ValueError:
        page = {}
    sys.stderr.write(f"dykeswitch: {page.get('code', response.status)} {page.get('result', '')}: ")
    sys.stderr.write(f"{page.get('text', 'refused')}\n")
    for line in [page.get("why"), *page.get("faults", [])]:
        if line:
            sys.stderr.write(f"  {line}\n")
    return EXIT_UNKNOWN if response.status == 504 else EXIT_REFUSED


async def _query(args: argparse.Namespace, addresses: list[str]) -> int:
    # The shell removes the quotes around a reason, so arguments that contain spaces are quoted again.
    words = args.text
    if len(words) > 1:
        words = [f'"{w}"' if " " in w and '"' not in w else w for w in words]
    body = json.dumps({"text": " ".join(words), "by": args.by}).encode()
    response = await _request(addresses, "POST", "/v1/query", body, [("content-type", "application/json")])
    code = _exit_code(response)
    if code is not None or response is None:
        return EXIT_UNREACHABLE if code is None else code
    page = json.loads(response.body)
    if args.json:
        print(json.dumps(page, indent=2))
        return EXIT_OK
    print(language.table(page["columns"], page["rows"]))
    for name, text in page.get("summary", {}).items():
        print(f"{name}: {text}")
    fresh = page["fresh"]
    if not fresh["majority"]:
        print(f"-- {fresh['by']} can't reach a majority of stores: the result may be outdated")
    return EXIT_OK


async def _apply(args: argparse.Namespace, addresses: list[str], layout: layouts.Layout) -> int:
    headers = [("content-type", "application/json")]
    if args.if_version is not None:
        headers.append(("if-match", f'"{args.if_version}"'))
    response = await _request(addresses, "PUT", "/v1/layout", layouts.serialize(layout), headers)
    code = _exit_code(response)
    if code is not None or response is None:
        return EXIT_UNREACHABLE if code is None else code
    print(f"version {json.loads(response.body)['version']}")
    return EXIT_OK


async def _newest(addresses: list[str]) -> tuple[int | None, ports.Response | None]:
    response = await _request(addresses, "GET", "/v1/layout", b"", [])
    return _exit_code(response), response


async def _fetch(addresses: list[str]) -> int:
    code, response = await _newest(addresses)
    if code is not None or response is None:
        return EXIT_UNREACHABLE if code is None else code
    sys.stderr.write(f"version {response.header('dykeswitch-version')}\n")
    print(json.dumps(json.loads(response.body), indent=2, sort_keys=True))
    return EXIT_OK


async def _compare(addresses: list[str], layout: layouts.Layout) -> int:
    code, response = await _newest(addresses)
    if code is not None or response is None:
        return EXIT_UNREACHABLE if code is None else code
    newest_lines = json.dumps(json.loads(response.body), indent=2, sort_keys=True).splitlines()
    file_lines = json.dumps(layout.doc, indent=2, sort_keys=True).splitlines()
    newest = f"version {response.header('dykeswitch-version')}"
    differences = list(difflib.unified_diff(newest_lines, file_lines, newest, "file", lineterm=""))
    print("\n".join(differences) if differences else f"no difference from {newest}")
    return EXIT_REFUSED if differences else EXIT_OK
