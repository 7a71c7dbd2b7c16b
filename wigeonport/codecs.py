"""Codecs between typed messages and bytes.

A message is a plain class with slots that is registered in ``message_kinds``
under its class name. Its thrift struct is defined in one of the package's
``.thrift`` files and has the same name and the same field names.
"""

import io

from expression import Error, Ok, Result
from thriftpy2.protocol.cybin import TCyBinaryProtocol
from thriftpy2.thrift import TMessageType, TType
from thriftpy2.transport import TCyBufferedTransport, TCyMemoryBuffer

from wigeonport.registries import Registry
from wigeonport.struct_layouts import load_layouts

codecs = Registry("codec")
message_kinds = Registry("message kind")

PYTHON_TYPES = {
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
        text: The reason, as a short text.
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
    kind, so that stored bytes can be decoded without further information.

    Attributes:
        layouts: Maps struct name to its layout, for all ``.thrift`` files.
        bound_classes: Message classes that already have a thrift layout.
    """

    __slots__ = ("layouts", "bound_classes")

    def __init__(self):
        self.layouts = load_layouts()
        self.bound_classes = set()

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
        except Exception as error:  # thriftpy2 raises many types on bad bytes
            return Error(DecodeError(f"{type(error).__name__}: {error}"))

    def decode_checked(self, data) -> Result:
        """Decodes a message and checks its fields.

        Raises:
            Exception: Whatever thriftpy2 raises on malformed bytes.
        """
        transport = TCyBufferedTransport(ByteReader(data))
        protocol = TCyBinaryProtocol(transport)
        kind, _, _ = protocol.read_message_begin()
        # A Result for each lookup took a fifth of the time to decode.
        message_class = message_kinds.entries.get(kind)
        if message_class is None:
            return Error(DecodeError(message_kinds.get(kind).error))
        self.bind(message_class)
        message = make_blank(message_class)
        protocol.read_struct(message)
        if has_remaining_bytes(transport):
            return Error(
                DecodeError(f"{kind}: unexpected bytes after the message")
            )
        fault = find_message_fault(message)
        if fault:
            return Error(DecodeError(f"{kind}: {fault}"))
        return Ok(message)

    def bind(self, message_class):
        """Attaches the thrift layout to a class and to the classes it nests.

        Raises:
            KeyError: If no thrift struct has the name of the class.
            TypeError: If the slots of the class and the fields differ.
        """
        if message_class in self.bound_classes:
            return
        name = message_class.__name__
        layout = self.layouts[name]
        self.bound_classes.add(message_class)
        message_class.thrift_spec = {
            number: self.bind_field(field) for number, field in layout.items()
        }
        field_names = {field[1] for field in layout.values()}
        if field_names != set(message_class.__slots__):
            raise TypeError(
                f"{name}: class slots and thrift struct fields differ"
            )

    def bind_field(self, field):
        """Returns a field specification that refers to message classes."""
        kind, name, *nested, required = field
        if not nested:
            return field
        return (kind, name, self.bind_nested(kind, nested[0]), required)

    def bind_nested(self, kind, spec):
        """Replaces the names of structs inside a type specification."""
        if kind == TType.STRUCT:
            return self.make_factory(spec)
        if kind in (TType.LIST, TType.SET):
            if isinstance(spec, tuple):
                return (spec[0], self.bind_nested(spec[0], spec[1]))
            return spec
        return spec

    def make_factory(self, name):
        """Returns the factory that stands for a nested struct."""
        message_class = message_kinds.get(name).ok
        self.bind(message_class)
        return BlankMessageFactory(message_class)


class ByteReader:
    """Supplies bytes to the thrift reader and raises at their end.

    Reading past the end of thriftpy2's own memory buffer returns
    uninitialized memory.

    Attributes:
        stream: Stream over the bytes.
    """

    __slots__ = ("stream",)

    def __init__(self, data):
        self.stream = io.BytesIO(data)

    def read(self, size):
        """Returns up to ``size`` bytes.

        Raises:
            EOFError: If no bytes remain.
        """
        data = self.stream.read(size)
        if not data:
            raise EOFError("message is truncated")
        return data


def has_remaining_bytes(transport):
    """Returns whether unread bytes remain."""
    try:
        return bool(transport.read(1))
    except EOFError:
        return False


class BlankMessageFactory:
    """Creates empty messages for the thrift reader to fill.

    Attributes:
        message_class: Class of the messages.
        thrift_spec: Thrift layout of the class; the reader and the writer
            look it up here.
    """

    __slots__ = ("message_class", "thrift_spec")

    def __init__(self, message_class):
        self.message_class = message_class
        self.thrift_spec = message_class.thrift_spec

    def __call__(self):
        """Returns a message with all fields None."""
        return make_blank(self.message_class)


def make_blank(message_class):
    """Returns a message with all fields None."""
    message = object.__new__(message_class)
    for name in message_class.__slots__:
        setattr(message, name, None)
    return message


def find_message_fault(message):
    """Returns why a decoded message is invalid, or None if it is valid."""
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
    """Returns why a value lacks its declared type, or None if it has it."""
    expected = PYTHON_TYPES.get(kind)
    if expected is not None:
        return None if isinstance(value, expected) else "has the wrong type"
    if kind == TType.STRUCT:
        return find_message_fault(value)
    if kind == TType.LIST:
        item_kind, item_nested = (
            nested if isinstance(nested, tuple) else (nested, None)
        )
        faults = (
            find_value_fault(item_kind, item, item_nested) for item in value
        )
        return next((fault for fault in faults if fault), None)
    return None
