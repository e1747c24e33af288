"""The web server of real machines: uvicorn, which also says when a caller has left."""

import asyncio
import collections.abc
import contextlib
import socket
import typing

import uvicorn
import uvicorn.protocols.http.h11_impl as h11_impl
import uvicorn.server

import dykeswitch.ports as ports
import dykeswitch.ports.departure as departures

KEEP_ALIVE_S: typing.Final = 60
BACKLOG: typing.Final = 1024
# How many bytes behind the request at hand are taken in, so that a departure behind them is seen.
READ_AHEAD_MOST: typing.Final = 65536
# How often it is looked whether the server has started, in seconds.
START_POLL_S: typing.Final = 0.005


class CallerProtocol(h11_impl.H11Protocol):
    """One connection of a caller; its requests' scopes hold the caller's departure."""

    def __init__(
        self,
        config: uvicorn.Config,
        server_state: uvicorn.server.ServerState,
        app_state: dict[str, typing.Any],
        _loop: asyncio.AbstractEventLoop | None = None,
    ) -> None:
        self._departure = departures.Departure()
        state = {**app_state, departures.STATE_KEY: self._departure}
        super().__init__(config, server_state, state, _loop)

    def handle_events(self) -> None:
        """Take in what came; the server itself stops reading behind a whole request."""
        super().handle_events()
        if self.flow.read_paused and self._is_answering():
            # Where nothing is read, nobody sees the connection's end either.
            if len(self.conn.trailing_data[0]) < READ_AHEAD_MOST:
                self.flow.resume_reading()

    def _is_answering(self) -> bool:
        """Whether a request is here whole, and its answer is not."""
        return self.cycle is not None and not self.cycle.more_body and not self.cycle.response_complete

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is over, whoever ended it."""
        super().connection_lost(exc)
        self._departure.announce()


class _Server(uvicorn.Server):
    """Uvicorn without its own signal handlers: the program has its own."""

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Generator[None, None, None]:
        yield


class RealWebServer:
    """One application served by uvicorn in this process."""

    def __init__(self, server: uvicorn.Server, task: "asyncio.Task[None]") -> None:
        self._server = server
        self._task = task

    async def stop(self, grace: float) -> None:
        """Stop serving, with `grace` seconds for the calls that are running."""
        self._server.config.timeout_graceful_shutdown = max(1, int(grace))
        self._server.should_exit = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace + 1):
                await asyncio.wait([self._task])


async def serve(host: str, port: int, app: ports.App, head_most: int) -> RealWebServer:
    """Serve an application, with request heads of at most `head_most` bytes; `OSError` where it can't be."""
    # Bind first, so that a taken port is told as one plain line.
    # The protocol is named: asyncio turns Nagle's delay off only where it is, and a
    # reply's head and body are two writes.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    config = uvicorn.Config(
        typing.cast(typing.Any, app),
        http=CallerProtocol,
        interface="asgi3",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        h11_max_incomplete_event_size=head_most,
        timeout_keep_alive=KEEP_ALIVE_S,
        backlog=BACKLOG,
    )
    server = _Server(config)
    task = asyncio.create_task(server.serve(sockets=[sock]))
    while not server.started:
        if task.done():
            await task
            raise OSError(f"cannot serve on {host}:{port}")
        await asyncio.sleep(START_POLL_S)
    return RealWebServer(server, task)
