"""Bad clients whose heads never end: the gateway has to stay under its limit on memory.

The stand-in for the platform kills a gateway that goes over `memory_mb`, as the page on deployment says.
"""

import asyncio
import contextlib
import itertools
import signal
import string
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

BACKEND_COUNT, GATEWAY_COUNT, CLIENT_COUNT = 8, 2, 8
WORK_S = 0.1
USUAL_S = 8.0  # how long the usual clients send
BAD_AFTER_S = 2.0  # from the first usual request
# Both are told in the configuration, within the range of the pages; the bench of short days gives these.
MEMORY_MB, SOCKETS = 80, 544
BAD_CLIENTS = 120  # "hundreds of connections"; under a quarter of the descriptors
HEAD_LINES = 4900  # of a head that never ends, with names and values of 13 bytes in all
BAD_OWED_S = 3.0  # a bad client is owed a close or an error by then
CHECK_INTERVAL_S = 0.005
TIMEOUT_S = 5.0
ANSWER_SLACK_S = 0.5


def endless_head():
    """Returns the beginning of a request: a request line and header lines, without the empty line."""
    names = itertools.islice(itertools.product(string.ascii_lowercase, repeat=3), HEAD_LINES)
    lines = b"".join(b"%b:%b\r\n" % ("".join(name).encode(), b"v" * 10) for name in names)
    return b"GET /api/0000000000004000 HTTP/1.1\r\nHost: api.internal\r\n" + lines


def memory_mb(pid):
    """Returns the memory of a process without what it shares with files; None if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return None
    kib = {line.split(":")[0]: int(line.split()[1]) for line in lines if line.startswith("Rss")}
    return (kib["RssAnon"] + kib["RssShmem"]) / 1024.0 if kib else None


async def watch_memory(case, gateway, peaks):
    """Kills a gateway that goes over its limit on memory."""
    while (used_mb := memory_mb(gateway.process.pid)) is not None:
        peaks[gateway.name] = max(peaks.get(gateway.name, 0.0), used_mb)
        if used_mb > MEMORY_MB:
            case.break_rule(f"{gateway.name} was killed for memory: {used_mb:.0f} of {MEMORY_MB} MB")
            gateway.signal(signal.SIGKILL)
            return
        await asyncio.sleep(CHECK_INTERVAL_S)


async def run_usual_client(case, number, gateway, until_s, counts):
    """Sends one request after the other, and notes those that get no final answer."""
    reader = writer = None
    for count in itertools.count():
        if time.monotonic() > until_s or gateway.process.poll() is not None:
            break
        request_id = f"{number:08x}{count:08x}"
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(*gateway.address)
            writer.write(
                (
                    f"GET /api/{0x5000 + number:016x} HTTP/1.1\r\nHost: api.internal\r\n"
                    f"X-Request-ID: {request_id}\r\nX-Priority-Class: check-photo\r\nPlan: ampliado\r\n"
                    f"X-Timeout: {TIMEOUT_S:.3f}\r\n"
                    f"Quota-Info: units=1,spread={GATEWAY_COUNT},first=0\r\n\r\n"
                ).encode()
            )
            case.log(f"client-{number}", f"wrote {request_id} to {gateway.name}")
            async with asyncio.timeout(TIMEOUT_S + ANSWER_SLACK_S):
                first_line, headers, _ = await standins.read_message(reader)
            status = first_line.split()[1].decode()
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError) as error:
            status, headers = type(error).__name__, {b"connection": b"close"}
        case.log(f"client-{number}", f"{request_id}: {status}")
        counts[status] = counts.get(status, 0) + 1
        if headers.get(b"connection", b"").lower() == b"close" and writer is not None:
            writer.close()
            writer = None
        await asyncio.sleep(0.05)


async def run_bad_client(case, number, gateway, head, ends):
    """Sends a head that never ends at full speed, and reads until the connection ends."""
    with contextlib.suppress(ConnectionError, TimeoutError):
        reader, writer = await asyncio.open_connection(*gateway.address)
        writer.write(head)
        async with asyncio.timeout(BAD_OWED_S + 3.0):
            data = await reader.read()
        end = data[9:12].decode() or "closed"
        ends[end] = ends.get(end, 0) + 1
        writer.close()


async def play(case):
    async def serve(attempt):
        done = await cores_by_name[attempt.backend].work(WORK_S)
        return standins.answer(200, b"photo of " + attempt.id.encode()) if done else standins.TURNED_AWAY

    names = [f"b{number}" for number in range(BACKEND_COUNT)]
    cores_by_name = {name: standins.Cores() for name in names}
    backends = [await standins.Backend(case, name, serve).start() for name in names]
    standins.LIMITS |= {"memory_mb": MEMORY_MB, "sockets": SOCKETS}
    gateways = await case.start_fleet(GATEWAY_COUNT, standins.SETTINGS, backends)
    await asyncio.sleep(1.0)
    peaks, counts, ends = {}, {}, {}
    watches = [asyncio.create_task(watch_memory(case, gateway, peaks)) for gateway in gateways]
    until_s = time.monotonic() + USUAL_S
    tasks = [
        asyncio.create_task(run_usual_client(case, number, gateways[number % GATEWAY_COUNT], until_s, counts))
        for number in range(CLIENT_COUNT)
    ]
    await asyncio.sleep(BAD_AFTER_S)
    if standins.TROUBLE:
        head = endless_head()
        case.log("bad clients", f"{BAD_CLIENTS} send a head of {len(head)} bytes that never ends to n0")
        tasks += [
            asyncio.create_task(run_bad_client(case, number, gateways[0], head, ends))
            for number in range(BAD_CLIENTS)
        ]
    await asyncio.gather(*tasks)
    for watch in watches:
        watch.cancel()
    case.log("platform", "most memory: " + ", ".join(f"{n} {mb:.0f} MB" for n, mb in peaks.items()))
    case.log("clients", f"usual ones: {counts}; bad ones: {ends}")
    for gateway in gateways:
        if gateway.process.poll() is not None and not case.broken:
            case.break_rule(f"{gateway.name} crashed: {gateway.process.returncode}")


def main():
    return standins.run_case(FOLDER, play)


if __name__ == "__main__":
    sys.exit(main())
