"""Admission of jobs: which submissions of a tenant are refused for now."""


def refuse_submission(dispatcher, tenant, queue, call):
    """Returns the BatchReply that refuses a new job, or None to accept it.

    Called once for each submission of an id that has not been accepted yet,
    after its key was checked and before anything is recorded.

    Args:
        dispatcher: BatchDispatcher.
        tenant: Tenant that submits the job, or None if the queue asks for no
            key.
        queue: Queue of the job.
        call: BatchCall.
    """
