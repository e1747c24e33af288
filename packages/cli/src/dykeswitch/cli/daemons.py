"""Running one of the three programs in this process."""

import argparse
import asyncio
import contextlib
import os
import pathlib
import random
import signal
import sys
import typing

import dykeswitch.adapter as adapters
import dykeswitch.logs as logs
import dykeswitch.outcome as outcome
import dykeswitch.ports.real as real
import dykeswitch.register.storage as storage
import dykeswitch.settings as settings

EXIT_SETTINGS: typing.Final = 2
EXIT_INTERRUPTED: typing.Final = 130


class Daemon(typing.Protocol):
    """What the three programs have in common."""

    async def run(self) -> None:
        """Run until stopped."""
        ...

    def stop(self) -> None:
        """Ask for an orderly stop."""
        ...

    def reload_settings(self, config: settings.Settings) -> None:
        """Take up changed settings, as far as a running program can."""
        ...


Read = typing.Callable[[], outcome.Success[settings.Settings] | outcome.Failure]


def _build(program: str, config: settings.Settings, adapter: adapters.Adapter) -> Daemon:
    machine = real.machine()
    log = logs.Log(program, config.name, config.log_level, machine.clock)
    log.bridge()
    # Ids drawn here must never be drawn twice in a fleet.
    rng = random.SystemRandom()
    # Each brought in only where it runs: starting is part of recovery.
    if program == "proxy":
        import dykeswitch.proxy.program as proxies

        return proxies.Proxy(config, machine, log, rng, adapter)
    if program == "registry":
        import dykeswitch.registry.program as registries

        return registries.Registry(config, machine, log, rng, adapter)
    import dykeswitch.store.program as stores

    return stores.Store(config, machine, real.RealDisk(pathlib.Path(config.data)), log, rng)


class Told:
    """What a process is told: read at the start, and again whenever it may have changed."""

    def __init__(self, read: Read) -> None:
        self._read = read
        self.config: settings.Settings | None = None

    def look(self) -> outcome.Success[settings.Settings] | outcome.Failure:
        """Read it; one that has faults is told of and changes nothing."""
        found = self._read()
        if isinstance(found, outcome.Success):
            self.config = found.value
        return found


async def _watch(told: Told, daemon: Daemon, config: settings.Settings, sign: asyncio.Event) -> None:
    """Have the program retold when its settings change, with a signal or without one."""
    held = config
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(config.drain_s):
                await sign.wait()
        sign.clear()
        found = told.look()
        if isinstance(found, outcome.Success) and found.value != held:
            held = found.value
            daemon.reload_settings(held)


async def _run(program: str, told: Told, adapter: adapters.Adapter) -> None:
    config = told.config
    assert config is not None
    daemon = _build(program, config, adapter)
    loop = asyncio.get_running_loop()
    interrupts = 0

    def interrupt() -> None:
        nonlocal interrupts
        interrupts += 1
        # Who sits at a terminal and asks twice means now.
        if interrupts > 1:
            os._exit(EXIT_INTERRUPTED)
        daemon.stop()

    # A platform may ask for the same stop again: that is no reason to drop what is at work.
    loop.add_signal_handler(signal.SIGTERM, daemon.stop)
    loop.add_signal_handler(signal.SIGINT, interrupt)
    changed = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    watch = asyncio.create_task(_watch(told, daemon, config, changed))
    try:
        await daemon.run()
    finally:
        watch.cancel()
        _ignore_signals(loop)


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """A program that is all but over is not ended by a signal: who asked again would see it fail."""
    for sign in (signal.SIGTERM, signal.SIGHUP):
        loop.remove_signal_handler(sign)
        signal.signal(sign, signal.SIG_IGN)


def _plain(code: outcome.Code, text: str) -> int:
    sys.stderr.write(f"dykeswitch: {code.number} {code.tag}: {text}\n")
    return EXIT_SETTINGS


def run(program: str, spoken: argparse.Namespace) -> int:
    """Run a program until it is told to stop; its exit code."""
    return start(program, lambda: settings.gather(program, spoken), adapters.DefaultAdapter())


def start(program: str, read: Read, adapter: adapters.Adapter) -> int:
    """Run a program by what `read` tells it, through an adapter to the outside; its exit code."""
    told = Told(read)
    result = told.look()
    if isinstance(result, outcome.Failure):
        return _plain(result.code, "; ".join(result.faults))
    config = result.value
    if program == "store":
        folder = pathlib.Path(config.data)
        if not folder.is_dir() or not os.access(folder, os.W_OK):
            return _plain(outcome.RESULT_CODES["no_folder"], config.data)
    try:
        asyncio.run(_run(program, told, adapter))
    except storage.StorageDamageError as flaw:
        return _plain(outcome.RESULT_CODES["disk_fault"], str(flaw))
    except OSError as flaw:
        return _plain(outcome.RESULT_CODES["port_taken"], str(flaw))
    return 0
