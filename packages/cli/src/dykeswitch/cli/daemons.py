"""Runs one of the three programs in this process."""

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
    """The common interface of the three programs."""

    async def run(self) -> None:
        """Run until stopped."""
        ...

    def stop(self) -> None:
        """Request an orderly stop."""
        ...

    def reload_settings(self, config: settings.Settings) -> None:
        """Apply changed settings, as far as a running program can."""
        ...


ReadSettings = typing.Callable[[], outcome.Success[settings.Settings] | outcome.Failure]


def _build(program: str, config: settings.Settings, adapter: adapters.Adapter) -> Daemon:
    machine = real.machine()
    log = logs.Log(program, config.name, config.log_level, machine.clock)
    log.bridge()
    # Ids made from this must be unique in the whole fleet.
    rng = random.SystemRandom()
    # Only the program that runs is imported, because start time is part of recovery time.
    if program == "proxy":
        import dykeswitch.proxy.program as proxies

        return proxies.Proxy(config, machine, log, rng, adapter)
    if program == "registry":
        import dykeswitch.registry.program as registries

        return registries.Registry(config, machine, log, rng, adapter)
    import dykeswitch.store.program as stores

    return stores.Store(config, machine, real.RealDisk(pathlib.Path(config.data)), log, rng)


class SettingsSource:
    """The settings of a process, read at the start and again whenever they may have changed."""

    def __init__(self, read: ReadSettings) -> None:
        self._read = read
        self.config: settings.Settings | None = None

    def load(self) -> outcome.Success[settings.Settings] | outcome.Failure:
        """Read the settings; invalid ones are returned as a failure and leave `config` unchanged."""
        result = self._read()
        if isinstance(result, outcome.Success):
            self.config = result.value
        return result


async def _watch(
    source: SettingsSource, daemon: Daemon, config: settings.Settings, changed: asyncio.Event
) -> None:
    """Reload changed settings: checked when `changed` is set, and every `drain_s` seconds without it."""
    current = config
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(config.drain_s):
                await changed.wait()
        changed.clear()
        result = source.load()
        if isinstance(result, outcome.Success) and result.value != current:
            current = result.value
            daemon.reload_settings(current)


async def _run(program: str, source: SettingsSource, adapter: adapters.Adapter) -> None:
    config = source.config
    assert config is not None
    daemon = _build(program, config, adapter)
    loop = asyncio.get_running_loop()
    interrupts = 0

    def interrupt() -> None:
        nonlocal interrupts
        interrupts += 1
        # A second interrupt from a terminal ends the process at once.
        if interrupts > 1:
            os._exit(EXIT_INTERRUPTED)
        daemon.stop()

    # A platform may repeat SIGTERM; unlike a repeated SIGINT, that must not drop requests in progress.
    loop.add_signal_handler(signal.SIGTERM, daemon.stop)
    loop.add_signal_handler(signal.SIGINT, interrupt)
    changed = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    watch = asyncio.create_task(_watch(source, daemon, config, changed))
    try:
        await daemon.run()
    finally:
        watch.cancel()
        _ignore_signals(loop)


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore signals while the process exits, so that a repeated stop doesn't make it exit with an error."""
    for number in (signal.SIGTERM, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _fail(code: outcome.Code, text: str) -> int:
    sys.stderr.write(f"dykeswitch: {code.number} {code.tag}: {text}\n")
    return EXIT_SETTINGS


def run(program: str, args: argparse.Namespace) -> int:
    """Run a program until it is stopped; return its exit code."""
    return start(program, lambda: settings.gather(program, args), adapters.DefaultAdapter())


def start(program: str, read: ReadSettings, adapter: adapters.Adapter) -> int:
    """Run a program with the settings that `read` returns and the given adapter; return its exit code."""
    source = SettingsSource(read)
    result = source.load()
    if isinstance(result, outcome.Failure):
        return _fail(result.code, "; ".join(result.faults))
    config = result.value
    if program == "store":
        folder = pathlib.Path(config.data)
        if not folder.is_dir() or not os.access(folder, os.W_OK):
            return _fail(outcome.RESULT_CODES["no_folder"], config.data)
    try:
        asyncio.run(_run(program, source, adapter))
    except storage.StorageDamageError as error:
        return _fail(outcome.RESULT_CODES["disk_fault"], str(error))
    except OSError as error:
        return _fail(outcome.RESULT_CODES["port_taken"], str(error))
    return 0
