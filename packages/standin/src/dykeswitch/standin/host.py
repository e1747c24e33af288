"""A stand-in endpoint as a process of its own, for fleets of real processes."""

import asyncio
import json
import pathlib
import random
import signal
import sys
import time
import typing

import dykeswitch.ports.real as real
import dykeswitch.standin.endpoint as endpoints
import dykeswitch.standin.nature as profiles


async def serve(spec: dict[str, typing.Any]) -> None:
    """Serve requests and send heartbeats; leave in order on SIGTERM.

    Each request that arrives and each that is executed is written as a line to the file `spec["runs"]`.
    """
    # A blocking open is harmless here: it happens once, before anything is served.
    with pathlib.Path(spec["runs"]).open("a", buffering=1) as log:  # noqa: ASYNC230

        def on_execution(endpoint: endpoints.Endpoint, method: str, target: str, body: bytes) -> None:
            log.write(json.dumps(["run", time.monotonic(), target]) + "\n")

        def on_arrival(endpoint: endpoints.Endpoint, method: str, target: str) -> None:
            log.write(json.dumps(["hit", time.monotonic(), target]) + "\n")

        endpoint = endpoints.Endpoint(
            spec["name"],
            spec["service"],
            spec["spot"],
            spec["zone"],
            real.machine(),
            lambda: spec["registries"],
            random.Random(spec["name"]),
            spec["work_s"],
            on_execution=on_execution,
            on_arrival=on_arrival,
            profile=profiles.EndpointProfile(**spec.get("nature", {})),
        )
        endpoint.plan.fault = spec.get("fault", "none")
        endpoint.plan.share = spec.get("share", 1.0)
        await endpoint.open()
        terminated = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, terminated.set)
        heartbeats = asyncio.create_task(endpoint.send_heartbeats())
        await terminated.wait()
        heartbeats.cancel()
        if await endpoint.leave():
            log.write(json.dumps(["left", time.monotonic(), ""]) + "\n")
        await asyncio.sleep(3.0)
        endpoint.close()


if __name__ == "__main__":
    asyncio.run(serve(json.loads(sys.argv[1])))
