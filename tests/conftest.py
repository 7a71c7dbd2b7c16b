"""Fixtures shared by the tests."""

import itertools
import json

import pytest

from wigeonport.channels import Reply
from wigeonport.clocks import Clock, ManualClock
from wigeonport.endpoints import READY, EndpointRecord
from wigeonport.fleets import SECTION_NAMES, fleet_from_document
from wigeonport.requests import CallerRequest
from wigeonport.state_commands import SubmitPatch
from wigeonport.states import Entry, ReplicatedState

HOST = "127.0.0.1"
REQUEST_NUMBERS = itertools.count(1)
pytest_plugins = [
    "planning_fixtures",
    "entry_fixtures",
    "consensus_groups",
    "batch_fixtures",
    "disk_simulations",
]


@pytest.fixture
def clock():
    """A manual clock that starts at 1 s, so that time 0 is in the past."""
    return ManualClock(now_ms=1_000)


@pytest.fixture
def fleet_document():
    """A small fleet: two zones, two pools of four workers, two services."""
    workers = [
        {
            "id": f"vm-{number}",
            "zone": "ikeja" if number % 2 else "lekki",
            "rack": "ikeja-r1" if number % 2 else "lekki-r1",
            "processors": 16,
            "memory_mb": 32_768,
            "pool": "roster" if number <= 4 else "notices",
        }
        for number in range(1, 9)
    ]
    service = {"capacity_workers": 3, "max_unavailable": 1}
    return {
        "version": 1,
        "spare_pool": "notices",
        "regions": [{"id": "lagos"}],
        "zones": [
            {"id": "ikeja", "region": "lagos"},
            {"id": "lekki", "region": "lagos"},
        ],
        "racks": [
            {"id": "ikeja-r1", "zone": "ikeja"},
            {"id": "lekki-r1", "zone": "lekki"},
        ],
        "pools": [{"id": "roster", "team": "plans"}, {"id": "notices"}],
        "workers": workers,
        "services": [
            {"id": "roster", "pool": "roster", **service},
            {
                "id": "notices",
                "pool": "notices",
                "capacity_workers": 1,
                "max_unavailable_share": 0.5,
            },
        ],
        "teams": [{"id": "plans", "processors": 64, "memory_mb": 131_072}],
        "windows": [
            {
                "id": "ikeja-night",
                "zone": "ikeja",
                "start_minute": 1_380,
                "duration_minutes": 120,
            }
        ],
    }


@pytest.fixture
def fleet(fleet_document):
    """The fleet of ``fleet_document``."""
    return fleet_from_document(fleet_document).ok


@pytest.fixture
def apply():
    """Returns a function that applies a command to a new ReplicatedState.

    The function takes a command and the time in ms that passes before it, and
    returns the answer. Its attributes ``state``, ``now_ms`` and ``index`` may
    be replaced by a test.
    """

    def run(command, after_ms=1):
        run.now_ms += after_ms
        run.index += 1
        return run.state.apply(Entry(run.index, run.now_ms, command))

    run.state, run.now_ms, run.index = ReplicatedState(), 0, 0
    return run


@pytest.fixture
def submit(apply):
    """Returns a function that submits a patch with the given operations."""

    def run(id, against, *operations, author="ada"):
        document = {
            "id": id,
            "against_version": against,
            "author": author,
            "reason": f"reason of {id}",
            "operations": list(operations),
        }
        return apply(SubmitPatch(json.dumps(document)))

    return run


@pytest.fixture
def apply_to_fleet(apply, submit, fleet_document):
    """``apply`` after the patch p-1, which creates version 1 of ``fleet``."""
    submit("p-1", 0, *add_operations(fleet_document))
    return apply


def add_operations(document):
    """Returns the patch operations that create a fleet from its document."""
    operations = [
        {"operation": f"add_{section[:-1]}", **record}
        for section in SECTION_NAMES
        for record in document.get(section, [])
    ]
    pool = document["spare_pool"]
    return [*operations, {"operation": "set_spare_pool", "pool": pool}]


@pytest.fixture
def make_request():
    """Returns a function that makes a CallerRequest, due in 5 s by default."""

    def make(method="GET", key=None, body=b"", deadline_ms=None, **changes):
        if deadline_ms is None:
            deadline_ms = Clock().now() + 5_000
        request = CallerRequest(
            request_id=changes.pop("request_id", f"r{next(REQUEST_NUMBERS)}"),
            service="roster",
            method=method,
            path=changes.pop("path", b"/sends"),
            headers=[(b"x-tag", b"t")],
            body=body,
            key=key,
            deadline_ms=deadline_ms,
            received_ms=changes.pop("received_ms", 0),
            priority=changes.pop("priority", 0),
            reply=Reply(),
        )
        for name, value in changes.items():
            setattr(request, name, value)
        return request

    return make


@pytest.fixture
def make_record():
    """Returns a function that makes the EndpointRecord of a ready endpoint."""

    def make(endpoint_id="e1", port=1, **changes):
        record = EndpointRecord(
            endpoint_id, "roster", "ikeja", HOST, port, 8, 64, READY, 1, 1
        )
        for name, value in changes.items():
            setattr(record, name, value)
        return record

    return make
