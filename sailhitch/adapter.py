"""The simulator's wire: batches of event lines in, action lines out, for many instances.

Only form lives here: what a line says, in the module's words. Every decision is made by the
`Gateway` of the instance. A line out of form ends the process with one plain line on standard
error; an exception inside the module is reported on the wire as that instance's fault.
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
# bits of `attrs`: the cost hint is valid; a client's repeat
HINTED = 1
REPEAT = 2

T = TypeVar("T")


class WireError(ValueError):
    """A line out of form; its text names the field."""


class WirePort:
    """Writes one instance's actions as lines."""

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


# --- Forms of values


def _text(raw: bytes) -> str:
    try:
        return raw.decode().rstrip("\r\n")
    except UnicodeDecodeError:
        raise WireError("not UTF-8") from None


def _whole(field: str, text: str) -> int:
    try:
        value = int(text)
    except ValueError:
        raise WireError(f"field {field}: not a whole number: {text!r}") from None
    if value < 0:
        raise WireError(f"field {field}: below 0: {text!r}")
    return value


def _real(field: str, text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"field {field}: not a number: {text!r}") from None
    if not 0.0 <= value < float("inf"):
        raise WireError(f"field {field}: not a finite number of 0 or more: {text!r}")
    return value


def _optional(field: str, text: str) -> int:
    return 0 if text == "-" else _whole(field, text)


def _word(field: str, text: str, words: dict[str, T]) -> T:
    try:
        return words[text]
    except KeyError:
        raise WireError(f"field {field}: not one of {', '.join(words)}: {text!r}") from None


def _key(field: str, text: str) -> int | None:
    if text == "-":
        return None
    try:
        return int(text, 16)
    except ValueError:
        raise WireError(f"field {field}: not hex digits: {text!r}") from None


def _bytes(field: str, text: str) -> bytes:
    try:
        return b"" if text == "-" else base64.b64decode(text, validate=True)
    except ValueError:
        raise WireError(f"field {field}: not base64") from None


def _load(field: str, text: str) -> LoadReport | None:
    """Return the load report, in microseconds; values it does not know are checked and left out."""
    if text == "-":
        return None
    queue = service = inflight = None
    for pair in text.split(","):
        name, _, value = pair.partition(":")
        if name == "depth":
            queue = _real(field, value)
        elif name == "mean_ms":
            service = _real(field, value) * 1000.0
        elif name == "concurrent":
            inflight = _real(field, value)
        else:
            _real(field, value)
    return LoadReport(queue, service, inflight)


def _listed(parts: list[str]) -> Endpoint:
    if len(parts) != 8 or parts[0] != "m":
        raise WireError("not an entry of the catalog: expected m and 7 values")
    _, host, weight, zone, cell, state, boot, kind = parts
    return Endpoint(
        host,
        _real("weight", weight),
        _optional("campus", zone),
        _optional("stripe", cell),
        _word("phase", state, STATES),
        _optional("bootTime", boot),
        _optional("model", kind),
    )


class Adapter:
    """Reads batches, hands each event to its instance and writes what the instances do."""

    def __init__(self, source: BinaryIO, sink: BinaryIO) -> None:
        self._source = source
        self._sink = sink
        self._out: list[str] = []
        self._gateways: dict[str, Gateway] = {}
        self._pages: dict[int, list[Endpoint]] = {}
        self._line = 0
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
        """Serve batches until the input ends."""
        source = self._source
        out = self._out
        in_batch = False
        while raw := source.readline():
            self._line += 1
            line = _text(raw)
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
                    raise WireError(f"expected mark and the clock: {line[:60]!r}")
                now = _whole("mark", parts[1])
                if now < self._now:
                    raise WireError("field mark: the clock went back")
                self._now = now
                in_batch = True
        if in_batch:
            raise WireError("the input ended inside a batch")

    def where(self) -> str:
        """Return the place of the last line that was read, for errors."""
        return f"line {self._line}"

    def _event(self, line: str) -> None:
        name = line.partition("\t")[0]
        try:
            self._dispatch(name, line)
        except WireError as error:
            raise WireError(f"{name[:60]}: {error}") from None

    def _dispatch(self, name: str, line: str) -> None:
        """Handle one line; raises WireError without the event's name."""
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

    def _call(self, instance: str, decide: Callable[[], None]) -> None:
        """Let the module decide; its exceptions are the instance's fault, not the wire's."""
        try:
            decide()
        except Exception as error:  # the boundary that reports a crash of the module
            self._panic(instance, error)

    def _panic(self, instance: str, error: Exception) -> None:
        where = error.__traceback__
        while where is not None and where.tb_next is not None:
            where = where.tb_next
        line = where.tb_lineno if where is not None else 0
        text = " ".join(f"{type(error).__name__}: {error} (line {line})".split())
        self._out.append(f"panic\t{instance}\t{text}")

    # --- One method an event

    def _attach(self, parts: list[str]) -> None:
        if len(parts) != 4:
            raise WireError(f"expected 3 values, got {len(parts) - 1}")
        instance = parts[1]
        seed = _whole("nonce64", parts[2])
        try:
            settings = parse_settings(json.loads(parts[3]))
        except json.JSONDecodeError as error:
            raise WireError(f"field config: not JSON: {error.msg}") from None
        except SettingsError as error:
            raise WireError(f"field config: {error}") from None
        gateway = Gateway(WirePort(instance, self._out), settings, seed)
        self._gateways[instance] = gateway
        now = self._now
        self._call(instance, lambda: gateway.start(now))

    def _catalog(self, parts: list[str]) -> None:
        if len(parts) != 3:
            raise WireError(f"expected 2 values, got {len(parts) - 1}")
        page = _whole("page", parts[1])
        count = _whole("hosts", parts[2])
        entries = []
        for _ in range(count):
            self._line += 1
            raw = self._source.readline()
            if not raw:
                raise WireError("field hosts: the input ended inside a catalog")
            entries.append(_listed(_text(raw).split("\t")))
        self._pages[page] = entries

    def _roster_change(self, gateway: Gateway, parts: list[str]) -> None:
        mode = _word("mode", parts[2], MODES)
        entries: list[Endpoint] = []
        if mode != WatchEventKind.FAILED:
            page = _whole("page", parts[4])
            if page not in self._pages:
                raise WireError(f"field page: no such catalog: {page}")
            entries = self._pages[page]
        self._call(parts[1], lambda: gateway.on_watch_event(self._now, mode, entries))

    def _job_in(self, gateway: Gateway, parts: list[str]) -> None:
        _, instance, req, attrs, predicted, deadline, grade, key, tenant = parts
        flags = _optional("attrs", attrs)
        number = _whole("req", req)
        ends = _whole("clientDeadline", deadline)
        cls = _optional("grade", grade)
        if cls >= len(gateway.settings.classes):
            raise WireError(f"field grade: no such class: {cls}")
        work = _optional("predicted", predicted) if flags & HINTED else 0
        named = _key("key", key)
        group = _optional("userGroup", tenant)
        try:
            again = bool(flags & REPEAT)
            gateway.request(self._now, number, cls, ends, work, named, group, again)
        except Exception as error:
            self._panic(instance, error)

    def _done(self, gateway: Gateway, parts: list[str]) -> None:
        _, instance, req, closed, code, attempt, lag, host, load = parts
        number = _whole("req", req)
        which = _whole("n", attempt)
        status = _word("code", code, CODES)
        over = _word("closed", closed, FLAGS)
        took = _optional("lag", lag)
        report = _load("load", load)
        try:
            gateway.outcome(self._now, number, which, status, over, took, host, report)
        except Exception as error:
            self._panic(instance, error)

    def _timer(self, gateway: Gateway, parts: list[str]) -> None:
        mark = _whole("mark", parts[2])
        self._call(parts[1], lambda: gateway.timer(self._now, mark))

    def _left(self, gateway: Gateway, parts: list[str]) -> None:
        req = _whole("req", parts[2])
        self._call(parts[1], lambda: gateway.client_disconnected(self._now, req))

    def _headers(self, gateway: Gateway, parts: list[str]) -> None:
        req = _whole("req", parts[2])
        attempt = _whole("n", parts[3])
        lag = _optional("lag", parts[5])
        self._call(
            parts[1], lambda: gateway.response_started(self._now, req, attempt, parts[4], lag)
        )

    def _pong(self, gateway: Gateway, parts: list[str]) -> None:
        """Ignore a probe's result: no probes are sent, as responses report the same."""
        _word("code", parts[3], CODES)
        _optional("lag", parts[4])
        _load("load", parts[5])

    def _peer_data(self, gateway: Gateway, parts: list[str]) -> None:
        """Word from another gateway. None is sent or used: each decides by what it saw itself."""
        _whole("src", parts[2])
        _bytes("octets", parts[3])


def main(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Run until the input ends; 0 then, 2 with one plain line where a line is out of form."""
    gc.freeze()
    adapter = Adapter(source, sink)
    try:
        adapter.run()
    except WireError as error:
        print(f"sailhitch: {adapter.where()}: {error}", file=errors)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
