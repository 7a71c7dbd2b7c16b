"""Decisions on keys: who may call, and which jobs a caller may reach.

The route of a call decides whether a key is required. The digest of a key is
looked up, so that the time of a look-up says nothing about the keys.
"""

from expression import Error, Ok, Result

from wigeonport.batch_calls import UNAUTHORIZED, BatchReply


def authenticate(table, queue, api_key) -> Result:
    """Returns a Result of the Tenant of a caller, or of a refusing BatchReply.

    Args:
        table: RouteTable in force.
        queue: Queue that the call addresses, or None if no queue of that
            name is known any more; a key is required then, too.
        api_key: Key of the call, or None.

    Returns:
        Ok of the Tenant; Ok of None if no key is required, whether or not
        the call has one; or an Error of the BatchReply.
    """
    if table.tenants is None or (queue is not None and queue.public):
        return Ok(None)
    tenant = table.tenants.find(api_key) if api_key else None
    if tenant is None:
        name = queue.name if queue is not None else "none"
        return Error(BatchReply(UNAUTHORIZED, f"queue {name} requires a key"))
    return Ok(tenant)


def may_reach(tenant, job):
    """Returns whether a caller may see and cancel a job at its path.

    Args:
        tenant: Tenant of the caller, or None if no key is required.
        job: BatchJob. One without a tenant was accepted while its queue
            required no key.
    """
    return tenant is None or job.tenant in ("", tenant.name)
