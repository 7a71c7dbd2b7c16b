"""What the commands share: exit codes, output and the client."""

import json
import os
import pathlib

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from wigeonport.clients import (
    ANSWERED,
    DEFAULT_RETRY_MS,
    UNKNOWN,
    OperatorClient,
    parse_server,
    parse_whole_number,
)

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3

TIMEOUT_MS = 10_000
SERVERS_VARIABLE = "WIGEONPORT_SERVERS"
TOKEN_VARIABLE = "WIGEONPORT_TOKEN_FILE"
JSON_OPTION = option("json", None, "Prints JSON.")
SERVER_OPTIONS = [
    option(
        "server",
        "s",
        f"Address of a control, host:port; else {SERVERS_VARIABLE}.",
        flag=False,
        multiple=True,
    ),
    option(
        "token-file",
        None,
        f"File with the bearer token; else {TOKEN_VARIABLE}.",
        flag=False,
    ),
    option(
        "timeout-ms",
        None,
        "Longest wait for one server.",
        flag=False,
        default=str(TIMEOUT_MS),
    ),
    option(
        "retry-ms",
        None,
        "How long to try again while the servers run nothing.",
        flag=False,
        default=str(DEFAULT_RETRY_MS),
    ),
    JSON_OPTION,
]


class UsageError(Exception):
    """The command line is wrong; nothing was sent."""


class PlainCommand(Command):
    """Base of the commands: prints texts as they are."""

    def print(self, text):
        """Prints a line without interpreting markup in it."""
        self.io.write_line(text, type=Type.RAW)

    def print_error(self, text):
        """Prints a line to standard error."""
        self.io.write_error_line(text, type=Type.RAW)

    def print_json(self, document):
        """Prints a document as JSON."""
        self.print(json.dumps(document, indent=2))

    def read_whole_number(self, name):
        """Returns an option as a whole number, or None if it is absent.

        Raises:
            UsageError: If it is not a whole number.
        """
        text = self.option(name)
        if text is None:
            return None
        value = parse_whole_number(text)
        if value is None:
            raise UsageError(f"--{name} takes a whole number, not {text!r}")
        return value


class ServerCommand(PlainCommand):
    """Base of the commands that talk to a control program."""

    def make_client(self):
        """Returns the client for the options and the environment.

        Raises:
            UsageError: If servers or token are missing or malformed.
        """
        names = self.option("server")
        if not names:
            names = os.environ.get(SERVERS_VARIABLE, "").split(",")
        names = [name.strip() for name in names if name.strip()]
        if not names:
            raise UsageError(f"name a --server or set {SERVERS_VARIABLE}")
        servers = []
        for name in names:
            server = parse_server(name)
            if server is None:
                raise UsageError(f"{name!r} is not an address host:port")
            servers.append(server)
        timeout_ms = self.read_whole_number("timeout-ms") or TIMEOUT_MS
        retry_ms = self.read_whole_number("retry-ms")
        return OperatorClient(servers, self.read_token(), timeout_ms, retry_ms)

    def read_token(self):
        """Returns the token: the last word of the first line of its file.

        Raises:
            UsageError: If there is no usable token file.
        """
        path = self.option("token-file") or os.environ.get(TOKEN_VARIABLE)
        if not path:
            raise UsageError(f"name a --token-file or set {TOKEN_VARIABLE}")
        try:
            lines = pathlib.Path(path).read_text().splitlines()
        except (OSError, ValueError) as fault:
            raise UsageError(f"{path}: cannot be read: {fault}") from fault
        lines = [line for line in lines if line.strip() and line[0] != "#"]
        token = lines[0].split()[-1] if lines else ""
        if not token or not token.isascii():
            raise UsageError(f"{path}: has no token")
        return token

    def ask(self, method, path, document=None):
        """Returns the Answer of the servers."""
        return self.make_client().call(method, path, document)

    def report_answer(self, answer, show, resend=""):
        """Prints an answer and returns the exit code.

        Args:
            answer: The Answer.
            show: Function that prints the document of a good answer.
            resend: What to do after a lost answer, as a sentence.
        """
        if self.option("json"):
            document = {"outcome": answer.outcome, **answer.document}
            self.print_json(document | {"reasons": answer.reasons})
        elif answer.outcome == ANSWERED and answer.status == 200:
            show(answer.document)
        for reason in answer.reasons:
            self.print_error(reason)
        if answer.outcome == UNKNOWN:
            self.print_error(f"The outcome is unknown. {resend}".rstrip())
            return EXIT_UNKNOWN
        if answer.outcome != ANSWERED:
            self.print_error("No server ran it; nothing was changed.")
            return EXIT_REFUSED
        if answer.status != 200:
            self.print_refusal(answer)
            return EXIT_REFUSED
        return EXIT_DONE

    def print_refusal(self, answer):
        """Prints the findings of a refusal."""
        why = answer.document.get("why") or f"status {answer.status}"
        self.print_error(f"Refused: {why}")
        for finding in answer.document.get("findings", []):
            self.print_error(f"  {finding}")
