"""Codecs between typed messages and bytes.

A message is a plain slotted class registered in ``message_kinds`` under its
class name. Its thrift struct has the same name and the same field names and
stands in one of the package's ``.thrift`` files.
"""

import functools
import io
import pathlib

import thriftpy2
from expression import Error, Ok, Result
from thriftpy2.protocol.cybin import TCyBinaryProtocol
from thriftpy2.thrift import TMessageType, TType
from thriftpy2.transport import TCyBufferedTransport, TCyMemoryBuffer

from wigeonport.registries import Registry

codecs = Registry("codec")
message_kinds = Registry("message kind")

PACKAGE_DIR = pathlib.Path(__file__).parent
PLAIN_TYPES = {
    TType.BOOL: bool,
    TType.BYTE: int,
    TType.I16: int,
    TType.I32: int,
    TType.I64: int,
    TType.DOUBLE: float,
    TType.STRING: str,
    TType.BINARY: bytes,
}


class DecodeError:
    """Why bytes could not be decoded.

    Attributes:
        text: A short sentence.
    """

    __slots__ = ("text",)

    def __init__(self, text):
        self.text = text

    def __str__(self):
        return self.text


@codecs.register("thrift")
class ThriftCodec:
    """Encodes messages in the thrift binary protocol.

    Each encoded message starts with a thrift message header that names its
    kind, so that stored bytes describe themselves.

    Attributes:
        structs: Thrift structs of all ``.thrift`` files by name.
        bound: Classes whose thrift layout was attached already.
    """

    __slots__ = ("structs", "bound")

    def __init__(self):
        self.structs = load_structs()
        self.bound = set()

    def encode(self, message):
        """Returns the bytes of a registered message."""
        kind = type(message).__name__
        self.bind(type(message))
        buffer = TCyMemoryBuffer()
        protocol = TCyBinaryProtocol(buffer)
        protocol.write_message_begin(kind, TMessageType.ONEWAY, 0)
        protocol.write_struct(message)
        protocol.write_message_end()
        return buffer.getvalue()

    def decode(self, data) -> Result:
        """Returns the message, or a DecodeError for malformed bytes."""
        try:
            return self.decode_checked(data)
        except Exception as error:  # the codec raises many types on bad bytes
            return Error(DecodeError(f"{type(error).__name__}: {error}"))

    def decode_checked(self, data) -> Result:
        """Decodes; raises whatever the library raises on bad bytes."""
        transport = TCyBufferedTransport(ByteSource(data))
        protocol = TCyBinaryProtocol(transport)
        kind, _, _ = protocol.read_message_begin()
        found = message_kinds.get(kind)
        if found.is_error():
            return Error(DecodeError(found.error))
        message_class = found.ok
        self.bind(message_class)
        message = blank(message_class)
        protocol.read_struct(message)
        if has_more(transport):
            return Error(DecodeError(f"bytes follow the {kind}"))
        fault = find_fault(message)
        if fault:
            return Error(DecodeError(f"{kind}: {fault}"))
        return Ok(message)

    def bind(self, message_class):
        """Attaches the thrift layout to a class and to those it nests."""
        if message_class in self.bound:
            return
        name = message_class.__name__
        struct = self.structs[name]
        self.bound.add(message_class)
        message_class.thrift_spec = {
            number: self.bind_field(field)
            for number, field in struct.thrift_spec.items()
        }
        declared = {field[1] for field in struct.thrift_spec.values()}
        if declared != set(message_class.__slots__):
            raise TypeError(f"{name}: slots and thrift fields differ")

    def bind_field(self, field):
        """Returns a field description that refers to our classes."""
        kind, name, *nested, required = field
        if not nested:
            return field
        return (kind, name, self.bind_nested(kind, nested[0]), required)

    def bind_nested(self, kind, spec):
        """Replaces thrift struct classes inside a type description."""
        if kind == TType.STRUCT:
            return self.factory(spec)
        if kind in (TType.LIST, TType.SET):
            if isinstance(spec, tuple):
                return (spec[0], self.bind_nested(spec[0], spec[1]))
            return spec
        return spec

    def factory(self, struct):
        """Returns a maker of blank messages that carries the layout."""
        message_class = message_kinds.get(struct.__name__).ok
        self.bind(message_class)
        return BlankFactory(message_class)


class ByteSource:
    """Feeds bytes to the thrift reader and raises at their end.

    The library's own memory buffer returns uninitialized memory when it is
    read past its end.

    Attributes:
        stream: The remaining bytes.
    """

    __slots__ = ("stream",)

    def __init__(self, data):
        self.stream = io.BytesIO(data)

    def read(self, size):
        """Returns up to ``size`` bytes.

        Raises:
            EOFError: If no byte is left.
        """
        data = self.stream.read(size)
        if not data:
            raise EOFError("message is truncated")
        return data


def has_more(transport):
    """Returns whether bytes are left."""
    try:
        return bool(transport.read(1))
    except EOFError:
        return False


class BlankFactory:
    """Makes blank messages for the thrift reader.

    Attributes:
        message_class: Class of the messages.
        thrift_spec: Layout that the reader and the writer look up.
    """

    __slots__ = ("message_class", "thrift_spec")

    def __init__(self, message_class):
        self.message_class = message_class
        self.thrift_spec = message_class.thrift_spec

    def __call__(self):
        """Returns a message with all fields None."""
        return blank(self.message_class)


@functools.cache
def load_structs():
    """Returns the structs of all ``.thrift`` files by name.

    The files are parsed as one, because the library builds its parser anew,
    in about 30 ms, for each call.
    """
    paths = sorted(PACKAGE_DIR.glob("*.thrift"))
    text = "\n".join(path.read_text() for path in paths)
    module = thriftpy2.load_fp(io.StringIO(text), "wigeonport_thrift")
    structs = {}
    for struct in module.__thrift_meta__["structs"]:
        if struct.__name__ in structs:
            raise TypeError(f"struct {struct.__name__} stands twice")
        structs[struct.__name__] = struct
    return structs


def blank(message_class):
    """Returns a message with all fields None."""
    message = object.__new__(message_class)
    for name in message_class.__slots__:
        setattr(message, name, None)
    return message


def find_fault(message):
    """Returns why a decoded message is unusable, or None."""
    for kind, name, *nested, required in message.thrift_spec.values():
        value = getattr(message, name)
        if value is None:
            if required:
                return f"field {name} is missing"
            continue
        fault = find_value_fault(kind, value, nested[0] if nested else None)
        if fault:
            return f"field {name} {fault}"
    return None


def find_value_fault(kind, value, nested):
    """Returns why a value does not have its declared type, or None."""
    expected = PLAIN_TYPES.get(kind)
    if expected is not None:
        return None if isinstance(value, expected) else "has a wrong type"
    if kind == TType.STRUCT:
        return find_fault(value)
    if kind == TType.LIST:
        item_kind, item_nested = (
            nested if isinstance(nested, tuple) else (nested, None)
        )
        faults = (
            find_value_fault(item_kind, item, item_nested) for item in value
        )
        return next((fault for fault in faults if fault), None)
    return None
