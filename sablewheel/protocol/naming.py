"""Reports to the name service: one datagram of three words."""


def encode_report(server_name: str, serving: bool) -> bytes:
    """Encode the report that keeps a server listed."""
    return f"renew {server_name} {'yes' if serving else 'no'}".encode("utf-8", "replace")
