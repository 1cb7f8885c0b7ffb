"""The gateway's process: start, signals, drain and exit code."""

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

FIRST_LIST_TIMEOUT_S = 1.0  # after which the gateway serves from the cached list
READY_TIMEOUT_S = 5.0  # ready after this even without a backend; requests are refused until there is one
DRAIN_ACCEPT_S = 0.5  # new connections are accepted for this long after SIGTERM
# SIGKILL may follow SIGTERM after the longest timeout of a class, this at most, and a grace period of which
# FINAL_ANSWERS_S pass before the open requests are answered.
MAX_DRAIN_DEADLINE_S = 3.0
FINAL_ANSWERS_S = 0.4
FLUSH_TIMEOUT_S = 0.1  # for the final answers to be sent
POLL_INTERVAL_S = 0.02
END_SIGNALS = (signal.SIGTERM, signal.SIGINT)
GC_THRESHOLD = 5000  # new objects between collections; bounds what garbage in cycles holds

log = logging.getLogger("elderhub")


async def serve(config: Config) -> None:
    """Runs a gateway until a signal ends it; raises OSError if it can't start."""
    stop = asyncio.Event()
    for signal_number in END_SIGNALS:
        _on_signal(signal_number, stop.set)
    host = Host(config)
    _on_signal(signal.SIGHUP, _reload, host, config)
    ready_task = await start_gateway(host, config)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    await stop.wait()
    ready_task.cancel()
    await drain(host, config)
    for signal_number in (*END_SIGNALS, signal.SIGHUP):
        signal.signal(signal_number, signal.SIG_IGN)


def _on_signal(signal_number: signal.Signals, callback: Callable[..., None], *args: object) -> None:
    """Calls `callback` in the loop at a signal, once for several that arrive before it runs.

    The loop's own handlers are not used: it restores the default action when it closes, and a signal would
    then kill a process that is about to exit with status 0.
    """
    loop, pending = asyncio.get_running_loop(), []

    def call() -> None:
        pending.clear()
        callback(*args)

    def handle_signal(*_: object) -> None:
        if not pending:
            pending.append(signal_number)
            loop.call_soon_threadsafe(call)

    signal.signal(signal_number, handle_signal)


async def start_gateway(host: Host, config: Config) -> asyncio.Task:
    """Opens a gateway's sockets and connections; raises OSError.

    Returns the task that marks the gateway as ready.
    """
    loop = asyncio.get_running_loop()
    host.clients.listen(*config.listen)
    if config.peer_listen is not None:
        await loop.create_datagram_endpoint(lambda: host.peers, local_addr=config.peer_listen)
    host.backends.start()
    if host.counter is not None:
        host.counter.start()
    host.apply_listing(config.known)
    host.discovery.start()
    return loop.create_task(_wait_until_ready(host))


def _reload(host: Host, config: Config) -> None:
    """Applies the addresses in the configuration file; a file that can't be used changes nothing."""
    try:
        discovery, counter = reload_addresses(os.environ, config)
    except ConfigError as error:
        log.error("not reloaded, the addresses stay: %s", error)
        return
    log.info("reloaded: discovery %s, counter %s", discovery, counter)
    host.set_addresses(discovery, counter)


async def _wait_until_ready(host: Host) -> None:
    """Marks the gateway as ready once it has backends and discovery has answered, or after the timeouts."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + READY_TIMEOUT_S
    try:
        async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
            await host.discovery.first_list_received.wait()
    except TimeoutError:
        log.warning("discovery has sent no list in time: serving from the cached list")
    while not host.backends.has_backend():
        if loop.time() >= deadline_s:
            log.warning("ready without a backend: requests are refused until one is known")
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    host.clients.is_ready = True


async def drain(host: Host, config: Config) -> None:
    """Drains a gateway after SIGTERM: answers open requests, and accepts connections for DRAIN_ACCEPT_S."""
    loop = asyncio.get_running_loop()
    longest_timeout_s = (
        max((request_class.timeout_ms for request_class in config.settings.classes.values()), default=0.0)
        / 1000.0
    )
    deadline_s = loop.time() + min(longest_timeout_s, MAX_DRAIN_DEADLINE_S) + FINAL_ANSWERS_S
    host.start_draining()
    await asyncio.sleep(DRAIN_ACCEPT_S)
    host.clients.stop_listening()
    while host.clients.has_connections() and loop.time() < deadline_s:
        await asyncio.sleep(POLL_INTERVAL_S)
    host.answer_open_requests()
    flush_deadline_s = loop.time() + FLUSH_TIMEOUT_S
    while host.clients.has_connections() and loop.time() < flush_deadline_s:
        await asyncio.sleep(POLL_INTERVAL_S)
    host.discovery.stop()


def main() -> int:
    """Runs the gateway; returns 2 for an unusable configuration, 1 if it can't start, else 0."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # kills the process by default; the file is read after this
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
