"""A keyed request whose repeat waits for a late connection: it must not be sent once its key has expired.

One trial after the other: a backend applies a request and answers with 500 shortly before the window for
repeats ends; connections to a third of the backends come up late just then.
"""

import asyncio
import contextlib
import copy
import random
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

BACKEND_COUNT, GATEWAY_COUNT, TRIALS = 9, 3, 12
WINDOW_S = 1.0  # keyTtlMs
TIMEOUT_S = 5.0  # the give-up time of the class
CONNECT_TIMEOUT_MS = 1500.0
KEEPALIVE_MS = 2000.0  # a gateway closes an idle connection after half of this
PAUSE_S = 1.5 + 1.0  # between two trials, so that each begins without open connections
FIRST_ANSWER_S = 0.85  # after the first attempt came
SLACK_S = 0.05 + 0.15  # on the window: of each time limit, and of a gateway that is held up
LATE_PART = 3  # connections to one backend in so many come up late
# Connections to a full listening queue come up when the client's system tries again, a second later.
QUEUE_FULL_S = 0.6


def settings():
    changed = copy.deepcopy(standins.SETTINGS)
    changed["policyLimits"] |= {"connectTimeoutMs": CONNECT_TIMEOUT_MS, "keepaliveMs": KEEPALIVE_MS}
    for request_class in changed["classes"]:
        if request_class["name"] == "file-result":
            request_class |= {
                "idempotency": "keyed",
                "keyScope": "all",
                "keyTtlMs": WINDOW_S * 1000.0,
                "promiseMs": 1200.0,
                "giveUpMs": TIMEOUT_S * 1000.0,
            }
    return changed


class LateBackend(standins.Backend):
    """A backend whose listening queue can be full for a while."""

    async def start(self):
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        self._fillers = []
        self._openings = set()
        self.empty_queue()
        return self

    def _accept(self):
        with contextlib.suppress(BlockingIOError):
            sock, _ = self._listener.accept()
            task = asyncio.create_task(self._open(sock))
            self._openings.add(task)
            task.add_done_callback(self._openings.discard)

    async def _open(self, sock):
        self.on_accepted(*await asyncio.open_connection(sock=sock))

    def fill_queue(self):
        """Fills the listening queue, so that new connections come up late."""
        asyncio.get_running_loop().remove_reader(self._listener)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(("127.0.0.1", self.port))
            self._fillers.append(filler)

    def empty_queue(self):
        """Accepts what waits in the listening queue, and new connections at once."""
        while self._fillers:
            self._fillers.pop().close()
        asyncio.get_running_loop().add_reader(self._listener, self._accept)


async def send_request(case, gateway, number):
    """Sends one request and returns the status of its answer; None if there is none."""
    request_id = f"{number:016x}"
    message = (
        f"POST /api/{0x2000 + number:016x} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {request_id}\r\n"
        f"X-Priority-Class: file-result\r\nPlan: ampliado\r\nIdempotency-Key: key-{number}\r\n"
        f"X-Timeout: {TIMEOUT_S:.3f}\r\nContent-Length: 6\r\n"
        f"Quota-Info: units=1,spread={GATEWAY_COUNT},first=0\r\n\r\nresult"
    )
    reader, writer = await asyncio.open_connection(*gateway.address)
    writer.write(message.encode())
    case.log("client", f"wrote request {request_id} to {gateway.name}")
    status = None
    with contextlib.suppress(TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        async with asyncio.timeout(TIMEOUT_S + 0.5):
            first_line, _, _ = await standins.read_message(reader)
            status = int(first_line.split()[1])
    case.log("client", f"request {request_id} was answered {status}")
    writer.close()
    return status


async def play(case):
    applied = {}  # by key: backend and time of each run
    is_first_done = {}  # by key: event
    first_backend = {}

    async def serve(attempt):
        key = attempt.headers[b"idempotency-key"].decode()
        runs = applied.setdefault(key, [])
        if runs and attempt.at_s - runs[0][1] <= WINDOW_S + SLACK_S:
            case.log(attempt.backend, f"discarded a repeat of {key}, whose answer is known")
            return standins.answer(200, b"recorded " + key.encode())
        runs.append((attempt.backend, attempt.at_s))
        case.log(attempt.backend, f"applied {key}")
        if len(runs) > 1:
            return standins.answer(200, b"recorded " + key.encode())
        first_backend[key] = attempt.backend
        is_first_done[key].set()
        await asyncio.sleep(FIRST_ANSWER_S)
        return standins.answer(500, b"")

    backends = [await LateBackend(case, f"b{n}", serve).start() for n in range(BACKEND_COUNT)]
    gateways = await case.start_fleet(GATEWAY_COUNT, settings(), backends)
    await asyncio.sleep(2.0)
    for number in range(TRIALS):
        key = f"key-{number}"
        is_first_done[key] = asyncio.Event()
        request = asyncio.create_task(send_request(case, gateways[number % GATEWAY_COUNT], number))
        await asyncio.wait_for(is_first_done[key].wait(), TIMEOUT_S)
        if standins.TROUBLE:
            others = [backend for backend in backends if backend.name != first_backend[key]]
            late = random.sample(others, BACKEND_COUNT // LATE_PART)
            case.log("network", f"connections to {', '.join(b.name for b in late)} come up late")
            for backend in late:
                backend.fill_queue()
            await asyncio.sleep(
                max(0.0, applied[key][0][1] + FIRST_ANSWER_S + QUEUE_FULL_S - time.monotonic())
            )
            for backend in late:
                backend.empty_queue()
        await request
        runs = applied[key]
        if len(runs) > 1:
            case.break_rule(
                f"{key} was applied by {runs[0][0]} and, {runs[1][1] - runs[0][1]:.3f} s later, by "
                f"{runs[1][0]}: its window is {WINDOW_S} s"
            )
        await asyncio.sleep(PAUSE_S)


def main():
    return standins.run_case(FOLDER, play)


if __name__ == "__main__":
    sys.exit(main())
