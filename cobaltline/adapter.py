"""Adapter between the simulator's line protocol 'cypress-2c74' and `cobaltline.interface`.

Reads batches of events from standard input, passes them to the gateways that the simulator has started, and
writes the actions to standard output. It makes no decisions. Run it as `python -m cobaltline.adapter`.
"""

from __future__ import annotations

import base64
import gc
import json
import sys

from . import interface as io
from .gateway import Gateway

# Result codes of attempts, probes and counter calls.
OUTCOMES = {
    0: io.Outcome.OK,
    13: io.Outcome.ERROR,
    8: io.Outcome.OVERLOADED,
    4: io.Outcome.TIMEOUT,
    14: io.Outcome.CONNECT_FAILED,
    10: io.Outcome.RESET,
    1: io.Outcome.CANCELLED,
    9: io.Outcome.NOT_SENT,
}
LIST_KINDS = {
    "Partial": io.ListKind.DELTA,
    "Complete": io.ListKind.COMPLETE,
    "Persisted": io.ListKind.CACHED,
    "Error": io.ListKind.FAILED,
}
BACKEND_STATES = {
    "up": io.BackendState.UP,
    "draining": io.BackendState.DRAINING,
    "removed": io.BackendState.REMOVED,
}

# Keys of the settings, by the fields of the dataclasses that they are stored in.
CLASS_KEYS = {
    "promiseMs": "target_latency_ms",
    "giveUpMs": "timeout_ms",
    "keyScope": "key_scope",
    "keyTtlMs": "key_ttl_ms",
    "lateWorth": "late_worth",
    "aimStretch": "target_stretch",
    "worth": "worth",
    "stream": "stream",
}
PLAN_KEYS = {
    "unitsPerS": "rate",
    "depth": "burst",
    "concurrency": "max_concurrency",
    "hardRate": "ceiling_rate",
    "ceilingBurst": "ceiling_burst",
    "tolerance": "ceiling_tolerance",
    "excessWorth": "excess_worth",
    "overrunCost": "overrun_cost",
    "price": "price",
}
SETTING_KEYS = {  # by section; "" is the top level
    "": {
        "me": "node_id",
        "instances": "gateways",
        "zone": "zone",
        "resolutionMs": "tick_ms",
        "weights": "weights",
    },
    "familyInfo": {
        "counter": "counter",
        "countWaitMs": "counter_timeout_ms",
        "counterPrice": "counter_price",
        "costAfter": "has_settled_units",
        "meterMs": "meter_ms",
        "unitsTop": "max_units",
        "peerInPerS": "peer_messages_in_per_s",
    },
    "policyLimits": {
        "cancel": "may_cancel",
        "probing": "may_probe",
        "peerMessages": "may_message_peers",
        "mayDuplicate": "may_duplicate",
        "retryAfter": "may_advise",
        "maxRetryAfterMs": "most_retry_after_ms",
        "tryLimit": "most_attempts",
        "connectTimeoutMs": "connect_timeout_ms",
    },
    "obligations": {
        "answerSlackMs": "answer_slack_ms",
        "askEveryMs": "poll_interval_ms",
        "coldFrom": "cold_from",
        "coldMs": "cold_ms",
        "fallMultiple": "fall_multiple",
        "overloadForMs": "fall_ms",
        "stopSendingWithinMs": "drain_grace_ms",
    },
    "fees": {
        "crossZone": "cross_zone_price",
        "waste": "waste_price",
        "lateFail": "late_fail_price",
        "probe": "probe_price",
    },
}


class MalformedInput(Exception):
    """The input violates the line protocol, or a setting is invalid; the message names the field."""


def _read_fields(target, source, keys, path_prefix=""):
    """Copies the known keys of `source` to the attributes of `target` and returns `target`.

    `keys` maps keys to attributes; values are converted to the type of the attribute's default. `path_prefix`
    is the path of `source` in the settings, for error messages. Raises MalformedInput for an invalid value.
    """
    if not isinstance(source, dict):
        return target
    for setting, attribute in keys.items():
        value = source.get(setting)
        if value is None:
            continue
        expected_type = type(getattr(target, attribute))
        if expected_type in (int, float, bool) and not isinstance(value, (int, float)):
            raise MalformedInput(f"{path_prefix}{setting}: {value!r} is not a number")
        try:
            setattr(target, attribute, expected_type(value))
        except (ValueError, OverflowError):  # json.loads accepts NaN and Infinity
            raise MalformedInput(f"{path_prefix}{setting}: {value!r} is not a whole number") from None
    return target


def _named_entries(config, key):
    """Yields the path prefix and the content of each entry of the list at `key`.

    Raises MalformedInput unless the value is a list of objects with a name.
    """
    entries = config.get(key) or []
    if not isinstance(entries, list):
        raise MalformedInput(f"{key}: {entries!r:.60} is not a list of named objects")
    for i, entry in enumerate(entries):
        if not isinstance(entry, dict):
            raise MalformedInput(f"{key}[{i}]: {entry!r:.60} is not an object")
        if not entry.get("name") or isinstance(entry["name"], (dict, list)):
            raise MalformedInput(f"{key}[{i}].name: {entry.get('name')!r} is not a name")
        yield f"{key}[{i}].", entry


def _parse_idempotency(entry, path_prefix):
    """Returns the idempotency of a request class; unknown or missing values mean UNSAFE."""
    text = entry.get("idempotency")
    if isinstance(text, (dict, list)):
        raise MalformedInput(
            f"{path_prefix}idempotency: {text!r} is not one of {', '.join(k.value for k in io.Idempotency)}"
        )
    return {k.value: k for k in io.Idempotency}.get(text, io.Idempotency.UNSAFE)


def parse_settings(config: dict) -> io.Settings:
    """Converts the JSON settings of a gateway; unknown keys are ignored.

    Raises MalformedInput, which names the field by its path in the settings.
    """
    settings = io.Settings()
    for section, keys in SETTING_KEYS.items():
        _read_fields(settings, config.get(section) if section else config, keys, section and f"{section}.")
    settings.must_poll = config.get("discovery") == "ask"
    report = config.get("report") or {}
    if not isinstance(report, dict):
        raise MalformedInput(f"report: {report!r:.60} is not an object")
    source, columns = report.get("source", "off"), report.get("columns") or ()
    try:
        settings.load_report_fields = tuple(columns) if source != "off" else ()
    except TypeError:
        raise MalformedInput(f"report.columns: {columns!r} is not a list of names") from None
    settings.has_inline_load_reports = source == "inline"
    for path_prefix, entry in _named_entries(config, "classes"):
        cls = _read_fields(io.RequestClass(name=entry["name"]), entry, CLASS_KEYS, path_prefix)
        cls.idempotency = _parse_idempotency(entry, path_prefix)
        settings.classes[cls.name] = cls
    for path_prefix, entry in _named_entries(config, "plans"):
        settings.plans[entry["name"]] = _read_fields(
            io.Plan(name=entry["name"]), entry, PLAN_KEYS, path_prefix
        )
    return settings


def _parse_load_report(text):
    """Parses `name:value,...`; "-" means that there is no report."""
    if text == "-":
        return None
    report = {}
    for pair in text.split(","):
        name, _, value = pair.partition(":")
        report[name] = float(value)
    return report


def _parse_float(text, default=0.0):
    return default if text == "-" else float(text)


def _parse_int(text, default=0):
    return default if text == "-" else int(text)


def _parse_outcome(text):
    code = _parse_int(text, -1)
    if code not in OUTCOMES:
        raise MalformedInput(f"unknown result code {text!r} (allowed: {sorted(OUTCOMES)})")
    return OUTCOMES[code]


def _parse_request(fields):
    flags = _parse_int(fields[4])
    return io.RequestArrived(
        request=fields[1],
        customer=fields[9],
        plan=fields[8],
        kind=fields[5],
        deadline_ms=float(fields[6]),
        units=_parse_float(fields[3], 1.0),
        first_gateway=_parse_int(fields[2]),
        spread=_parse_int(fields[7], 1),
        is_retry=bool(flags & 2),
        is_write=bool(flags & 4),
    )


def _parse_attempt_ended(fields):
    utilization = _parse_int(fields[6])
    settled = _parse_float(fields[7])
    return io.AttemptEnded(
        request=fields[1],
        attempt=int(fields[3]),
        backend=fields[8],
        outcome=_parse_outcome(fields[2]),
        final=fields[4] == "1",
        elapsed_ms=_parse_float(fields[5]),
        utilization_percent=utilization - 1 if utilization else None,
        settled_units=settled or None,
        report=_parse_load_report(fields[9]),
    )


def _parse_probe_result(fields):
    return io.ProbeResult(
        backend=fields[1],
        outcome=_parse_outcome(fields[2]),
        elapsed_ms=_parse_float(fields[3]),
        report=_parse_load_report(fields[4]),
    )


def _parse_counter_result(fields):
    return io.CounterResult(
        name=fields[1],
        outcome=_parse_outcome(fields[2]),
        total=_parse_float(fields[3]),
        elapsed_ms=_parse_float(fields[4]),
    )


def _parse_peer_message(fields):
    payload = b"" if fields[2] == "-" else base64.b64decode(fields[2], validate=True)
    return io.PeerMessage(sender=int(fields[1]), payload=payload)


def _parse_stream_started(fields):
    return io.StreamStarted(
        request=fields[1], elapsed_ms=_parse_float(fields[2]), backend=fields[3], attempt=int(fields[4])
    )


EVENTS = {  # name: (number of fields after the name, parser of these fields)
    "REQUEST": (10, _parse_request),
    "DONE": (10, _parse_attempt_ended),
    "SUM": (5, _parse_counter_result),
    "ALARM": (2, lambda fields: io.TimerFired(token=fields[1])),
    "CLIENT_LEFT": (2, lambda fields: io.ClientDisconnected(request=fields[1])),
    "FIRST": (5, _parse_stream_started),
    "STATUS_BACK": (5, _parse_probe_result),
    "NEIGHBOUR_SAYS": (3, _parse_peer_message),
}


def parse_backend(line: str) -> io.Backend:
    """Parses an `ITEM` line. Raises MalformedInput, or ValueError for a field that is not a number."""
    fields = line.split(" ")
    if len(fields) != 8 or fields[0] != "ITEM":
        raise MalformedInput(f"expected ITEM with 7 fields, not {line!r:.80}")
    if fields[5] not in BACKEND_STATES:
        raise MalformedInput(f"unknown backend state {fields[5]!r} (allowed: {', '.join(BACKEND_STATES)})")
    return io.Backend(
        id=fields[1],
        zone=fields[2],
        kind=fields[3],
        cell=_parse_int(fields[4]),
        state=BACKEND_STATES[fields[5]],
        weight=_parse_float(fields[6], 1.0),
        started_ms=_parse_float(fields[7]),
    )


def _format_ms(value):
    return f"{max(0.0, value):.3f}"


def encode(gateway_name: str, action) -> str:
    """Returns an action as a line of the protocol, without its line end."""
    kind = type(action)
    if kind is io.Send:
        return f"FORWARD {gateway_name} {action.request} {_format_ms(action.deadline_ms)} {action.backend}"
    if kind is io.SetTimer:
        return f"WAKE_AT {gateway_name} {_format_ms(action.delay_ms)} {action.token}"
    if kind is io.CounterAdd:
        return f"ADD {gateway_name} {_format_ms(action.ttl_ms)} {action.amount:.7g} {action.name}"
    if kind is io.Reject:
        return f"BUSY {gateway_name} {action.request} {_format_ms(action.retry_after_ms)}"
    if kind is io.Fail:
        return f"FINISH_ERROR {gateway_name} {action.request}"
    if kind is io.Cancel:
        return f"UNDO_SEND {gateway_name} {action.request} {action.attempt}"
    if kind is io.SendPeerMessage:
        to = "all" if action.to is None else action.to
        return f"NOTIFY {gateway_name} {to} {base64.b64encode(action.payload).decode() or '-'}"
    if kind is io.Probe:
        return f"ASK_LOAD {gateway_name} {action.backend}"
    if kind is io.CloseIdle:
        return f"CLOSE {gateway_name} {action.backend}"
    if kind is io.Subscribe:
        return f"OBSERVE {gateway_name} {int(action.on)}"
    if kind is io.Fetch:
        return f"PULL {gateway_name}"
    if kind is io.Log:
        return f"LOG {gateway_name} {_one_line(action.text)}"
    raise TypeError(f"unknown action {action!r}")


def _one_line(text):
    return " ".join(text.split()) or "-"


class Host:
    """Runs any number of gateways on one input and one output.

    `lines` is an iterable of lines, as bytes or text; `out` is a text stream, flushed after each batch.
    """

    def __init__(self, lines, out):
        self._lines = iter(lines)
        self._out = out
        self._gateways: dict[str, Gateway] = {}
        self.line_number = 0  # of the line read last, from 1

    def _next_line(self):
        """Returns the next line without its line end, or None at the end of the input."""
        raw = next(self._lines, None)
        if raw is None:
            return None
        self.line_number += 1
        try:
            text = raw.decode("utf-8") if isinstance(raw, bytes) else raw
        except UnicodeDecodeError:
            raise MalformedInput("the line is not valid UTF-8") from None
        if not text.endswith("\n"):
            raise MalformedInput("the input ends inside a line")
        return text[:-1]

    def run(self):
        """Processes batches until the input ends. Raises MalformedInput at the first invalid line."""
        while (line := self._next_line()) is not None:
            if not line:
                continue
            fields = line.split(" ")
            if fields[0] != "FRAME" or len(fields) != 3:
                raise MalformedInput(f"expected FRAME with a time and a batch number, not {line!r:.80}")
            try:
                now = float(fields[1])
                int(fields[2])
            except ValueError:
                raise MalformedInput(
                    f"FRAME takes a time in ms and a batch number, not {line!r:.80}"
                ) from None
            reply = []
            self._process_batch(now, reply)
            reply.append(f"END {fields[2]}\n")
            self._out.write("\n".join(reply))
            self._out.flush()

    def _process_batch(self, now, reply):
        """Handles all events up to `COMMIT` and appends the resulting lines to `reply`."""
        while (line := self._next_line()) != "COMMIT":
            if line is None:
                raise MalformedInput("the input ends inside a batch")
            name, _, rest = line.partition(" ")
            if name == "ROSTER_CHANGE":
                self._process_backend_list(now, rest, reply)
            elif name == "SPAWN":
                self._start_gateway(rest, reply)
            elif name == "EXIT":
                self._gateways.pop(rest, None)
            elif name in EVENTS:
                count, parse = EVENTS[name]
                fields = rest.split(" ")
                if len(fields) != count:
                    raise MalformedInput(f"{name} takes {count} fields, not {len(fields)}")
                try:
                    event = parse(fields)
                except ValueError as error:
                    raise MalformedInput(f"{name}: {error}") from None
                self._handle_event(fields[0], now, event, reply)
            elif not name.replace("_", "").isupper():
                raise MalformedInput(
                    f"{name[:40]!r} is not an event name (allowed: upper-case letters and _)"
                )

    def _handle_event(self, gateway_name, now, event, reply):
        gateway = self._gateways.get(gateway_name)
        if gateway is None:
            raise MalformedInput(f"gateway {gateway_name} has not been started")
        try:
            actions = gateway.handle(now, event)
            reply.extend([encode(gateway_name, action) for action in actions])
        except Exception as error:  # reported to the simulator, which aborts the run
            reply.append(f"BAIL_OUT {gateway_name} {_one_line(f'{type(error).__name__}: {error}')}")

    def _start_gateway(self, rest, reply):
        """Handles `SPAWN`: a gateway's name, its seed and its settings as JSON."""
        gateway_name, _, rest = rest.partition(" ")
        seed, _, config = rest.partition(" ")
        try:
            seed = int(seed)
            config = json.loads(config)
        except ValueError as error:
            raise MalformedInput(f"SPAWN: {error}") from None
        if not isinstance(config, dict):
            raise MalformedInput(f"SPAWN: the settings {config!r:.60} are not an object")
        settings = parse_settings(config)
        try:
            self._gateways[gateway_name] = Gateway(settings, seed)
        except Exception as error:
            reply.append(f"BAIL_OUT {gateway_name} {_one_line(f'{type(error).__name__}: {error}')}")

    def _process_backend_list(self, now, rest, reply):
        """Handles `ROSTER_CHANGE` and the `ITEM` lines that follow it."""
        fields = rest.split(" ")
        if len(fields) != 4 or fields[1] not in LIST_KINDS:
            raise MalformedInput(
                f"ROSTER_CHANGE takes a gateway, a list kind ({', '.join(LIST_KINDS)}), a version and a count"
            )
        try:
            version, count = _parse_int(fields[2]), _parse_int(fields[3])
            items = []
            for _ in range(count):
                line = self._next_line()
                if line is None:
                    raise MalformedInput(f"the input ends inside a list of {count} backends")
                items.append(parse_backend(line))
        except ValueError as error:
            raise MalformedInput(f"ROSTER_CHANGE: {error}") from None
        event = io.BackendsChanged(kind=LIST_KINDS[fields[1]], version=version, backends=tuple(items))
        self._handle_event(fields[0], now, event, reply)


def main() -> int:
    """Runs the adapter on standard input and output; returns 0, or 2 after malformed input."""
    gc.set_threshold(50000)  # fewer passes over the long-lived state of many gateways
    host = Host(sys.stdin.buffer, sys.stdout)
    try:
        host.run()
    except MalformedInput as error:
        print(f"cobaltline.adapter: line {host.line_number}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
