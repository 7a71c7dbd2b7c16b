"""Findings of checks, collected with their place."""

from expression import Error, Ok, Result


class Finding:
    """One fault and where it stands.

    Attributes:
        location: For example ``file.yaml:12: entry.port``.
        text: What is wrong, as a short sentence.
    """

    __slots__ = ("location", "text")

    def __init__(self, location, text):
        self.location = location
        self.text = text

    def __str__(self):
        return f"{self.location}: {self.text}"


class Findings:
    """Collects findings, so that one run reports all of them."""

    __slots__ = ("items",)

    def __init__(self):
        self.items = []

    def add(self, location, text):
        """Adds a finding."""
        self.items.append(Finding(location, text))

    def extend(self, other):
        """Adds the findings of another collection."""
        self.items.extend(other.items)

    def result(self, value) -> Result:
        """Returns the value, or these findings if there are any."""
        return Error(self) if self.items else Ok(value)

    def lines(self):
        """Returns one text for each finding."""
        return [str(item) for item in self.items]

    def __bool__(self):
        return bool(self.items)

    def __str__(self):
        return "\n".join(self.lines())
