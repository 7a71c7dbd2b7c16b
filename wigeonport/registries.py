"""Registries: named functions and classes, added by decorators."""

from expression import Error, Ok, Result


class DuplicateNameError(Exception):
    """A name was registered twice in one registry."""


class Registry:
    """Maps names to the functions or classes registered under them.

    Attributes:
        kind: Noun for one entry, used in error messages.
        entries: Maps name to registered object.
    """

    __slots__ = ("kind", "entries")

    def __init__(self, kind):
        self.kind = kind
        self.entries = {}

    def register(self, name):
        """Returns a decorator that registers its target as ``name``.

        Raises:
            DuplicateNameError: If the name is registered already.
        """

        def decorate(target):
            if name in self.entries:
                raise DuplicateNameError(
                    f"{self.kind} {name!r} is registered already"
                )
            self.entries[name] = target
            return target

        return decorate

    def get(self, name) -> Result:
        """Returns the entry, or an error text that lists the valid names."""
        try:
            return Ok(self.entries[name])
        except KeyError:
            pass
        except TypeError:
            # Names come from decoded messages too, where one may be a list.
            return Error(f"no {self.kind} has a {type(name).__name__} as name")
        registered = ", ".join(map(str, self.names()))
        return Error(f"no {self.kind} {name!r}; known: {registered}")

    def names(self):
        """Returns the registered names in alphabetical order."""
        return sorted(self.entries, key=str)
