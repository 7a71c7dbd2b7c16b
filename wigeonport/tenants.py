"""Tenants: who owns the jobs of a queue, their keys, weights and limits.

A routing table without tenants asks callers for no key. The keys of a table
are kept as digests, so that they appear in no log line and a look-up does not
depend on how much of a key is right.
"""

import hashlib

from wigeonport.records import Record
from wigeonport.worker_reports import Resources

# Maximum length of a key, far more than the platform's keys of 20 bytes have.
MAX_KEY_BYTES = 1_000


class Tenant(Record):
    """A tenant of the fleet.

    Attributes:
        name: Unique name.
        key_digests: Digests of the API keys with which its callers
            authenticate.
        priority: Priority of the tenant; 0 is the highest.
        weight: Share of the tenant when all capacity is in use, relative to
            the weights of the others, and the jobs a second that it may
            submit.
        max_running: Resources that its tasks may use at the same time on all
            workers together; 0 stands for no limit.
    """

    __slots__ = ("name", "key_digests", "priority", "weight", "max_running")

    def __init__(self, name, key_digests, priority, weight, max_running):
        self.name = name
        self.key_digests = list(key_digests)
        self.priority = priority
        self.weight = weight
        self.max_running = max_running
        if isinstance(max_running, dict):
            self.max_running = Resources(**max_running)

    def to_document(self):
        """Returns the tenant as a JSON-compatible dict."""
        document = super().to_document()
        document["max_running"] = self.max_running.to_document()
        return document


class TenantTable:
    """The tenants of one version of the routing table.

    Attributes:
        by_name: Maps name to Tenant.
        by_digest: Maps the digest of each key to its Tenant.
    """

    __slots__ = ("by_name", "by_digest")

    def __init__(self, tenants):
        self.by_name = {tenant.name: tenant for tenant in tenants}
        self.by_digest = {
            digest: tenant
            for tenant in tenants
            for digest in tenant.key_digests
        }

    def find(self, api_key):
        """Returns the Tenant that a key belongs to, or None."""
        return self.by_digest.get(digest_key(api_key))

    def to_rows(self):
        """Returns the tenants as a JSON-compatible list."""
        return [tenant.to_document() for tenant in self.by_name.values()]


def digest_key(api_key):
    """Returns the digest under which a key is stored and looked up."""
    return hashlib.sha256(api_key.encode()).hexdigest()
