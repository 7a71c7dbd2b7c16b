"""Answers: check responses of endpoints and turn them into CallerAnswers.

This module handles the head and the body of a single response; connections are
handled by the dispatchers.
"""

from wigeonport.requests import COMPLETED, CallerAnswer

REQUEST_ID = b"wigeonport-request-id"
REFUSED = b"wigeonport-refused"
RESERVED_PREFIX = b"wigeonport-"
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
BODILESS_STATUSES = frozenset({204, 304})


class AnswerError(Exception):
    """A response is not usable as the answer to a request.

    It is too large, its length or its request id is missing, or it belongs
    to another request.
    """


def connection_header_names(headers):
    """Returns the lower-case names that Connection headers list."""
    return {
        name.strip().lower()
        for header, value in headers
        if header.lower() == b"connection"
        for name in value.split(b",")
    }


def forward_headers(request):
    """Returns the headers to send to the endpoint.

    Hop-by-hop headers are dropped, and the request id is added.
    """
    dropped = (
        HOP_BY_HOP | connection_header_names(request.headers) | {REQUEST_ID}
    )
    headers = [
        (name, value)
        for name, value in request.headers
        if name.lower() not in dropped
    ]
    headers.append((REQUEST_ID, request.request_id.encode()))
    headers.append((b"content-length", str(len(request.body)).encode()))
    return headers


def check_head(request, status, headers, is_new_connection):
    """Checks the head of a response before its body is read.

    A response without a request id is accepted only over a new connection:
    over a reused one it may be the late answer to an earlier request. A body
    without a length, which ends when the connection closes, is rejected,
    because its end cannot be told from a crash of the endpoint.

    Raises:
        AnswerError: If the response cannot be the complete answer.
    """
    values = {}
    for name, value in headers:
        values.setdefault(name.lower(), value)
    answered_id = values.get(REQUEST_ID)
    if answered_id is None and not is_new_connection:
        raise AnswerError("the answer has no request id")
    if answered_id not in (None, request.request_id.encode()):
        raise AnswerError("the answer belongs to another request")
    bodiless = request.method == "HEAD" or status in BODILESS_STATUSES
    has_length = b"content-length" in values or b"transfer-encoding" in values
    if not bodiless and not has_length:
        raise AnswerError("the answer has no length and is not chunked")


def make_answer(request, status, headers, body):
    """Returns the CallerAnswer of a complete response.

    Hop-by-hop and internal headers are dropped. The content-length is kept
    only for HEAD, where it cannot be computed from the body.
    """
    dropped = HOP_BY_HOP | connection_header_names(headers)
    kept = [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped
        and not name.lower().startswith(RESERVED_PREFIX)
    ]
    if request.method == "HEAD":
        kept += [
            (name, value)
            for name, value in headers
            if name.lower() == b"content-length"
        ]
    return CallerAnswer(status, kept, body, COMPLETED)


def find_refusal(headers):
    """Returns the endpoint's reason for not running a request, or None."""
    for name, value in headers:
        if name.lower() == REFUSED:
            return value.decode("latin-1")
    return None


def has_request_id(headers):
    """Returns whether a response has a request id."""
    return any(name.lower() == REQUEST_ID for name, _ in headers)
