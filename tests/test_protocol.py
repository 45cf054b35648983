"""The parsers on input that is split at every byte, random or invalid, and the encoders."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from simulated_server import call, frame

from sablewheel.protocol import interpreter, naming, resp

CALLS = call(7, b"9b1f03aa5c7e2d41", b"lookup", 1764576000.123, b"a\r\n$1\r\n") + frame(b"RPC.CANCEL", b"7")
NOTICES = (
    b"BANNER booting 1500\r\nVALUE 1 ab success 12.5 7\r\na\r\nbTOP\r\nTRACE 2 what ever it says\r\n"
    b"TOPS 3 0.25 4 - 17\r\nVALUE 3 cd failure 8 0\r\n\r\nERROR APPLY ef\r\nAWAIT 4 ab 9\r\nVALUE\r\n 5\r\n"
)
NAME = b"9b1f03aa5c7e2d41"
Feed = Callable[[bytes], list[object]]


def feeds() -> list[tuple[Callable[[], Feed], bytes]]:
    return [(lambda: resp.Parser().feed, CALLS), (lambda: interpreter.Parser().feed, NOTICES)]  # type: ignore[list-item, return-value]


@pytest.mark.parametrize("index", [0, 1])
def test_frames_are_the_same_however_they_are_split(index: int) -> None:
    make_feed, data = feeds()[index]
    expected = make_feed()(data)
    for cut in range(len(data) + 1):
        feed = make_feed()
        assert feed(data[:cut]) + feed(data[cut:]) == expected
    feed = make_feed()
    assert [
        message for position in range(len(data)) for message in feed(data[position : position + 1])
    ] == expected


@pytest.mark.parametrize("index", [0, 1])
@settings(max_examples=300, derandomize=True, database=None, deadline=None)
@given(
    st.lists(
        st.sampled_from([b"*2\r\n", b"$1\r\n", b"7", b"\r\n", b"VALUE 1 a success 1 2", b" ", b"\0", b"-1"])
    ),
    st.binary(max_size=60),
)
def test_random_input_is_rejected_or_incomplete(index: int, pieces: list[bytes], tail: bytes) -> None:
    make_feed, _ = feeds()[index]
    with contextlib.suppress(resp.ProtocolError, interpreter.ProtocolError):
        make_feed()(b"".join(pieces) + tail)


@pytest.mark.parametrize(
    "data",
    [
        b"PING\r\n",
        b"*0\r\n",
        b"*17\r\n",
        b"*-1\r\n",
        b"*2\r\n+OK\r\n",
        b"*1\r\n$65537\r\n",
        b"*1\r\n$" + b"1" * 30,
        b"*1\r\n$2\r\nabc\r\n",
        b"*x\r\n",
    ],
)
def test_input_that_is_no_array_of_bulk_strings_is_an_error(data: bytes) -> None:
    with pytest.raises(resp.ProtocolError):
        resp.Parser().feed(data)


@pytest.mark.parametrize(
    "data",
    [
        b"HELLO\r\n",
        b"VALUE x a success 1 0\r\n",
        b"VALUE 1 a done 1 0\r\n\r\n",
        b"VALUE 1 a success nan 0\r\n\r\n",
        b"VALUE 1 a success 1 9999999\r\n",
        b"VALUE 1 a success 1 1\r\nabc",
        b"AWAIT x a 0\r\n\r\n",
        b"AWAIT 1 a 1\r\nabc",
        b"AWAIT 1 a 9999999\r\n",
        b"BANNER up 1\r\n",
        b"x" * 5000,
    ],
)
def test_input_that_is_no_notice_is_an_error(data: bytes) -> None:
    with pytest.raises(interpreter.ProtocolError):
        interpreter.Parser().feed(data)


@settings(max_examples=200, derandomize=True, database=None, deadline=None)
@given(
    st.lists(st.lists(st.integers(0, 400), min_size=1, max_size=16), min_size=1, max_size=4),
    st.integers(1, 300),
    st.integers(1, 700),
)
def test_a_frame_over_the_limit_is_parsed_without_its_words_beyond_it(
    sizes: list[list[int]], limit: int, read_size: int
) -> None:
    """Guards against a parser that keeps all of a message that can't be valid."""
    expected = [[bytes([index % 251]) * size for index, size in enumerate(words)] for words in sizes]
    data = b"".join(frame(*words) for words in expected)
    parser = resp.Parser(limit)
    frames: list[list[bytes]] = []
    for position in range(0, len(data), read_size):
        frames += parser.feed(data[position : position + read_size])
        assert parser.kept_bytes <= limit + len(b"$65536\r\n") + len(b"\r\n")
    assert not parser.partial and parser.kept_bytes == 0
    for words, original in zip(frames, expected, strict=True):
        kept = [None if isinstance(word, resp.SkippedWord) else word for word in words]
        sum_bytes = 0
        for word, original_word in zip(kept, original, strict=True):
            fits = sum_bytes + len(original_word) <= limit
            assert word == (original_word if fits else None)
            sum_bytes += len(original_word) * fits


def test_a_message_over_the_limit_is_invalid_and_a_valid_one_never_exceeds_it() -> None:
    limit = resp.max_message_bytes([b"lookup", b"record"], [b"a" * 5000])
    body = b"x" * resp.MAX_BODY_BYTES
    fields = (
        b"ref=%b,since=%b,sender=%b,room=%b,class_rank=%b,replay=%b,lookup=%b,allow=%b,dup=%b,effort=%b"
        % (
            NAME,
            b"1" * 16,
            b"1" * 19,
            b"1" + b"." + b"1" * 9,
            b"0." + b"1" * 19,
            NAME * 2,
            b"x" * 64,
            b"1" * 9,
            b"1" * 9,
            b"1" * 9 + b"." + b"1" * 9,
        )
    )
    largest = frame(b"RPC.CALL", b"9" * 19, b"record", fields + b",project=" + b"a" * 5000, body)
    assert isinstance(resp.parse_message(resp.Parser(limit).feed(largest)[0]), resp.RequestMessage)
    too_large = frame(b"RPC.CALL", b"9", b"record", fields, b"x" * 65_536)
    with pytest.raises(resp.InvalidMessageError) as caught:
        resp.parse_message(resp.Parser(limit).feed(too_large)[0])
    assert caught.value.tag == 9


def test_the_fields_of_a_call_that_decisions_depend_on_are_parsed() -> None:
    words = frame(
        b"RPC.CALL",
        b"9",
        b"record",
        b"ref=%b,since=1764576000123,sender=4,project=acme,room=24.5"
        b",class_rank=0.6250,replay=%b,novel=x" % (NAME, NAME * 2),
        b"\0body",
    )
    message = resp.parse_message(resp.Parser().feed(words)[0])
    assert message == resp.RequestMessage(
        9, NAME, b"record", b"4", b"acme", 1764576000.123, 24.5, NAME * 2, None, b"\0body"
    )


INVALID_VALUES = {
    b"ref": [b"", b"0a", b"0 a", b"g" * 16, b"0" * 17],
    b"since": [b"", b"x", b"-1", b"+1", b" 1", b"1_0", b"1e3", b"1.5", b"9" * 30, "\u0661".encode()],
    b"sender": [b"", b"-4", b"four", b"4" * 30],
    b"room": [b"", b"nan", b"inf", b"0", b"0.0", b"-1", b"2000", b"1e3", b"1_0", b" 1", b"9" * 12, b"+3"],
    b"class_rank": [b"1", b"-0.5", b"nan", b"2.5"],
    b"replay": [b"", b"5c0f", b"z" * 32],
    b"lookup": [b"", b"a b", b"x" * 65],
}


@pytest.mark.parametrize("name", INVALID_VALUES)
def test_an_invalid_field_is_reported_with_the_tag_if_that_is_valid(name: bytes) -> None:
    valid = {b"ref": NAME, b"since": b"1764576000123", b"sender": b"4", b"room": b"1"}
    for fields in [valid | {name: value} for value in INVALID_VALUES[name]] + [{**valid, b"": b""}]:
        words = [b"RPC.CALL", b"9", b"lookup", b",".join(b"%b=%b" % pair for pair in fields.items()), b""]
        for tag in (9, 0):
            words[1] = b"9" if tag else b"nine"
            with pytest.raises(resp.InvalidMessageError) as caught:
                if fields.get(b"") is not None:
                    words[3] = words[3].replace(name + b"=", b"novel=") if name in valid else b"ref"
                resp.parse_message(words)
            assert caught.value.tag == tag


def test_answers_and_commands_are_encoded_as_specified() -> None:
    assert resp.encode_completed(7, 12.5, b"r") == frame(b"7", b"OK", b"pressure=12.5", b"r")
    assert resp.encode_rejected(8, None, 0.2504, True) == frame(b"8", b"BUSY", b"cooldown=250,nowhere=1", b"")
    assert resp.encode_rejected(8, 0.0, 0.0, False) == frame(b"8", b"BUSY", b"pressure=0", b"")
    assert resp.encode_failed(9, 3.0) == frame(b"9", b"FAILED", b"pressure=3", b"")
    assert resp.encode_health(1, None, False) == frame(b"1", b"DOWN", b"", b"")
    assert resp.encode_close_notice() == frame(b"0", b"BYE")
    assert interpreter.encode_start_run(b"0a", b"record", b"b\r\n") == b"APPLY 0a record 3\r\nb\r\n\r\n"
    assert (
        interpreter.encode_connect(4) + interpreter.encode_cancel_run(b"0a") == b"CONNECT 4\r\nBREAK 0a\r\n"
    )
    assert naming.encode_report("n3", True) == b"renew n3 yes"
