"""Messages of the simulator that cannot be read: an error names the cause, or the adapter ends."""

import io
import json

from hookrouter.adapter.host import serve


def exchange(*batches):
    out, errors = io.BytesIO(), io.StringIO()
    lines = [
        batch_or_bytes if isinstance(batch_or_bytes, bytes) else json.dumps(batch_or_bytes).encode()
        for batch_or_bytes in batches
    ]
    code = serve([line + b"\n" for line in lines], out, errors)
    return code, [json.loads(line) for line in out.getvalue().splitlines()], errors.getvalue()


def batch(turn, *inbox):
    return {"t": 1000.5, "turn": turn, "groups": [{"router": 3, "inbox": list(inbox)}]}


def test_an_empty_batch_is_echoed_and_the_end_of_input_ends_cleanly():
    assert exchange({"t": 1.5, "turn": 7, "groups": []}) == (0, [{"turn": 7, "groups": []}], "")


def test_a_line_that_is_no_batch_ends_with_one_plain_message():
    for line in (
        b"{",
        b"[]",
        b'{"t":"x","turn":1,"groups":[]}',
        b'{"t":' + b"9" * 400 + b',"turn":1,"groups":[]}',
        b'{"t":NaN,"turn":1,"groups":[]}',
    ):
        code, replies, log = exchange(line)
        assert (
            code == 2
            and replies == []
            and log.startswith("hookrouter: malformed batch")
            and log.count("\n") == 1
        )


def test_an_unreadable_message_affects_only_its_router():
    for event, reason in (
        (["no such"], "unknown event"),
        (["peersKnown", "replace", 4, 1], "list 4"),
        (["reminder", "x"], "reminder.label"),
        (["configure", 1, {"extra": {}}], "limits"),
        (["hangup", 5], "not configured"),
        (["defineList", 0, [[1, "a"]]], "records"),
        (["result", 1, "SPLENDID", 0, 0], "SPLENDID"),
        ("reminder", "inbox"),
        ([], "unknown event"),
    ):
        code, replies, log = exchange(batch(1, event), batch(2))
        assert code == 0 and replies[0]["groups"][0]["cmds"][0][0] == "bug" and replies[1]["groups"] == []
        assert reason in replies[0]["groups"][0]["cmds"][0][1] and "Traceback" not in log
