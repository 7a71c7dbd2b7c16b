"""Command that checks settings files."""

from cleo.helpers import argument

from wigeonport.commands import commands
from wigeonport.commands.options import (
    EXIT_DONE,
    EXIT_REFUSED,
    JSON_OPTION,
    PlainCommand,
)
from wigeonport.settings import check_files


@commands.register("settings check")
class SettingsCheckCommand(PlainCommand):
    """Checks each settings file, and the files against each other."""

    name = "settings check"
    description = (
        "Checks each settings file, and the files against each other."
    )
    arguments = [
        argument(
            "files",
            "Settings files, usually those of all VMs of a cluster.",
            multiple=True,
        )
    ]
    options = [JSON_OPTION]

    def handle(self):
        """Prints every finding with file, line and key path."""
        files = self.argument("files")
        checked = check_files(files)
        lines = [] if checked.is_ok() else checked.error.lines()
        if self.option("json"):
            self.print_json({"files": files, "findings": lines})
        else:
            for line in lines:
                self.print(line)
            self.print(f"{len(files)} files, {len(lines)} findings")
        return EXIT_REFUSED if lines else EXIT_DONE
