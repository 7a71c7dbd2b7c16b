"""Base class of plain records with slots."""


class Record:
    """A plain record: compared, printed and converted by its slots."""

    __slots__ = ()

    def to_document(self):
        """Returns a dict of slot name to value."""
        return {name: getattr(self, name) for name in self.__slots__}

    def __eq__(self, other):
        if type(other) is not type(self):
            return NotImplemented
        return self.to_document() == other.to_document()

    __hash__ = None

    def __repr__(self):
        pairs = (f"{k}={v!r}" for k, v in self.to_document().items())
        return f"{type(self).__name__}({', '.join(pairs)})"
