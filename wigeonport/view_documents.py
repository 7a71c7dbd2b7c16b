"""The JSON form of a FleetView and its grants in a trace."""

from wigeonport.views import (
    VM_STATES,
    FleetView,
    GrantView,
    PoolView,
    ServiceView,
    Size,
    TeamView,
    VmView,
    WeightsView,
)


def size_from_document(document):
    """Builds a Size from JSON data.

    Raises:
        KeyError: If a part is missing.
        TypeError: If a part is not a number.
    """
    return Size(
        document["cores"] + 0,
        document["memory_mb"] + 0,
        document.get("accelerators", 0) + 0,
    )


def size_to_document(size):
    """Returns a Size as JSON data."""
    return {
        "cores": size.cores,
        "memory_mb": size.memory_mb,
        "accelerators": size.accelerators,
    }


def fleet_from_document(document):
    """Builds a FleetView from JSON data.

    Raises:
        KeyError: If a field is missing, or a pool is not listed.
        TypeError: If a field has the wrong type.
        ValueError: If a state is unknown or a name is listed twice.
    """
    pools = [
        PoolView(
            each["name"], each.get("spare", False), each.get("floor", 0) + 0
        )
        for each in document["pools"]
    ]
    services = [
        ServiceView(
            each["name"],
            each["pool"],
            each["guaranteed"] + 0,
            each["slots_per_vm"] + 0,
        )
        for each in document["services"]
    ]
    teams = [
        TeamView(each["name"], each["quota_cores"] + 0)
        for each in document.get("teams", [])
    ]
    vms = [vm_from_document(each) for each in document["vms"]]
    for kind, views in (("pool", pools), ("VM", vms), ("service", services)):
        check_unique(kind, [view.name for view in views])
    fleet = FleetView(document["version"] + 0, vms, pools, services, teams)
    fleet.period_ms = document.get("period_ms")
    if document.get("weights") is not None:
        fleet.weights = WeightsView(**document["weights"])
    return fleet


def check_unique(kind, names):
    """Checks that no name occurs twice.

    Args:
        kind: What the names denote, for the message.
        names: Names.

    Raises:
        ValueError: If a name occurs twice.
    """
    seen = set()
    for name in names:
        if name in seen:
            raise ValueError(f"{kind} {name} is listed twice")
        seen.add(name)


def vm_from_document(document):
    """Builds a VmView from JSON data.

    Raises:
        KeyError: If a field is missing.
        TypeError: If a field has the wrong type.
        ValueError: If the state is unknown.
    """
    vm = VmView(
        document["name"],
        document["pool"],
        document["rack"],
        document["zone"],
        size_from_document(document),
        document["due_ms"] + 0,
        document.get("state", "ready"),
    )
    if vm.state not in VM_STATES:
        raise ValueError(f"VM {vm.name} has the unknown state {vm.state}")
    vm.home_pool = document.get("home_pool", vm.pool)
    vm.lender = document.get("lender", "")
    vm.maintained_ms = document.get("maintained_ms")
    vm.closed_until_ms = document.get("closed_until_ms", 0) + 0
    vm.unsettled_until_ms = document.get("unsettled_until_ms", 0) + 0
    return vm


def fleet_to_document(fleet):
    """Returns a FleetView as JSON data."""
    return {
        "version": fleet.version,
        "period_ms": fleet.period_ms,
        "weights": weights_to_document(fleet.weights),
        "pools": [
            {"name": pool.name, "spare": pool.spare, "floor": pool.floor}
            for pool in fleet.pools.values()
        ],
        "services": [
            {
                "name": service.name,
                "pool": service.pool,
                "guaranteed": service.guaranteed,
                "slots_per_vm": service.slots_per_vm,
            }
            for service in fleet.services.values()
        ],
        "teams": [
            {"name": team.name, "quota_cores": team.quota_cores}
            for team in fleet.teams.values()
        ],
        "vms": [vm_to_document(vm) for vm in fleet.vms.values()],
    }


def weights_to_document(weights):
    """Returns a WeightsView as JSON data, or None without weights."""
    if weights is None:
        return None
    return {name: getattr(weights, name) for name in weights.__slots__}


def vm_to_document(vm):
    """Returns a VmView as JSON data."""
    return {
        "name": vm.name,
        "pool": vm.pool,
        "home_pool": vm.home_pool,
        "lender": vm.lender,
        "rack": vm.rack,
        "zone": vm.zone,
        **size_to_document(vm.size),
        "due_ms": vm.due_ms,
        "maintained_ms": vm.maintained_ms,
        "closed_until_ms": vm.closed_until_ms,
        "unsettled_until_ms": vm.unsettled_until_ms,
        "state": vm.state,
    }


def copy_fleet(fleet):
    """Returns a copy of a FleetView that shares nothing with it."""
    return fleet_from_document(fleet_to_document(fleet))


def grants_from_document(document):
    """Builds a list of GrantViews from JSON data.

    Raises:
        KeyError: If a field is missing.
        TypeError: If a field has the wrong type.
    """
    return [
        GrantView(
            each["vm"],
            each["purpose"],
            each.get("destination", ""),
            each["until_ms"] + 0,
        )
        for each in document
    ]


def grants_to_document(grants):
    """Returns GrantViews as JSON data."""
    return [
        {
            "vm": grant.vm,
            "purpose": grant.purpose,
            "destination": grant.destination,
            "until_ms": grant.until_ms,
        }
        for grant in grants
    ]
