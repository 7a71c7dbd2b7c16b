"""Findings: the faults that a check reports, with their locations."""

from expression import Error, Ok, Result


class Finding:
    """One fault in an input.

    Attributes:
        location: File, line and key path, where they exist; for example
            ``file.yaml:12: entry.port``.
        text: Description of the fault, in a few words.
    """

    __slots__ = ("location", "text")

    def __init__(self, location, text):
        self.location = location
        self.text = text

    def __str__(self):
        return f"{self.location}: {self.text}"


class Findings:
    """Collects findings, so that a check reports all faults at once.

    Attributes:
        items: List of Finding.
    """

    __slots__ = ("items",)

    def __init__(self):
        self.items = []

    def add(self, location, text):
        """Adds a finding at a location."""
        self.items.append(Finding(location, text))

    def extend(self, other):
        """Adds the findings of another collection."""
        self.items.extend(other.items)

    def result(self, value) -> Result:
        """Returns Ok of the value, or Error of these findings if any."""
        return Error(self) if self.items else Ok(value)

    def lines(self):
        """Returns the findings as a list of texts."""
        return [str(item) for item in self.items]

    def __bool__(self):
        return bool(self.items)

    def __str__(self):
        return "\n".join(self.lines())
