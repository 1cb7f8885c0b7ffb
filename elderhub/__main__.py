"""Start, signals, drain, exit code."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Callable

import uvloop

from .config import Config, ConfigError, load_config, reload_addresses
from .host import Host

FIRST_LIST_TIMEOUT_S = 1.0  # so long a start waits for discovery before it serves from the list it remembers
READY_TIMEOUT_S = 5.0  # ready by then, though no backend is known: what comes is refused until one is
DRAIN_ACCEPT_S = 0.5  # so long after SIGTERM new connections still come
# after SIGTERM, SIGKILL may come after the longest deadline, this at most, and a bit
MAX_DRAIN_DEADLINE_S = 3.0
LAST_ANSWERS_S = 0.4  # of that bit: what is open then is answered
FLUSH_S = 0.1  # and so long the last answers may take to go out
POLL_S = 0.02
END_SIGNALS = (signal.SIGTERM, signal.SIGINT)
GC_THRESHOLD = 5000  # new objects; what cycles keep alive until then is no more than a MB

log = logging.getLogger("elderhub")


async def serve(config: Config) -> None:
    stop = asyncio.Event()
    for name in END_SIGNALS:
        _handle(name, stop.set)
    host = Host(config)
    _handle(signal.SIGHUP, _reload, host, config)
    ready = await start_gateway(host, config)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    await stop.wait()
    ready.cancel()
    await drain(host, config)
    for name in (*END_SIGNALS, signal.SIGHUP):
        signal.signal(name, signal.SIG_IGN)


def _handle(name: signal.Signals, what: Callable[..., None], *args: object) -> None:
    """Call `what` in the loop at such a signal; once, for several that come before it is called. A handler of
    the loop's own would give the signal back its default when the loop closes, and then one kills a process
    that is about to end well."""
    loop, waiting = asyncio.get_running_loop(), []

    def call() -> None:
        waiting.clear()
        what(*args)

    def come(*_: object) -> None:
        if not waiting:
            waiting.append(name)
            loop.call_soon_threadsafe(call)

    signal.signal(name, come)


async def start_gateway(host: Host, config: Config) -> asyncio.Task:
    """Open all that a gateway needs; returns what waits until it is ready. Raises OSError."""
    loop = asyncio.get_running_loop()
    host.clients.listen(*config.listen)
    if config.peer_listen is not None:
        await loop.create_datagram_endpoint(lambda: host.peers, local_addr=config.peer_listen)
    host.backends.start()
    if host.counter is not None:
        host.counter.start()
    host.apply_listing(config.known)
    host.discovery.start()
    return loop.create_task(_ready(host))


def _reload(host: Host, config: Config) -> None:
    """A file that can't be used changes nothing."""
    try:
        discovery, counter = reload_addresses(os.environ, config)
    except ConfigError as error:
        log.error("not reloaded: %s", error)
        return
    log.info("reloaded: discovery %s, counter %s", discovery, counter)
    host.set_addresses(discovery, counter)


async def _ready(host: Host) -> None:
    """Serves once there are backends to send to, and the list is fresh or discovery is silent; or late."""
    loop = asyncio.get_running_loop()
    last = loop.time() + READY_TIMEOUT_S
    try:
        async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
            await host.discovery.first_list_received.wait()
    except TimeoutError:
        log.warning("discovery is silent: serving from the list remembered")
    while not host.backends.has_backend():
        if loop.time() >= last:
            log.warning("ready without a backend")
            break
        await asyncio.sleep(POLL_S)
    host.clients.is_ready = True


async def drain(host: Host, config: Config) -> None:
    """From SIGTERM to the end: what was taken is answered, new connections come for a moment yet."""
    loop = asyncio.get_running_loop()
    longest = max((c.timeout_ms for c in config.settings.classes.values()), default=0.0) / 1000.0
    last = loop.time() + min(longest, MAX_DRAIN_DEADLINE_S) + LAST_ANSWERS_S
    host.start_draining()
    await asyncio.sleep(DRAIN_ACCEPT_S)
    host.clients.stop_listening()
    while host.clients.has_connections() and loop.time() < last:
        await asyncio.sleep(POLL_S)
    host.answer_open_requests()
    flushed = loop.time() + FLUSH_S
    while host.clients.has_connections() and loop.time() < flushed:
        await asyncio.sleep(POLL_S)
    host.discovery.stop()


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # it would kill us; the file is read after this anyway
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        uvloop.run(serve(load_config(os.environ)))
    except ConfigError as error:
        print(f"elderhub: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"elderhub: could not start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
