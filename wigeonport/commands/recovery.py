"""Command that recovers from the loss of a quorum."""

from cleo.helpers import argument, option

from wigeonport.commands import commands
from wigeonport.commands.options import (
    EXIT_DONE,
    EXIT_REFUSED,
    PlainCommand,
)
from wigeonport.credentials import load_keys
from wigeonport.quorum_recoveries import (
    collect_reports,
    find_objections,
    make_sole_voter,
    open_survivor,
)
from wigeonport.settings import load_settings


@commands.register("recover")
class RecoverCommand(PlainCommand):
    """Makes one replica the only voter when the quorum is lost for good."""

    name = "recover"
    description = (
        "Makes the replica of a stopped control the only voter when the "
        "other voters are lost for good. Refuses if a quorum may still exist."
    )
    arguments = [
        argument(
            "settings", "Settings file of the VM with the surviving replica."
        )
    ]
    options = [
        option(
            "accept-loss",
            None,
            "Makes the change; else only shows what may be lost.",
        )
    ]

    def handle(self):
        """Shows what may be lost; makes the change if the loss is accepted."""
        settings = load_settings(self.argument("settings"))
        if settings.is_error():
            return self.refuse(settings.error.lines())
        keys = load_keys(settings.ok.key_files)
        if keys.is_error():
            return self.refuse(keys.error.lines())
        survivor = open_survivor(settings.ok)
        if survivor.is_error():
            return self.refuse([survivor.error])
        try:
            return self.decide(settings.ok, keys.ok, survivor.ok)
        finally:
            survivor.ok.storage.journal.close()

    def decide(self, settings, keys, survivor):
        """Checks the other controls, then recovers if the loss is accepted."""
        reports = collect_reports(settings, keys)
        objections = find_objections(survivor, reports)
        if objections:
            return self.refuse(objections)
        for line in survivor.describe():
            self.print(line)
        if not self.option("accept-loss"):
            return self.refuse(
                ["nothing was changed; give --accept-loss to recover"]
            )
        make_sole_voter(survivor)
        self.print("recovered; start this control first, then the others")
        return EXIT_DONE

    def refuse(self, lines):
        """Prints why nothing was changed."""
        for line in lines:
            self.print_error(line)
        return EXIT_REFUSED
