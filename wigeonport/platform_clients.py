"""Platform clients: HTTP towards the platform."""

import json

import httpcore
import trio
from expression import Error, Ok, Result

from wigeonport.plan_events import CommandConfirmed, CommandRefused
from wigeonport.platform_reports import read_report
from wigeonport.platforms import STALE_TERM

REQUEST_TIMEOUT_MS = 2_000
POLL_INTERVAL_MS = 500
MAX_CONNECTIONS = 8
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
ACCEPTED = 200
STALE = 409
REFUSED = 422


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
            max_connections=MAX_CONNECTIONS
        )
        self.clock = clock
        self.metrics = metrics

    async def exchange(
        self, method, path, document=None, headers=None
    ) -> Result:
        """Returns status and JSON document of a response, or an error."""
        content = None if document is None else json.dumps(document).encode()
        try:
            with trio.fail_after(REQUEST_TIMEOUT_MS / 1000):
                async with self.pool.stream(
                    method, self.url + path, headers=headers, content=content
                ) as response:
                    body = await read_bounded(response)
            return Ok((response.status, json.loads(body) if body else {}))
        except trio.TooSlowError:
            return Error("the platform did not answer in time")
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            ValueError,
        ) as error:
            return Error(f"{type(error).__name__}: {error}")

    async def execute(self, command):
        """Sends a command; returns its event, None if that is unknown.

        An unanswered command is sent again later with the same id, and the
        platform executes each id once.
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
        if status == ACCEPTED:
            return CommandConfirmed(command.command_id)
        if status == STALE:
            return CommandRefused(command.command_id, STALE_TERM)
        reason = str(body.get("reason", status))
        return CommandRefused(command.command_id, reason)

    async def fetch_reports(self, after) -> Result:
        """Returns the reports with a higher sequence than ``after``."""
        answer = await self.exchange("GET", f"/v1/reports?after={after}")
        if answer.is_error():
            return answer
        status, document = answer.ok
        if status != ACCEPTED or not isinstance(document, dict):
            return Error(f"the platform answered with status {status}")
        return Ok(document.get("reports", []))


async def read_bounded(response):
    """Returns the body of a response.

    Raises:
        ValueError: If it is too large.
    """
    chunks, size = [], 0
    async for chunk in response.aiter_stream():
        size += len(chunk)
        if size > MAX_RESPONSE_BYTES:
            raise ValueError("the platform's response is too large")
        chunks.append(chunk)
    return b"".join(chunks)


async def poll_reports(client, outbound, logger):
    """Reads the platform's reports and passes them on as planner events."""
    after = 0
    while True:
        fetched = await client.fetch_reports(after)
        if fetched.is_error():
            client.metrics.count("platform_unanswered_polls")
            logger.warning("Platform not reached.", reason=fetched.error)
        for document in fetched.default_value([]):
            offset_ms = client.clock.now() - client.clock.wall()
            event = read_report(document, offset_ms)
            if event.is_error():
                client.metrics.count("platform_malformed_reports")
                logger.warning("Report refused.", reason=event.error)
            else:
                await outbound.put(event.ok)
            if isinstance(document, dict):
                after = max(after, int(document.get("sequence", after)))
        await client.clock.sleep(POLL_INTERVAL_MS)
