"""HTTP client of the tools for the operators' interface of controls."""

import json

from fleet_runner import HTTP_TIMEOUT_S
from processes import ROOT

from wigeonport.yaml_documents import load_file

FLEET_FILE = ROOT / "examples" / "lagos" / "fleet.yaml"
RETRY_STATUSES = (503, 504)


def load_fleet_patch():
    """Returns the document of the first patch of the Lagos example."""
    return load_file(str(FLEET_FILE)).ok.value


class OperatorsClient:
    """Sends the requests of the operator ``demo`` to controls.

    Attributes:
        runner: FleetRunner.
    """

    __slots__ = ("runner",)

    def __init__(self, runner):
        self.runner = runner

    async def send(self, node_id, method, path, document=None):
        """Sends a request to a control; returns its HttpAnswer.

        Returns None if the control does not answer.
        """
        deployment = self.runner.deployment
        port = deployment.nodes[node_id].ports["operators_port"]
        body = b"" if document is None else json.dumps(document).encode()
        headers = [
            ("authorization", f"Bearer {deployment.token}"),
            ("content-length", str(len(body))),
        ]
        return await self.runner.request(method, port, path, headers, body)

    async def submit(
        self, node_id, patch_id, against_version, reason, operations
    ):
        """Submits a patch to a control; returns its HttpAnswer, or None."""
        document = {
            "id": patch_id,
            "against_version": against_version,
            "reason": reason,
            "operations": operations,
        }
        return await self.send(node_id, "POST", "/v1/patches", document)

    async def status(self, node_id):
        """Returns the status document of a control, or None."""
        answer = await self.send(node_id, "GET", "/v1/status")
        if answer is None or answer.status != 200:
            return None
        return answer.document


__all__ = ["HTTP_TIMEOUT_S", "OperatorsClient", "load_fleet_patch"]
