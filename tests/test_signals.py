"""Repeated signals, and signals before a program has started up, on real processes."""

import ast
import asyncio
import pathlib
import signal
import subprocess
import sys
import typing

import pytest

import dykeswitch.standin.fleet as fleets
import dykeswitch.standin.shape as shapes

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
ORDERS: typing.Final = shapes.ServiceShape("orders", 2, 10, "/orders", "POST", 0.05)
TINY: typing.Final = shapes.Shape("tiny", 1, 1, ("z1",), (ORDERS,))
EXIT_INTERRUPTED: typing.Final = 130


def test_a_stop_that_is_asked_for_again_and_again_drops_nothing() -> None:
    async def main() -> None:
        async with fleets.running(TINY, 1) as fleet:
            await fleet.start()
            [proxy] = fleet.proxies
            order = asyncio.create_task(fleet.clients.send_request(ORDERS, proxy.web, "&work=2"))

            def at_work() -> bool:
                return any(line[0] == "hit" for host in fleet.hosts for line in host.lines())

            await fleet.until(at_work, 10, "an order at work")
            # Until the process has ended, also while it no longer serves and its interpreter exits.
            while proxy.running():
                proxy.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.005)
                proxy.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.005)
            request = await order
            assert (request.status, request.error) == (200, "")
            assert proxy.exit_code == 0
            # A second interrupt from a terminal ends a process at once.
            registry = fleet.cores[0][0]
            registry.send_signal(signal.SIGINT)
            await asyncio.sleep(0.1)
            registry.send_signal(signal.SIGINT)
            assert await registry.wait_exit(3) == EXIT_INTERRUPTED

    asyncio.run(main())


@pytest.mark.parametrize("path", ["packages/cli/src/dykeswitch/cli/main.py", "platform/run.py"])
def test_a_program_outlives_sighup_before_it_loads_anything_that_takes_time(path: str) -> None:
    """SIGHUP means changed settings, but would end a process that hasn't installed its handler yet."""
    tree = ast.parse((ROOT / path).read_text())
    imports = [node for node in tree.body if isinstance(node, (ast.Import, ast.ImportFrom))]
    first = imports[0]
    assert isinstance(first, ast.Import)
    assert [alias.name for alias in first.names] == ["dykeswitch.cli.early"]
    # Importing this module is enough to ignore the signal, and loads nothing else of the product.
    code = (
        "import sys; before = set(sys.modules); import dykeswitch.cli.early;"
        "import os, signal; os.kill(os.getpid(), signal.SIGHUP);"
        "print([name for name in sys.modules if name not in before and name.startswith('dykeswitch.')])"
    )
    run = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert run.stdout.strip() == "['dykeswitch.cli', 'dykeswitch.cli.early']"
