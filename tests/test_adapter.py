"""The wire: what cannot be read is named, to the instance it concerns or by ending."""

import io
import json

from hookrouter.adapter.host import serve


def talk(*batches):
    out, errors = io.BytesIO(), io.StringIO()
    lines = [b if isinstance(b, bytes) else json.dumps(b).encode() for b in batches]
    code = serve([line + b"\n" for line in lines], out, errors)
    return code, [json.loads(line) for line in out.getvalue().splitlines()], errors.getvalue()


def batch(turn, *inbox):
    return {"t": 1000.5, "turn": turn, "groups": [{"router": 3, "inbox": list(inbox)}]}


def test_an_empty_batch_is_echoed_and_the_end_of_input_ends_cleanly():
    assert talk({"t": 1.5, "turn": 7, "groups": []}) == (0, [{"turn": 7, "groups": []}], "")


def test_a_line_that_is_no_batch_ends_with_one_plain_message():
    for line in (
        b"{",
        b"[]",
        b'{"t":"x","turn":1,"groups":[]}',
        b'{"t":' + b"9" * 400 + b',"turn":1,"groups":[]}',
        b'{"t":NaN,"turn":1,"groups":[]}',
    ):
        code, replies, said = talk(line)
        assert (
            code == 2
            and replies == []
            and said.startswith("hookrouter: malformed batch")
            and said.count("\n") == 1
        )


def test_what_one_instance_cannot_read_is_its_own_fault():
    for event, named in (
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
        code, replies, said = talk(batch(1, event), batch(2))
        assert code == 0 and replies[0]["groups"][0]["cmds"][0][0] == "bug" and replies[1]["groups"] == []
        assert named in replies[0]["groups"][0]["cmds"][0][1] and "Traceback" not in said
