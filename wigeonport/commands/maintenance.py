"""Commands that show and control maintenance."""

import uuid

from cleo.helpers import argument, option

from wigeonport.commands import commands
from wigeonport.commands.options import SERVER_OPTIONS, ServerCommand

MS_PER_MINUTE = 60_000
SCOPE = argument(
    "scope",
    "Name of a pool, or all for every pool.",
    optional=True,
    default="all",
)
REASON = option(
    "reason", "r", "Reason, shown to other operators.", flag=False, default=""
)
RESEND_IS_SAFE = "Sending it again is safe."


@commands.register("maintenance list")
class MaintenanceListCommand(ServerCommand):
    """Shows grants, pauses, moves and budgets."""

    name = "maintenance list"
    description = "Shows grants, pauses, pending moves and budgets."
    options = SERVER_OPTIONS

    def handle(self):
        """Prints one line for each item."""
        return self.report_answer(
            self.ask("GET", "/v1/maintenance"), self.show
        )

    def show(self, document):
        """Prints everything that makes VMs unavailable or may do so."""
        now_ms = document["now_ms"]
        for scope, pause in document["pauses"].items():
            self.print(f"paused {scope}: {pause['author']}: {pause['reason']}")
        for grant in document["grants"]:
            remaining_s = max(grant["expires_ms"] - now_ms, 0) // 1_000
            self.print(
                f"grant {grant['id']} ({grant['purpose']}): "
                f"{' '.join(grant['workers'])}, {len(grant['drained'])} "
                f"drained, {remaining_s} s left: {grant['reason']}"
            )
        for worker, grant in document["missing"].items():
            self.print(f"missing {worker} since grant {grant}")
        for worker, until_ms in document["holds"].items():
            remaining_s = max(until_ms - now_ms, 0) // 1_000
            self.print(f"held {worker}: {remaining_s} s left")
        for move in document["moves"]:
            target = move["target"] or "removed"
            self.print(f"move {move['worker']}: {move['source']} -> {target}")
        for pool in document["pools"]:
            self.print(
                f"pool {pool['pool']}: {pool['members']} VMs, "
                f"{pool['unavailable']} unavailable, {pool['required']} "
                f"required, {max(pool['spare'], 0)} may be taken"
            )
        self.print(f"{len(document['due'])} VMs are due for maintenance")


class PauseScopeCommand(ServerCommand):
    """Base of the commands that pause and resume."""

    path = ""
    new_state = ""
    arguments = [SCOPE]
    options = [*SERVER_OPTIONS, REASON]

    def handle(self):
        """Sends the change and prints the answer."""
        document = {
            "scope": self.argument("scope"),
            "reason": self.option("reason"),
        }
        answer = self.ask("POST", self.path, document)
        return self.report_answer(answer, self.show, RESEND_IS_SAFE)

    def show(self, document):
        """Prints what was changed."""
        self.print(f"maintenance of {document['scope']} is {self.new_state}")


@commands.register("maintenance pause")
class MaintenancePauseCommand(PauseScopeCommand):
    """Stops new maintenance grants."""

    name = "maintenance pause"
    description = "Stops new maintenance grants; grants already given go on."
    path = "/v1/maintenance/pause"
    new_state = "paused"


@commands.register("maintenance resume")
class MaintenanceResumeCommand(PauseScopeCommand):
    """Allows maintenance grants again."""

    name = "maintenance resume"
    description = "Allows maintenance grants again."
    path = "/v1/maintenance/resume"
    new_state = "allowed"


@commands.register("maintenance drain")
class MaintenanceDrainCommand(ServerCommand):
    """Requests a grant to drain a VM."""

    name = "maintenance drain"
    description = (
        "Requests a grant to drain a VM; refused if a budget forbids it."
    )
    arguments = [argument("vm", "Id of the VM.")]
    options = [
        *SERVER_OPTIONS,
        REASON,
        option(
            "id",
            None,
            "Grant id; use the same one to send the request again.",
            flag=False,
        ),
        option(
            "lease-minutes",
            None,
            "Length of the lease, in minutes.",
            flag=False,
        ),
    ]

    def handle(self):
        """Sends the request and prints the grant."""
        id = self.option("id") or f"drain-{uuid.uuid4()}"
        document = {
            "grant": id,
            "workers": [self.argument("vm")],
            "reason": self.option("reason"),
        }
        minutes = self.read_whole_number("lease-minutes")
        if minutes is not None:
            document["lease_ms"] = minutes * MS_PER_MINUTE
        answer = self.ask("POST", "/v1/maintenance/grant", document)
        resend = f"Resending with --id {id} is safe."
        return self.report_answer(answer, self.show, resend)

    def show(self, document):
        """Prints the grant."""
        names = " ".join(document["workers"])
        self.print(f"grant {document['grant']}: {names} may be drained")


@commands.register("maintenance end")
class MaintenanceEndCommand(ServerCommand):
    """Ends a grant."""

    name = "maintenance end"
    description = "Ends a grant; its VMs that are not named count as missing."
    arguments = [
        argument("grant", "Id of the grant."),
        argument(
            "vms",
            "Ids of the VMs that are healthy again.",
            optional=True,
            multiple=True,
        ),
    ]
    options = SERVER_OPTIONS

    def handle(self):
        """Sends the request and prints the VMs that are missing."""
        document = {
            "grant": self.argument("grant"),
            "healthy": self.argument("vms") or [],
        }
        answer = self.ask("POST", "/v1/maintenance/end", document)
        resend = "Look at `maintenance list` before sending it again."
        return self.report_answer(answer, self.show, resend)

    def show(self, document):
        """Prints the end of the grant."""
        self.print(f"grant {document['grant']} ended")
        for worker in document["missing"]:
            self.print(f"missing {worker}")


@commands.register("maintenance return")
class MaintenanceReturnCommand(ServerCommand):
    """Reports that a missing VM is back."""

    name = "maintenance return"
    description = "Reports that a missing VM is back."
    arguments = [argument("vm", "Id of the VM.")]
    options = SERVER_OPTIONS

    def handle(self):
        """Sends the report."""
        document = {"worker": self.argument("vm")}
        answer = self.ask("POST", "/v1/maintenance/return", document)
        resend = "Look at `maintenance list` before sending it again."
        return self.report_answer(answer, self.show, resend)

    def show(self, document):
        """Prints that the VM is back."""
        self.print(f"{document['worker']} is back after its hold time")
