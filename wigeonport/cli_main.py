"""The operators' command line ``wigeonport``."""

import importlib
import pkgutil
import sys

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

import wigeonport.commands
from wigeonport import __version__
from wigeonport.commands import commands
from wigeonport.commands.options import (
    EXIT_UNKNOWN,
    EXIT_USAGE,
    UsageError,
)


def load_commands():
    """Imports every module of ``wigeonport.commands``, to register them."""
    package = wigeonport.commands
    for module in pkgutil.iter_modules(package.__path__):
        importlib.import_module(f"{package.__name__}.{module.name}")


def make_application():
    """Returns the application with all registered commands."""
    load_commands()
    application = Application("wigeonport", __version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for name in commands.names():
        application.add(commands.entries[name]())
    return application


def run(arguments, output=None, error_output=None):
    """Runs one command.

    Args:
        arguments: Command line without the program's name.
        output: Output of cleo; standard output if None.
        error_output: Error output of cleo; standard error if None.

    Returns:
        The exit status: 0 on success, 1 if the request was refused or a check
        found faults, 2 for a wrong command line, 3 if the outcome is unknown.
    """
    application = make_application()
    argv_input = ArgvInput(["wigeonport", *arguments])
    try:
        return application.run(argv_input, output, error_output)
    except (CleoError, UsageError) as error:
        print(f"usage: {error}", file=sys.stderr)
        return EXIT_USAGE
    except KeyboardInterrupt:
        print(
            "Interrupted; whether the command took effect is unknown.",
            file=sys.stderr,
        )
        return EXIT_UNKNOWN


def main():
    """Entry point of ``wigeonport``."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
