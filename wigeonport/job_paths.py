"""Paths of jobs: the path prefix of a queue, followed by the id of a job.

Which prefix belongs to a queue is known to the leader only, so that an entry
can only tell that a path names no job.
"""

import re

JOB_ID_DIGITS = 16
JOB_ID = re.compile(f"[0-9a-f]{{{JOB_ID_DIGITS}}}")


def is_job_id(text):
    """Returns whether a text is the id of a job."""
    return JOB_ID.fullmatch(text) is not None


def split_job_path(path):
    """Returns the prefix and the job id that a path may consist of.

    The id is "" if the path does not end in one.
    """
    prefix, job_id = path[:-JOB_ID_DIGITS], path[-JOB_ID_DIGITS:]
    return (prefix, job_id) if is_job_id(job_id) else (path, "")
