"""Commands to the log and the platform: ids, terms and repetition."""

from wigeonport.plan_commands import OPERATORS, CancelJobs

ACCEPTED = "accepted"
REPEATED = "repeated"
STALE_TERM = "stale term"


def find_subject(command):
    """Returns what a command is about; a later one replaces an earlier."""
    fields = command.fields()
    if "job" in fields:
        return (command.target, "job", command.job)
    if "vm" in fields:
        return (command.target, "vm", command.vm)
    return (command.target, command.kind, command.command_id)


class SentCommand:
    """A command that was not confirmed yet.

    Attributes:
        command: The command.
        sent_ms: Time of the last sending.
    """

    __slots__ = ("command", "sent_ms")

    def __init__(self, command, sent_ms):
        self.command = command
        self.sent_ms = sent_ms


class CommandLedger:
    """Numbers the commands of a term and repeats unconfirmed ones.

    Attributes:
        resend_ms: Time after which an unconfirmed command is sent again.
        term: Term of the commands.
        last_number: Number of the last command.
        sent: SentCommand by command id, in the order of sending.
        command_ids_by_subject: Command id of the newest unconfirmed command by subject.
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
        """Forgets the commands of earlier terms."""
        if term != self.term:
            self.term = term
            self.last_number = 0
            self.sent.clear()
            self.command_ids_by_subject.clear()

    def record_sent(self, command, now_ms):
        """Gives a command its id and term and records it as sent."""
        self.last_number += 1
        command.term = self.term
        command.command_id = f"{self.term}-{self.last_number}"
        if command.target == OPERATORS:
            return command
        if isinstance(command, CancelJobs):
            for job in command.jobs:
                self.stop_resending((command.target, "job", job))
        subject = find_subject(command)
        # A replaced command must not be repeated after its successor.
        self.stop_resending(subject)
        self.command_ids_by_subject[subject] = command.command_id
        self.sent[command.command_id] = SentCommand(command, now_ms)
        return command

    def stop_resending(self, subject):
        """Stops the repetition of the command about a subject."""
        command_id = self.command_ids_by_subject.pop(subject, None)
        if command_id is not None:
            self.sent.pop(command_id, None)

    def record_answer(self, command_id):
        """Returns the command of a first answer, or None for a repeat."""
        sent = self.sent.pop(command_id, None)
        if sent is None:
            return None
        subject = find_subject(sent.command)
        if self.command_ids_by_subject.get(subject) == command_id:
            del self.command_ids_by_subject[subject]
        return sent.command

    def take_due_resends(self, now_ms):
        """Returns the commands to send again, with their first ids."""
        commands = []
        for sent in self.sent.values():
            if now_ms - sent.sent_ms >= self.resend_ms:
                sent.sent_ms = now_ms
                commands.append(sent.command)
        return commands


class TermFence:
    """Receiving side: admits each command once and no older term.

    Attributes:
        term: Highest term seen.
        seen_ids: Command ids of that term.
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
