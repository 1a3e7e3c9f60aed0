"""Adapter for a simulator: reads batches of event lines and writes action lines, on pipes.

One process serves many gateway instances. This module only translates between lines and calls of
the decision module; every decision is made by the instance's `Gateway`. A malformed line ends the
process with one line on standard error. An exception in the decision module is reported by the
action `panic` for that instance.
"""

from __future__ import annotations

import base64
import gc
import json
import sys
from collections.abc import Callable
from typing import BinaryIO, TextIO, TypeVar

from .policy import Gateway
from .policy_interface import (
    AttemptOutcome,
    Endpoint,
    EndpointState,
    LoadReport,
    WatchEventKind,
)
from .settings import SettingsError, parse_settings

STATES = {"U": EndpointState.READY, "L": EndpointState.DRAINING, "D": EndpointState.GONE}
MODES = {
    "update": WatchEventKind.CHANGES,
    "replace": WatchEventKind.SNAPSHOT,
    "restored": WatchEventKind.RESTORED,
    "unavailable": WatchEventKind.FAILED,
}
CODES = {
    "done": AttemptOutcome.OK,
    "err": AttemptOutcome.ERROR,
    "busy": AttemptOutcome.BUSY,
    "etimedout": AttemptOutcome.TIMEOUT,
    "econnrefused": AttemptOutcome.CONNECT_FAILED,
    "econnreset": AttemptOutcome.RESET,
    "ecanceled": AttemptOutcome.CANCELLED,
    "skipped": AttemptOutcome.NOT_SENT,
}
FLAGS = {"1": True, "0": False}
# Bits of the field `attrs`.
HAS_COST_HINT = 1  # the field `predicted` is valid
IS_CLIENT_RETRY = 2

T = TypeVar("T")


class WireError(ValueError):
    """A malformed line. The text names the field."""


class WirePort:
    """The port of one instance: writes its actions as lines."""

    def __init__(self, instance: str, out: list[str]) -> None:
        self._out = out
        self._instance = instance
        self._relay = f"relay\t{instance}\t"
        self._arm = f"arm\t{instance}\t"

    def send(self, req: int, server: str, timeout: int) -> None:
        """Write the action `relay`."""
        self._out.append(f"{self._relay}{req}\t{server}\t{timeout}")

    def refuse(self, req: int, retry_after: int) -> None:
        """Write the action `turn_away`."""
        self._out.append(f"turn_away\t{self._instance}\t{req}\t{retry_after}")

    def fail(self, req: int) -> None:
        """Write the action `finish_error`."""
        self._out.append(f"finish_error\t{self._instance}\t{req}")

    def cancel(self, req: int, attempt: int) -> None:
        """Write the action `call_off`."""
        self._out.append(f"call_off\t{self._instance}\t{req}\t{attempt}")

    def set_timer(self, token: int, at: int) -> None:
        """Write the action `arm`."""
        self._out.append(f"{self._arm}{token}\t{at}")

    def watch(self, on: bool) -> None:
        """Write the action `follow`."""
        self._out.append(f"follow\t{self._instance}\t{int(on)}")

    def log(self, text: str) -> None:
        """Write the action `write_log`."""
        self._out.append(f"write_log\t{self._instance}\t{text}")


# --- Parsing of values


def _decode(raw: bytes) -> str:
    try:
        return raw.decode().rstrip("\r\n")
    except UnicodeDecodeError:
        raise WireError("not UTF-8") from None


def _integer(field: str, text: str) -> int:
    try:
        value = int(text)
    except ValueError:
        raise WireError(f"field {field}: not an integer: {text!r}") from None
    if value < 0:
        raise WireError(f"field {field}: negative: {text!r}")
    return value


def _number(field: str, text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"field {field}: not a number: {text!r}") from None
    if not 0.0 <= value < float("inf"):
        raise WireError(f"field {field}: not a finite non-negative number: {text!r}")
    return value


def _optional_integer(field: str, text: str) -> int:
    return 0 if text == "-" else _integer(field, text)


def _choice(field: str, text: str, choices: dict[str, T]) -> T:
    try:
        return choices[text]
    except KeyError:
        raise WireError(f"field {field}: not one of {', '.join(choices)}: {text!r}") from None


def _hex_key(field: str, text: str) -> int | None:
    if text == "-":
        return None
    try:
        return int(text, 16)
    except ValueError:
        raise WireError(f"field {field}: not hex digits: {text!r}") from None


def _base64(field: str, text: str) -> bytes:
    try:
        return b"" if text == "-" else base64.b64decode(text, validate=True)
    except ValueError:
        raise WireError(f"field {field}: not base64") from None


def _load_report(field: str, text: str) -> LoadReport | None:
    """Return the load report, in microseconds. Unknown values are checked and ignored."""
    if text == "-":
        return None
    queue = service = in_flight = None
    for pair in text.split(","):
        name, _, value = pair.partition(":")
        if name == "depth":
            queue = _number(field, value)
        elif name == "mean_ms":
            service = _number(field, value) * 1000.0
        elif name == "concurrent":
            in_flight = _number(field, value)
        else:
            _number(field, value)
    return LoadReport(queue, service, in_flight)


def _endpoint(parts: list[str]) -> Endpoint:
    if len(parts) != 8 or parts[0] != "m":
        raise WireError("not an entry of the catalog: expected m and 7 values")
    _, host, weight, zone, cell, state, boot_time, model = parts
    return Endpoint(
        host,
        _number("weight", weight),
        _optional_integer("campus", zone),
        _optional_integer("stripe", cell),
        _choice("phase", state, STATES),
        _optional_integer("bootTime", boot_time),
        _optional_integer("model", model),
    )


class Adapter:
    """Reads batches of events, passes each event to its instance, and writes the actions."""

    def __init__(self, source: BinaryIO, sink: BinaryIO) -> None:
        self._source = source
        self._sink = sink
        self._out: list[str] = []
        self._gateways: dict[str, Gateway] = {}
        self._pages: dict[int, list[Endpoint]] = {}
        self._line_number = 0
        self._now = 0
        self._handlers: dict[str, tuple[int, Callable[[Gateway, list[str]], None]]] = {
            "job_in": (9, self._job_in),
            "done": (9, self._done),
            "timer": (3, self._timer),
            "left": (3, self._left),
            "roster_change": (5, self._roster_change),
            "pong": (6, self._pong),
            "peer_data": (4, self._peer_data),
            "headers": (6, self._headers),
        }

    def run(self) -> None:
        """Process batches until the end of the input."""
        source = self._source
        out = self._out
        in_batch = False
        while raw := source.readline():
            self._line_number += 1
            line = _decode(raw)
            if in_batch:
                if line == "flush":
                    out.append("ack\n")
                    self._sink.write("\n".join(out).encode())
                    self._sink.flush()
                    out.clear()
                    in_batch = False
                else:
                    self._event(line)
            elif line:
                parts = line.split("\t")
                if parts[0] != "mark" or len(parts) != 2:
                    raise WireError(f"expected mark and the time: {line[:60]!r}")
                now = _integer("mark", parts[1])
                if now < self._now:
                    raise WireError("field mark: the clock went back")
                self._now = now
                in_batch = True
        if in_batch:
            raise WireError("the input ended inside a batch")

    def position(self) -> str:
        """Return the number of the last line read, for error messages."""
        return f"line {self._line_number}"

    def _event(self, line: str) -> None:
        name = line.partition("\t")[0]
        try:
            self._dispatch(name, line)
        except WireError as error:
            raise WireError(f"{name[:60]}: {error}") from None

    def _dispatch(self, name: str, line: str) -> None:
        """Handle one event line. A WireError raised here lacks the event's name."""
        parts = line.split("\t")
        if name in self._handlers:
            count, handler = self._handlers[name]
            if len(parts) != count:
                raise WireError(f"expected {count - 1} values, got {len(parts) - 1}")
            gateway = self._gateways.get(parts[1])
            if gateway is None:
                raise WireError(f"field gatewayId: no such instance: {parts[1][:60]!r}")
            handler(gateway, parts)
        elif name == "attach":
            self._attach(line.split("\t", 3))
        elif name == "catalog":
            self._catalog(parts)
        elif name == "teardown":
            if len(parts) != 2:
                raise WireError(f"expected 1 value, got {len(parts) - 1}")
            self._gateways.pop(parts[1], None)
        else:
            raise WireError("no such event")

    def _run_handler(self, instance: str, handler: Callable[[], None]) -> None:
        """Call the decision module; an exception is reported as a crash of the instance."""
        try:
            handler()
        except Exception as error:  # any exception of the decision module is reported
            self._report_crash(instance, error)

    def _report_crash(self, instance: str, error: Exception) -> None:
        frame = error.__traceback__
        while frame is not None and frame.tb_next is not None:
            frame = frame.tb_next
        line = frame.tb_lineno if frame is not None else 0
        text = " ".join(f"{type(error).__name__}: {error} (line {line})".split())
        self._out.append(f"panic\t{instance}\t{text}")

    # --- Event handlers

    def _attach(self, parts: list[str]) -> None:
        if len(parts) != 4:
            raise WireError(f"expected 3 values, got {len(parts) - 1}")
        instance = parts[1]
        seed = _integer("nonce64", parts[2])
        try:
            settings = parse_settings(json.loads(parts[3]))
        except json.JSONDecodeError as error:
            raise WireError(f"field config: not JSON: {error.msg}") from None
        except SettingsError as error:
            raise WireError(f"field config: {error}") from None
        gateway = Gateway(WirePort(instance, self._out), settings, seed)
        self._gateways[instance] = gateway
        now = self._now
        self._run_handler(instance, lambda: gateway.start(now))

    def _catalog(self, parts: list[str]) -> None:
        if len(parts) != 3:
            raise WireError(f"expected 2 values, got {len(parts) - 1}")
        page = _integer("page", parts[1])
        count = _integer("hosts", parts[2])
        entries = []
        for _ in range(count):
            self._line_number += 1
            raw = self._source.readline()
            if not raw:
                raise WireError("field hosts: the input ended inside a catalog")
            entries.append(_endpoint(_decode(raw).split("\t")))
        self._pages[page] = entries

    def _roster_change(self, gateway: Gateway, parts: list[str]) -> None:
        mode = _choice("mode", parts[2], MODES)
        entries: list[Endpoint] = []
        if mode != WatchEventKind.FAILED:
            page = _integer("page", parts[4])
            if page not in self._pages:
                raise WireError(f"field page: no such catalog: {page}")
            entries = self._pages[page]
        self._run_handler(parts[1], lambda: gateway.on_watch_event(self._now, mode, entries))

    def _job_in(self, gateway: Gateway, parts: list[str]) -> None:
        _, instance, req, attrs, predicted, deadline, grade, key, tenant = parts
        flags = _optional_integer("attrs", attrs)
        request_id = _integer("req", req)
        deadline_at = _integer("clientDeadline", deadline)
        cls = _optional_integer("grade", grade)
        if cls >= len(gateway.settings.classes):
            raise WireError(f"field grade: no such class: {cls}")
        work = _optional_integer("predicted", predicted) if flags & HAS_COST_HINT else 0
        affinity_key = _hex_key("key", key)
        tenant_index = _optional_integer("userGroup", tenant)
        try:
            is_retry = bool(flags & IS_CLIENT_RETRY)
            gateway.request(
                self._now, request_id, cls, deadline_at, work, affinity_key, tenant_index, is_retry
            )
        except Exception as error:
            self._report_crash(instance, error)

    def _done(self, gateway: Gateway, parts: list[str]) -> None:
        _, instance, req, closed, code, attempt, lag, host, load = parts
        request_id = _integer("req", req)
        attempt_number = _integer("n", attempt)
        status = _choice("code", code, CODES)
        is_closed = _choice("closed", closed, FLAGS)
        latency = _optional_integer("lag", lag)
        report = _load_report("load", load)
        try:
            gateway.outcome(
                self._now, request_id, attempt_number, status, is_closed, latency, host, report
            )
        except Exception as error:
            self._report_crash(instance, error)

    def _timer(self, gateway: Gateway, parts: list[str]) -> None:
        token = _integer("mark", parts[2])
        self._run_handler(parts[1], lambda: gateway.timer(self._now, token))

    def _left(self, gateway: Gateway, parts: list[str]) -> None:
        req = _integer("req", parts[2])
        self._run_handler(parts[1], lambda: gateway.client_disconnected(self._now, req))

    def _headers(self, gateway: Gateway, parts: list[str]) -> None:
        req = _integer("req", parts[2])
        attempt = _integer("n", parts[3])
        lag = _optional_integer("lag", parts[5])
        self._run_handler(
            parts[1], lambda: gateway.response_started(self._now, req, attempt, parts[4], lag)
        )

    def _pong(self, gateway: Gateway, parts: list[str]) -> None:
        """Ignore a probe's result: no probes are sent, as responses carry the same report."""
        _choice("code", parts[3], CODES)
        _optional_integer("lag", parts[4])
        _load_report("load", parts[5])

    def _peer_data(self, gateway: Gateway, parts: list[str]) -> None:
        """Ignore data from another gateway: each decides by its own observations only."""
        _integer("src", parts[2])
        _base64("octets", parts[3])


def main(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Run until the end of the input; return 0, or 2 after an error line for a malformed line."""
    gc.freeze()
    adapter = Adapter(source, sink)
    try:
        adapter.run()
    except WireError as error:
        print(f"sailhitch: {adapter.position()}: {error}", file=errors)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
