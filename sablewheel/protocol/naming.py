"""Reports to the name service: one datagram of three words."""


def report(name: str, serving: bool) -> bytes:
    return f"renew {name} {'yes' if serving else 'no'}".encode("utf-8", "replace")
