"""Shared by the commands: exit codes, options, output and the client."""

import json
import os
import pathlib

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from wigeonport.operator_clients import (
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
JSON_OPTION = option("json", None, "Prints the result as JSON.")
SERVER_OPTIONS = [
    option(
        "server",
        "s",
        f"Address of a control as host:port; default: {SERVERS_VARIABLE}.",
        flag=False,
        multiple=True,
    ),
    option(
        "token-file",
        None,
        f"File with the bearer token; default: {TOKEN_VARIABLE}.",
        flag=False,
    ),
    option(
        "timeout-ms",
        None,
        "Maximum wait for the answer of one server, in ms.",
        flag=False,
        default=str(TIMEOUT_MS),
    ),
    option(
        "retry-ms",
        None,
        "Time to try again while no server can run the request, in ms.",
        flag=False,
        default=str(DEFAULT_RETRY_MS),
    ),
    JSON_OPTION,
]


class UsageError(Exception):
    """The command line is invalid; nothing was sent."""


class PlainCommand(Command):
    """Base of the commands: prints text without interpreting markup."""

    def print(self, text):
        """Prints a line to standard output."""
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
            UsageError: If it is not a whole number of at most 2**53.
        """
        text = self.option(name)
        if text is None:
            return None
        value = parse_whole_number(text)
        if value is None:
            raise UsageError(f"--{name} must be a whole number, not {text!r}")
        return value


class ServerCommand(PlainCommand):
    """Base of the commands that send a request to a control program."""

    def make_client(self):
        """Returns the client for the options and the environment.

        Raises:
            UsageError: If an option or variable is missing or malformed.
        """
        names = self.option("server")
        if not names:
            names = os.environ.get(SERVERS_VARIABLE, "").split(",")
        names = [name.strip() for name in names if name.strip()]
        if not names:
            raise UsageError(
                f"no server: give --server host:port or set {SERVERS_VARIABLE}"
            )
        servers = []
        for name in names:
            server = parse_server(name)
            if server is None:
                raise UsageError(f"server must be host:port, not {name!r}")
            servers.append(server)
        timeout_ms = self.read_whole_number("timeout-ms") or TIMEOUT_MS
        retry_ms = self.read_whole_number("retry-ms")
        return OperatorClient(servers, self.read_token(), timeout_ms, retry_ms)

    def read_token(self):
        """Returns the token: the last word of the first line with text.

        Lines that begin with # are ignored.

        Raises:
            UsageError: If there is no usable token file.
        """
        path = self.option("token-file") or os.environ.get(TOKEN_VARIABLE)
        if not path:
            raise UsageError(
                f"no token: give --token-file FILE or set {TOKEN_VARIABLE}"
            )
        try:
            lines = pathlib.Path(path).read_text().splitlines()
        except (OSError, ValueError) as error:
            raise UsageError(
                f"token file {path} cannot be read: {error}"
            ) from error
        lines = [line for line in lines if line.strip() and line[0] != "#"]
        token = lines[0].split()[-1] if lines else ""
        if not token or not token.isascii():
            raise UsageError(f"token file {path} has no token in ASCII")
        return token

    def ask(self, method, path, document=None):
        """Sends a request to the servers and returns the Answer."""
        return self.make_client().call(method, path, document)

    def report_answer(self, answer, show, resend=""):
        """Prints an answer and returns the exit code.

        Args:
            answer: The Answer.
            show: Function that prints the document of a status 200.
            resend: Sentence that is printed after an unknown outcome: what
                the operator should do.
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
            self.print_error("No server ran the request; nothing was changed.")
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
