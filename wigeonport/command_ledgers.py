"""Commands to the replicated log and the platform: ids, terms, resending."""

from wigeonport.plan_commands import OPERATORS, CancelJobs

ACCEPTED = "accepted"
REPEATED = "repeated"
STALE_TERM = "stale term"


def find_subject(command):
    """Returns the key of what a command acts on.

    A later command about the same subject replaces an earlier one.
    """
    fields = command.fields()
    if "job" in fields:
        return (command.target, "job", command.job)
    if "vm" in fields:
        return (command.target, "vm", command.vm)
    return (command.target, command.kind, command.command_id)


class SentCommand:
    """A command that was not answered yet.

    Attributes:
        command: The command.
        sent_ms: Time at which it was last sent.
    """

    __slots__ = ("command", "sent_ms")

    def __init__(self, command, sent_ms):
        self.command = command
        self.sent_ms = sent_ms


class CommandLedger:
    """Numbers the commands of a term and resends unanswered ones.

    Attributes:
        resend_ms: Time after which an unanswered command is sent again.
        term: Term of the commands.
        last_number: Number of the last command.
        sent: Maps command id to the SentCommand, in the order in which they
            were first sent.
        command_ids_by_subject: Maps subject to the id of its newest
            unanswered command.
    """

    __slots__ = (
        "resend_ms",
        "term",
        "last_number",
        "sent",
        "command_ids_by_subject",
    )

    def __init__(self, resend_ms):
        self.resend_ms = resend_ms
        self.term = 0
        self.last_number = 0
        self.sent = {}
        self.command_ids_by_subject = {}

    def start_term(self, term):
        """Drops the commands of the earlier term if the term is a new one."""
        if term != self.term:
            self.term = term
            self.last_number = 0
            self.sent.clear()
            self.command_ids_by_subject.clear()

    def record_sent(self, command, now_ms):
        """Gives a command its id and term and records it as sent.

        A command to the operators has no answer and is not recorded.
        """
        self.last_number += 1
        command.term = self.term
        command.command_id = f"{self.term}-{self.last_number}"
        if command.target == OPERATORS:
            return command
        if isinstance(command, CancelJobs):
            for job in command.jobs:
                self.stop_resending((command.target, "job", job))
        subject = find_subject(command)
        # A replaced command must not be resent after its successor.
        self.stop_resending(subject)
        self.command_ids_by_subject[subject] = command.command_id
        self.sent[command.command_id] = SentCommand(command, now_ms)
        return command

    def stop_resending(self, subject):
        """Removes the unanswered command about a subject, if any."""
        command_id = self.command_ids_by_subject.pop(subject, None)
        if command_id is not None:
            self.sent.pop(command_id, None)

    def record_answer(self, command_id):
        """Removes and returns the command that was answered.

        Returns:
            None if the command was answered before, replaced or of an
            earlier term.
        """
        sent = self.sent.pop(command_id, None)
        if sent is None:
            return None
        subject = find_subject(sent.command)
        if self.command_ids_by_subject.get(subject) == command_id:
            del self.command_ids_by_subject[subject]
        return sent.command

    def take_due_resends(self, now_ms):
        """Returns the commands to resend, under the ids that they have.

        Their time of sending becomes ``now_ms``.
        """
        commands = []
        for sent in self.sent.values():
            if now_ms - sent.sent_ms >= self.resend_ms:
                sent.sent_ms = now_ms
                commands.append(sent.command)
        return commands


class TermFence:
    """Receiving side: accepts each command once and refuses older terms.

    Attributes:
        term: Highest term seen.
        seen_ids: Command ids of that term that were accepted.
    """

    __slots__ = ("term", "seen_ids")

    def __init__(self):
        self.term = 0
        self.seen_ids = set()

    def admit(self, term, command_id):
        """Returns ``accepted``, ``repeated`` or ``stale term``."""
        if term < self.term:
            return STALE_TERM
        if term > self.term:
            self.term = term
            self.seen_ids = set()
        if command_id in self.seen_ids:
            return REPEATED
        self.seen_ids.add(command_id)
        return ACCEPTED
