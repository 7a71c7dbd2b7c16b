"""Commands that show the fleet and submit patches."""

import re
import time

from cleo.helpers import argument, option

from wigeonport.commands import commands
from wigeonport.commands.options import (
    EXIT_REFUSED,
    SERVER_OPTIONS,
    ServerCommand,
    UsageError,
)
from wigeonport.documents import NAME_PATTERN
from wigeonport.fleet_changes import Change
from wigeonport.patch_files import load_patch_file

PREVIEW_ID = "preview"
OPERATION_PATH = re.compile(r"operations\[(\d+)\](?:\.(\w+))?")


@commands.register("fleet show")
class FleetShowCommand(ServerCommand):
    """Shows the version in force."""

    name = "fleet show"
    description = "Shows services and pools of the fleet version in force."
    options = SERVER_OPTIONS

    def handle(self):
        """Prints version, services and pools."""
        return self.report_answer(self.ask("GET", "/v1/fleet"), self.show)

    def show(self, fleet):
        """Prints a summary of the fleet."""
        self.print(f"version {fleet['version']}")
        self.print(f"spare pool {fleet['spare_pool']}")
        for service in fleet["services"]:
            budget = service["max_unavailable"]
            if budget is None:
                budget = f"{service['max_unavailable_share']:.0%}"
            self.print(
                f"service {service['id']}: pool {service['pool']}, promised "
                f"{service['capacity_workers']} workers, budget {budget}"
            )
        for pool in fleet["pools"]:
            workers = [w for w in fleet["workers"] if w["pool"] == pool["id"]]
            names = " ".join(worker["id"] for worker in workers)
            self.print(f"pool {pool['id']}: {len(workers)} workers: {names}")


@commands.register("fleet history")
class FleetHistoryCommand(ServerCommand):
    """Shows who changed what and why."""

    name = "fleet history"
    description = "Shows the author, reason and number of changes of versions."
    options = [
        *SERVER_OPTIONS,
        option(
            "limit", None, "Number of newest versions to show.", flag=False
        ),
        option(
            "changes-of",
            None,
            "Shows this version with its changes.",
            flag=False,
        ),
    ]

    def handle(self):
        """Prints the newest versions first."""
        path = "/v1/history"
        version, limit = (
            self.read_whole_number("changes-of"),
            self.read_whole_number("limit"),
        )
        if version is not None:
            path += f"?version={version}"
        elif limit is not None:
            path += f"?limit={limit}"
        return self.report_answer(self.ask("GET", path), self.show)

    def show(self, history):
        """Prints one line for each version, and its changes if given."""
        for item in history["versions"]:
            moment = time.gmtime(item["time_ms"] / 1000)
            time_text = time.strftime("%Y-%m-%dT%H:%M:%SZ", moment)
            changes = item["changes"]
            count = changes if isinstance(changes, int) else len(changes)
            self.print(
                f"{item['version']} {time_text} {item['author']} "
                f"[{item['patch']}] {count} changes: {item['reason']}"
            )
            for change in changes if isinstance(changes, list) else ():
                self.print(f"  {Change(**change)}")


@commands.register("fleet status")
class FleetStatusCommand(ServerCommand):
    """Shows which processes apply which version."""

    name = "fleet status"
    description = (
        "Shows which version each process applies, and which ones lag."
    )
    options = SERVER_OPTIONS

    def handle(self):
        """Prints one line for each process."""
        return self.report_answer(self.ask("GET", "/v1/status"), self.show)

    def show(self, status):
        """Prints version, leader and processes."""
        everywhere = "yes" if status["in_force_everywhere"] else "no"
        self.print(
            f"version {status['version']}, leader "
            f"{status['leader'] or 'unknown'}, in force everywhere: "
            f"{everywhere}"
        )
        for line in status["processes"]:
            lag = line["lag"] or "up to date"
            self.print(
                f"{line['process']} {line['availability_zone']} "
                f"version {line['version']}: {lag}"
            )


@commands.register("fleet patch")
class FleetPatchCommand(ServerCommand):
    """Submits a patch, or previews it."""

    name = "fleet patch"
    description = "Submits a patch against a version, or previews it."
    arguments = [argument("file", "Patch file in YAML.")]
    options = [
        *SERVER_OPTIONS,
        option(
            "against",
            None,
            "Version that the patch was written against.",
            flag=False,
        ),
        option(
            "id",
            None,
            "Patch id; use the same one to send the patch again.",
            flag=False,
        ),
        option(
            "dry-run", None, "Shows the effects of the patch; changes nothing."
        ),
    ]

    def handle(self):
        """Reads the file, submits it and prints the answer."""
        dry_run = self.option("dry-run")
        against, id = self.read_whole_number("against"), self.option("id")
        if dry_run and id is None:
            id = PREVIEW_ID
        if against is None or id is None:
            raise UsageError("fleet patch needs --against VERSION and --id ID")
        if not NAME_PATTERN.fullmatch(id):
            raise UsageError(
                f"--id must be a name that matches {NAME_PATTERN.pattern},"
                f" not {id!r}"
            )
        patch = load_patch_file(self.argument("file"), id, against, "")
        if patch.is_error():
            for line in patch.error.lines():
                self.print_error(line)
            return EXIT_REFUSED
        return self.submit(patch.ok, dry_run)

    def submit(self, patch, dry_run):
        """Sends the patch; returns the exit code."""
        document = patch.to_document()
        if not document["author"]:
            # The control fills in the operator to whom the token belongs.
            document["author"] = None
        path = "/v1/patches?dry_run=1" if dry_run else "/v1/patches"
        answer = self.ask("POST", path, document)
        findings = answer.document.get("findings")
        if findings:
            source_map = patch.source_map
            answer.document["findings"] = [
                add_file_position(text, source_map) for text in findings
            ]
        show = self.show_preview if dry_run else self.show_accepted
        resend = f"Resending with --id {patch.id} is safe."
        return self.report_answer(answer, show, "" if dry_run else resend)

    def show_preview(self, document):
        """Prints the result of a dry run."""
        for line in document["lines"]:
            self.print(line)

    def show_accepted(self, document):
        """Prints the new version."""
        patch, version = document["patch"], document["version"]
        self.print(f"patch {patch} accepted as version {version}")

    def print_refusal(self, answer):
        """Prints the findings, and what changed since a stale version."""
        super().print_refusal(answer)
        document = answer.document
        for item in document.get("versions", []):
            self.print_error(
                f"version {item['version']} by {item['author']}: "
                f"{item['reason']}"
            )
        for change in document.get("changes", []):
            self.print_error(f"  {Change(**change)}")
        if document.get("complete") is False:
            self.print_error("  The list of changes is not complete.")


def add_file_position(text, source_map):
    """Prefixes a finding about an operation with its file and line."""
    match = OPERATION_PATH.match(text)
    if match is None:
        return text
    path = ("operations", int(match.group(1)))
    if match.group(2):
        path = (*path, match.group(2))
    return f"{source_map.file}:{source_map.line(path)}: {text}"
