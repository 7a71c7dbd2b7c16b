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
    """Lets one replica go on when the quorum is lost for good."""

    name = "recover"
    description = (
        "Lets the replica of a stopped control go on alone when the other "
        "voters are lost for good. Refuses where a quorum may live."
    )
    arguments = [argument("settings", "Settings file of the VM.")]
    options = [
        option("accept-loss", None, "Does it; else only tells what is lost.")
    ]

    def handle(self):
        """Prints what may be lost and, if accepted, writes the change."""
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
        """Checks the other controls, then recovers if that is accepted."""
        reports = collect_reports(settings, keys)
        objections = find_objections(survivor, reports)
        if objections:
            return self.refuse(objections)
        for line in survivor.describe():
            self.print(line)
        if not self.option("accept-loss"):
            return self.refuse(["nothing was changed; use --accept-loss"])
        make_sole_voter(survivor)
        self.print("recovered; start the control, then the others")
        return EXIT_DONE

    def refuse(self, lines):
        """Prints why nothing was changed."""
        for line in lines:
            self.print_error(line)
        return EXIT_REFUSED
