"""The journal's tables, and the digests that chain its lines and seals."""

from __future__ import annotations

import hashlib
import json
from typing import Any

FORMAT_VERSION = 1
ENTRY, TOTAL, CORRECTION = 0, 1, 2
KINDS = ("entry", "total", "correction")
SCHEMA = """
create table meta(key text primary key, value text not null) without rowid;
create table sources(id integer primary key, server text not null, incarnation blob not null,
  number integer not null, digest blob not null, last_sequence integer not null,
  first_seen_us integer not null, last_seen_us integer not null, skew_us integer not null,
  answered integer not null default 0, unique(server, incarnation));
create table blocks(id integer primary key, source integer not null, number integer not null,
  digest blob not null, first_sequence integer not null, last_sequence integer not null,
  size integer not null, written_us integer not null, received_us integer not null, unique(source, number));
create index block_sequences on blocks(source, first_sequence);
create table periods(id integer primary key, name text not null unique, start_us integer not null,
  end_us integer not null, lines integer not null, head blob not null, closed_us integer, seal blob, sealed
  integer); create table lines(period integer not null, place integer not null, digest blob not null, kind
  integer not null, block integer not null, sequence integer not null, belongs text, customer text not null,
  track text not null, outcome integer not null, goal_kept integer not null, beyond integer not null, billed
  integer not null, entries integer not null, run_us integer not null, asked_bytes integer not null,
  answer_bytes integer not null, ended_us integer not null, name blob, run blob, more text, primary
  key(period, place)) without rowid; create index line_blocks on lines(block, sequence);
create index corrections on lines(kind) where kind = 2;
create table holes(source integer not null, after_number integer not null, through_number integer not null,
  reason text not null, told_us integer not null);
create table unsure(source integer not null, after_sequence integer not null, through_sequence integer not
null, block integer not null);
"""
LINE = (
    "kind, block, sequence, belongs, customer, track, outcome, goal_kept, beyond, billed, entries, run_us,"
    " asked_bytes, answer_bytes, ended_us, name, run, more"
)
LINE_SLOTS = ", ".join("?" * 21)
Line = tuple[Any, ...]  # the values of the columns in `LINE`


def line_digest(previous_digest: bytes, line: Line) -> bytes:
    """Return the digest of a line, chained to the previous one; bytes are digested as hexadecimal text."""
    text = json.dumps(
        [value.hex() if isinstance(value, bytes) else value for value in line], separators=(",", ":")
    )
    return hashlib.sha256(previous_digest + text.encode()).digest()


def seal_digest(previous_seal: bytes, name: str, lines: int, head: bytes) -> bytes:
    """Return the seal of a period, chained to the previous seal."""
    return hashlib.sha256(previous_seal + f"{name}\n{lines}\n".encode() + head).digest()
