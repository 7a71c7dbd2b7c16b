"""Start, signals and stop of the entry and control programs."""

import pathlib
import signal
import sys

import trio

from wigeonport.channels import DROP_OLDEST, Mailbox
from wigeonport.client_budgets import ClientBudget
from wigeonport.client_limits import derive_limits
from wigeonport.clocks import Clock, LamportCounter
from wigeonport.credentials import load_keys
from wigeonport.events import EventLog, write_events
from wigeonport.journals import JournalError
from wigeonport.links import Identity, LinkContext
from wigeonport.logs import PartLogger, configure_logging
from wigeonport.machine_limits import find_machine_limits
from wigeonport.metrics import Metrics
from wigeonport.settings import load_settings
from wigeonport.snapshots import FormatError

logger = PartLogger("program")

STOP = "stop"
EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


class Program:
    """State and services of a running program.

    Attributes:
        role: ``entry`` or ``control``.
        settings: Settings of the VM.
        keys: Maps key id to the key that authenticates links.
        clock: Clock of the VM.
        metrics: Metrics of the process.
        lamport: LamportCounter of the process.
        events: EventLog of the process.
        stopping: trio.Event that is set by the first SIGTERM or SIGINT.
        reloads: Mailbox of requests to reload the settings, one for each
            SIGHUP.
        machine: MachineLimits of the process.
        client_budget: ClientBudget that the listeners of the process share.
    """

    __slots__ = (
        "role",
        "settings",
        "keys",
        "clock",
        "metrics",
        "lamport",
        "events",
        "stopping",
        "reloads",
        "machine",
        "client_budget",
    )

    def __init__(self, role, settings, keys):
        self.role = role
        self.settings = settings
        self.keys = keys
        self.clock = Clock()
        self.metrics = Metrics()
        self.lamport = LamportCounter()
        self.events = EventLog(
            self.node_id,
            self.clock,
            self.lamport,
            settings.event_ring_bound,
            settings.event_log is not None,
        )
        self.stopping = trio.Event()
        self.reloads = Mailbox("reloads", 1, DROP_OLDEST)
        self.machine = find_machine_limits(settings)
        self.client_budget = ClientBudget(
            derive_limits(settings, self.machine)
        )

    @property
    def node_id(self):
        """Name of this process on links and in events: role and VM."""
        return f"{self.role}/{self.settings.node_id}"

    @property
    def event_path(self):
        """Path of the event file.

        Its name ends in the role, because the programs of a VM share the
        setting ``event_log``.
        """
        path = pathlib.Path(self.settings.event_log)
        return path.with_name(f"{path.stem}-{self.role}{path.suffix}")

    def link_context(self, inbound):
        """Returns a LinkContext that puts received messages in ``inbound``."""
        identity = Identity(
            self.node_id,
            self.settings.availability_zone,
            self.settings.cluster_id,
            self.keys,
        )
        return LinkContext(
            identity, inbound, self.clock, self.metrics, self.lamport
        )


async def stop_on_signal(stopping):
    """Sets ``stopping`` at the first SIGTERM or SIGINT.

    Later signals have no further effect; ``shutdown_grace_ms`` limits how
    long the shutdown takes.
    """
    stop_signals = (signal.SIGTERM, signal.SIGINT)
    with trio.open_signal_receiver(*stop_signals) as signals:
        async for signal_number in signals:
            if stopping.is_set():
                logger.info("Already stopping.", signal=signal_number)
                continue
            logger.info("Stopping.", signal=signal_number)
            stopping.set()


async def reload_on_signal(reloads):
    """Requests a reload of the settings at each SIGHUP."""
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for signal_number in signals:
            reloads.put_nowait(signal_number)


def start(role, run, arguments):
    """Loads the settings and runs a program.

    Args:
        role: ``entry`` or ``control``.
        run: Async function that takes the Program and returns when it has
            stopped.
        arguments: Command line without the program's name.

    Returns:
        The exit status: 0 after a stop, 1 after an error, 2 for a wrong
        command line.
    """
    if len(arguments) != 1:
        print(f"usage: wigeonport-{role} SETTINGS", file=sys.stderr)
        return EXIT_USAGE
    return start_with_settings(role, run, load_settings(arguments[0]))


def start_with_settings(role, run, settings):
    """Runs a program with settings that were read; returns the exit status.

    Args:
        role: ``entry`` or ``control``.
        run: Async function that takes the Program.
        settings: Result of Settings or Findings.
    """
    if settings.is_error():
        print(settings.error, file=sys.stderr)
        return EXIT_FAILED
    keys = load_keys(settings.ok.key_files)
    if keys.is_error():
        print(keys.error, file=sys.stderr)
        return EXIT_FAILED
    configure_logging(settings.ok.log_level)
    return run_and_log_faults(role, run, settings.ok, keys.ok)


def run_and_log_faults(role, run, settings, keys):
    """Runs a program; returns 1 if a file, a disk or an address failed."""
    faults = []
    try:
        trio.run(run_until_stopped, role, run, settings, keys)
    except* (OSError, JournalError, FormatError) as group:
        faults = flatten_faults(group)
    for fault in faults:
        logger.error("Program failed.", role=role, reason=fault)
    return EXIT_FAILED if faults else EXIT_DONE


def flatten_faults(group):
    """Returns the exceptions of a group, nested groups included."""
    faults = []
    for fault in group.exceptions:
        is_group = isinstance(fault, BaseExceptionGroup)
        faults += flatten_faults(fault) if is_group else [fault]
    return faults


async def run_until_stopped(role, run, settings, keys):
    """Runs a program with its signal handlers and its event file."""
    program = Program(role, settings, keys)
    logger.info("Starting.", role=role, node_id=settings.node_id)
    async with trio.open_nursery() as writers:
        if settings.event_log is not None:
            writers.start_soon(
                write_events,
                program.events,
                program.event_path,
                program.metrics,
            )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop_on_signal, program.stopping)
            nursery.start_soon(reload_on_signal, program.reloads)
            await run(program)
            nursery.cancel_scope.cancel()
        program.events.record(STOP)
        if program.events.writer is not None:
            program.events.writer.close()
    logger.info("Stopped.", role=role, node_id=settings.node_id)
