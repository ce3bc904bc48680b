"""The methods of the service: execute and check, which get a reply, and interrupt, which withdraws a call."""

from ..parsers import thrift
from ..parsers.thrift import Malformed
from . import calls
from .intake import EXECUTE


def dispatch(connection, message):
    """Calls the method of a call."""
    method = METHODS.get(message.name)
    if method is None:
        refuse(connection, message, thrift.UNKNOWN_METHOD, "unknown method")
        return
    if message.seqid in connection.intake.excess:
        nack(connection, message, "client has too many calls open, nacked", "calls_beyond_bound")
        return
    if message.name == EXECUTE and connection.front.shares.is_behind(connection):
        nack(connection, message, "more calls than there is time for, nacked", "calls_without_time")
        return
    try:
        arguments = message.arguments()
    except Malformed as error:
        refuse(connection, message, thrift.PROTOCOL_ERROR, str(error))
        return
    method(connection, message, arguments)


def refuse(connection, message, code, text):
    """Replies with a Thrift application exception."""
    note_malformed(connection, text)
    connection.write(thrift.application_exception(message.name, message.seqid, code, text))


def nack(connection, message, event, counter, **values):
    """Rejects a call, whatever its arguments are; event, counter and values: why, for the log."""
    connection.front.log(event, peer=connection.peer, **values)
    connection.front.count(counter)
    connection.write(calls.nacked(message.name, message.seqid, 0))


def note_malformed(connection, text):
    """Logs and counts a malformed call."""
    connection.front.log("client made a call that cannot be used", text, peer=connection.peer)
    connection.front.count("calls_malformed")


def execute(connection, message, arguments):
    """Starts a lookup, or replies at once if it is malformed or memory is short."""
    try:
        request = calls.read_request(arguments)
    except Malformed as error:
        note_malformed(connection, str(error))
        connection.write(calls.failed(message.name, message.seqid, str(error)))
        return
    front = connection.front
    if (request.body and front.body_memory.full()) or connection.outbox.nacks_calls():
        event = "bodies of calls or unread answers fill their room, nacked"
        room = {"unread_bytes": connection.outbox.unread_bytes, "held_bytes": front.body_memory.used_bytes}
        nack(connection, message, event, "calls_without_room", id=request.trace, **room)
        return
    if front.shares.is_used(connection):
        event = "client has its share of the calls that may be open, nacked"
        nack(connection, message, event, "calls_beyond_share", id=request.trace)
        return
    if not connection.open_calls:
        front.watch.mark_busy(connection)
    connection.add_call(message, request)
    front.handler.on_lookup((connection.slot, message.seqid), request)


def withdraw(connection, seqid):
    """Cancels a call if it is open; it gets no reply."""
    if connection.close_call(seqid) is not None:
        connection.front.handler.on_client_gone((connection.slot, seqid))


def check(connection, message, arguments):
    """Replies whether lookups can be served."""
    connection.write(calls.check_reply(message.name, message.seqid, connection.front.handler.ready()))


METHODS = {EXECUTE: execute, b"check": check}
