"""Reads the keys of the links and the tokens of the operators."""

import hashlib
import hmac
import pathlib

from expression import Error, Result

from wigeonport.findings import Findings
from wigeonport.settings import key_id

MAX_FILE_BYTES = 65_536
MIN_SECRET_BYTES = 16


class OperatorTokens:
    """The operators' tokens, of which only the digests are kept.

    Attributes:
        names: Maps SHA-256 digest of the token to operator's name.
    """

    __slots__ = ("names",)

    def __init__(self, names):
        self.names = names

    def find(self, token):
        """Returns the operator's name, or None for an unknown token.

        All digests are compared in constant time, so that the duration says
        nothing about them.
        """
        digest = hashlib.sha256(token.encode("utf-8", "replace")).digest()
        operator = None
        for stored_digest, name in self.names.items():
            if hmac.compare_digest(stored_digest, digest):
                operator = name
        return operator


def load_keys(paths) -> Result:
    """Reads key files.

    Returns:
        A dict of key id to key in the order of the files, or Findings.
    """
    findings = Findings()
    keys = {}
    for path in paths:
        data = _read(path, findings)
        if data is not None and len(data.strip()) < MIN_SECRET_BYTES:
            text = f"the key is shorter than {MIN_SECRET_BYTES} bytes"
            findings.add(path, text)
        elif data is not None:
            keys[key_id(path)] = data.strip()
    return findings.result(keys)


def load_tokens(path) -> Result:
    """Reads a token file; returns OperatorTokens or Findings."""
    findings = Findings()
    data = _read(path, findings)
    if data is None:
        return Error(findings)
    names = {}
    text = data.decode("utf-8", "replace")
    for number, line in enumerate(text.splitlines(), start=1):
        words = line.split()
        if not words or line.startswith("#"):
            continue
        if len(words) != 2 or len(words[1].encode()) < MIN_SECRET_BYTES:
            findings.add(
                f"{path}:{number}",
                "expected a name and a token of at least "
                f"{MIN_SECRET_BYTES} bytes",
            )
            continue
        names[hashlib.sha256(words[1].encode()).digest()] = words[0]
    if not names and not findings:
        findings.add(path, "the file contains no tokens")
    return findings.result(OperatorTokens(names))


def _read(path, findings):
    try:
        with pathlib.Path(path).open("rb") as source:
            data = source.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        findings.add(path, f"cannot be read: {reason}")
        return None
    if len(data) > MAX_FILE_BYTES:
        findings.add(path, f"is larger than {MAX_FILE_BYTES} bytes")
        return None
    return data
