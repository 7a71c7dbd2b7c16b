"""Answers: whole answers of endpoints, or the fault that makes them unusable.

Only the head and the body of one response are looked at here; connections
belong to the dispatchers.
"""

from wigeonport.requests import COMPLETED, CallerAnswer

REQUEST_ID = b"wigeonport-request-id"
REFUSED = b"wigeonport-refused"
OWN_PREFIX = b"wigeonport-"
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
    """An answer is too large, unbounded or belongs to another request."""


def listed_names(headers):
    """Returns the header names that a Connection header lists."""
    return {
        name.strip().lower()
        for header, value in headers
        if header.lower() == b"connection"
        for name in value.split(b",")
    }


def forward_headers(request):
    """Returns the headers that go to the endpoint."""
    dropped = HOP_BY_HOP | listed_names(request.headers) | {REQUEST_ID}
    headers = [
        (name, value)
        for name, value in request.headers
        if name.lower() not in dropped
    ]
    headers.append((REQUEST_ID, request.request_id.encode()))
    headers.append((b"content-length", str(len(request.body)).encode()))
    return headers


def check_head(request, status, headers, fresh):
    """Checks the head of a response before its body is read.

    A response without a request id is accepted only over a new connection:
    over a used one it may be the late answer to an earlier request. A body
    that ends with the connection is refused, because its end cannot be told
    from the death of the endpoint.

    Raises:
        AnswerError: If the response cannot be the whole answer.
    """
    values = {}
    for name, value in headers:
        values.setdefault(name.lower(), value)
    answered = values.get(REQUEST_ID)
    if answered is None and not fresh:
        raise AnswerError("the answer names no request")
    if answered not in (None, request.request_id.encode()):
        raise AnswerError("the answer belongs to another request")
    bodiless = request.method == "HEAD" or status in BODILESS_STATUSES
    framed = b"content-length" in values or b"transfer-encoding" in values
    if not bodiless and not framed:
        raise AnswerError("the length of the answer is not known")


def make_answer(request, status, headers, body):
    """Returns the CallerAnswer of a whole response."""
    dropped = HOP_BY_HOP | listed_names(headers)
    kept = [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped
        and not name.lower().startswith(OWN_PREFIX)
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


def names_request(headers):
    """Returns whether a response names a request."""
    return any(name.lower() == REQUEST_ID for name, _ in headers)
