"""Client of the platform's HTTP interface."""

import json
import socket
import struct

import httpcore
import trio
from expression import Error, Ok, Result

from wigeonport.command_ledgers import STALE_TERM
from wigeonport.json_bodies import decode_json, is_count, is_text
from wigeonport.plan_events import CommandConfirmed, CommandRefused
from wigeonport.platform_reports import read_report

REQUEST_TIMEOUT_MS = 2_000
# A host that is cut off does not answer connection attempts, however long the
# request itself may take.
CONNECT_TIMEOUT = {"timeout": {"connect": REQUEST_TIMEOUT_MS / 1000}}
# Closing a connection resets it (a linger time of 0 s). A request that is
# given up while a partition holds it up is then lost. After an ordinary close
# it arrives when the partition heals, behind the requests of a new leader.
RESET_ON_CLOSE = (
    socket.SOL_SOCKET,
    socket.SO_LINGER,
    struct.pack("ii", 1, 0),
)
POLL_INTERVAL_MS = 500
MAX_CONNECTIONS = 8
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
# Maximum length of the reason of a refusal.
MAX_REASON_BYTES = 1_000
STATUS_OK = 200
STATUS_STALE_TERM = 409
STATUS_REFUSED = 422


class PlatformClient:
    """Sends commands to the platform and reads its reports.

    Attributes:
        url: Address of the platform without a trailing slash.
        pool: httpcore connection pool.
        clock: Time source.
        metrics: Metrics of the process.
    """

    __slots__ = ("url", "pool", "clock", "metrics")

    def __init__(self, url, clock, metrics):
        self.url = url.rstrip("/")
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, socket_options=[RESET_ON_CLOSE]
        )
        self.clock = clock
        self.metrics = metrics

    async def exchange(
        self,
        method,
        path,
        document=None,
        headers=None,
        timeout_ms=REQUEST_TIMEOUT_MS,
    ) -> Result:
        """Sends one request.

        Args:
            method: HTTP method.
            path: Path with the query.
            document: Body, encoded as JSON, or None.
            headers: Dict of HTTP headers, or None.
            timeout_ms: Maximum time until the response is complete.

        Returns:
            Pair of status and JSON document of the response, or the text of
            the error. Unreadable values of the document are UNREADABLE.
        """
        content = None if document is None else json.dumps(document).encode()
        try:
            with trio.fail_after(timeout_ms / 1000):
                async with self.pool.stream(
                    method,
                    self.url + path,
                    headers=headers,
                    content=content,
                    extensions=CONNECT_TIMEOUT,
                ) as response:
                    body = await read_bounded(response)
        except trio.TooSlowError:
            return Error(f"no answer from the platform within {timeout_ms} ms")
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            ValueError,
        ) as error:
            return Error(f"{type(error).__name__}: {error}")
        status = response.status
        if not body:
            return Ok((status, {}))
        return decode_json(body).map(lambda document: (status, document))

    async def execute(self, command):
        """Sends a command.

        An unanswered command is sent again later with the same id, and the
        platform executes each id once.

        Returns:
            CommandConfirmed or CommandRefused, or None if there was no
            answer.
        """
        document = {name: getattr(command, name) for name in command.fields()}
        document |= {
            "kind": command.kind,
            "command_id": command.command_id,
            "term": command.term,
        }
        if "until_ms" in document:
            document["until_ms"] += self.clock.wall() - self.clock.now()
        answer = await self.exchange("POST", "/v1/commands", document)
        if answer.is_error():
            self.metrics.count("platform_unanswered_commands")
            return None
        status, body = answer.ok
        if status == STATUS_OK:
            return CommandConfirmed(command.command_id)
        if status == STATUS_STALE_TERM:
            return CommandRefused(command.command_id, STALE_TERM)
        reason = body.get("reason") if isinstance(body, dict) else None
        if not is_text(reason, MAX_REASON_BYTES):
            reason = str(status)
        return CommandRefused(command.command_id, reason)

    async def fetch_reports(self, after) -> Result:
        """Returns the list of reports whose sequence is above ``after``."""
        answer = await self.exchange("GET", f"/v1/reports?after={after}")
        if answer.is_error():
            return answer
        status, document = answer.ok
        if status != STATUS_OK or not isinstance(document, dict):
            return Error(
                f"expected status {STATUS_OK} with a JSON object from GET "
                f"/v1/reports, got status {status}"
            )
        reports = document.get("reports", [])
        if not isinstance(reports, list):
            return Error("reports is not a list")
        return Ok(reports)


async def read_bounded(response):
    """Returns the body of a response.

    Raises:
        ValueError: If it is larger than MAX_RESPONSE_BYTES.
    """
    chunks, size = [], 0
    async for chunk in response.aiter_stream():
        size += len(chunk)
        if size > MAX_RESPONSE_BYTES:
            raise ValueError(
                f"response is larger than {MAX_RESPONSE_BYTES} bytes"
            )
        chunks.append(chunk)
    return b"".join(chunks)


async def poll_reports(client, outbound, logger):
    """Polls the platform's reports and sends them on as planner events.

    A malformed report costs only itself. It does not raise the sequence above
    which reports are requested, because its sequence may be any number; it is
    no longer listed once a later report has been read.

    Args:
        client: PlatformClient.
        outbound: Mailbox that gets the events.
        logger: Logger of failed polls and malformed reports.
    """
    last_sequence = 0
    while True:
        reasons = []
        reports = await client.fetch_reports(last_sequence)
        if reports.is_error():
            client.metrics.count("platform_unanswered_polls")
            logger.warning("Platform poll failed.", reason=reports.error)
        for document in reports.default_value([]):
            offset_ms = client.clock.now() - client.clock.wall()
            event = read_report(document, offset_ms)
            if event.is_error():
                reasons.append(event.error)
                continue
            await outbound.put(event.ok)
            sequence = document.get("sequence")
            if is_count(sequence):
                last_sequence = max(last_sequence, sequence)
        if reasons:
            client.metrics.count("platform_malformed_reports", len(reasons))
            logger.warning(
                "Platform reports refused.",
                reports=len(reasons),
                reason=reasons[0],
            )
        await client.clock.sleep(POLL_INTERVAL_MS)
