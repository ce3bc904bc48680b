"""The three methods of the service, as one connection's messages call them."""

from ..parsers import thrift
from ..parsers.thrift import Malformed
from . import calls

MOST_OPEN = 32  # calls on one connection, as the protocol has it
MOST_UNREAD = 1 / 8  # of the room, of one client
NACKED_UNREAD = MOST_UNREAD / 2  # its further calls are nacked: it would have to read their answers too


def act(connection, message):
    kind, method = METHODS.get(message.name, (thrift.CALL, None))
    if message.kind != kind:
        raise Malformed(f"a message of kind {message.kind}")
    if method is None:
        refuse(connection, message, thrift.UNKNOWN_METHOD, "unknown method")
        return
    try:
        arguments = message.arguments()
    except Malformed as wrong:
        refuse(connection, message, thrift.PROTOCOL_ERROR, str(wrong))
        return
    method(connection, message, arguments)


def refuse(connection, message, code, text):
    unusable(connection, text)
    connection.write(thrift.application_exception(message.name, message.seqid, code, text))


def unusable(connection, text):
    connection.front.log("client made a call that cannot be used", text)
    connection.front.count("calls_malformed")


def execute(connection, message, arguments):
    if len(connection.open) >= MOST_OPEN:
        raise Malformed(f"more than {MOST_OPEN} calls open")
    try:
        asked = calls.read_asked(arguments)
    except Malformed as wrong:
        unusable(connection, str(wrong))
        connection.write(calls.failed(message.name, message.seqid, str(wrong)))
        return
    front = connection.front
    if (asked.body and front.room.full()) or connection.unread > front.room.size * NACKED_UNREAD:
        front.log("bodies of calls or unread answers fill their room, nacked")
        front.count("calls_without_room")
        connection.write(calls.nacked(message.name, message.seqid, 0))
        return
    if not connection.open:
        front.idle.pop(connection, None)
    connection.open[message.seqid] = message.name, len(asked.body)
    front.room.take(len(asked.body))
    front.desk.taken((connection.number, message.seqid), asked)


def interrupt(connection, message, arguments):
    seqid = arguments.get(1)
    if isinstance(seqid, int) and connection.close_call(seqid) is not None:
        connection.front.desk.left((connection.number, seqid))


def check(connection, message, arguments):
    connection.write(calls.checked(message.name, message.seqid, connection.front.desk.ready()))


METHODS = {
    b"execute": (thrift.CALL, execute),
    b"check": (thrift.CALL, check),
    b"interrupt": (thrift.ONEWAY, interrupt),
}
