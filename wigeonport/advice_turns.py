"""The order in which steps get calls to the advice service."""

# One in this many calls is for a job that will be late, so that it is not
# postponed for as long as other jobs keep arriving.
LATE_TURN = 4
# One in this many calls is for a step for which several calls have let no task
# start. It takes every second turn of the late ones.
UNUSED_TURN = 2 * LATE_TURN
# Maximum number of queues whose last call is known.
MAX_QUEUES = 4_096


class CallTurns:
    """The order in which steps get calls to the advice service.

    Lasting jobs go first, then urgent queues. Queues take turns, so that a
    burst of one does not delay the others. Within a queue an early objective
    goes first. A job that would miss its objective behind the calls that
    precede it is deferred, because its result is late in any case; so is a
    step for which several calls have let no task start. Some calls are kept
    for these, and they take turns.

    Attributes:
        made: Number of calls made.
        last_turns: Maps the name of a queue to the number of its last call.
    """

    __slots__ = ("made", "last_turns")

    def __init__(self):
        self.made = 0
        self.last_turns = {}

    def choose(self, needs, wall_ms, start_delay_ms):
        """Returns the AdviceNeed whose turn it is.

        Args:
            needs: Non-empty list of AdviceNeed.
            wall_ms: Wall time.
            start_delay_ms: Maximum time from an answer to the start of tasks.
        """
        in_time, late, unused = [], [], []
        preceding_ms = 0
        for need in sorted(needs, key=rank_key):
            if not need.is_hopeful():
                unused.append(need)
                continue
            ranked_job = need.ranked_job
            start_ms = (
                wall_ms + preceding_ms + need.duration_ms + start_delay_ms
            )
            end_ms = start_ms + ranked_job.remaining_ms
            if ranked_job.lasting or end_ms <= ranked_job.objective_ms:
                in_time.append(need)
                preceding_ms += need.duration_ms * LATE_TURN / (LATE_TURN - 1)
            else:
                late.append(need)
        for group in self.order_groups(in_time, late, unused):
            if group is unused and group:
                return min(group, key=asked_key)
            if group:
                return min(group, key=self.turn_key)
        raise ValueError("there are no needs")

    def order_groups(self, in_time, late, unused):
        """Returns the groups of needs in the order for the next call."""
        if self.made % UNUSED_TURN == UNUSED_TURN - 1:
            return unused, late, in_time
        if self.made % LATE_TURN == LATE_TURN - 1:
            return late, in_time, unused
        return in_time, late, unused

    def turn_key(self, need):
        """Returns the sort key of the next call."""
        lasting, priority, objective_ms = rank_key(need)
        last_turn = self.last_turns.get(need.ranked_job.queue.name, -1)
        return lasting, priority, last_turn, objective_ms

    def record(self, need):
        """Records that the call for an AdviceNeed has been made."""
        if len(self.last_turns) >= MAX_QUEUES:
            self.last_turns.clear()
        self.last_turns[need.ranked_job.queue.name] = self.made
        self.made += 1


def asked_key(need):
    """Returns the sort key by which steps take turns."""
    return need.asked_ms


def rank_key(need):
    """Returns the sort key of an AdviceNeed, whichever queue had a call."""
    ranked_job = need.ranked_job
    return (
        not ranked_job.lasting,
        ranked_job.queue.priority,
        ranked_job.objective_ms,
    )
