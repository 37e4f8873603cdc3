"""Mutual TLS of the control port, from files that may be replaced while it runs."""

from __future__ import annotations

from pathlib import Path

import grpc

from fennelpoint.operator_config import Control
from fennelpoint.rate_limited_log import log, warn_limited
from fennelpoint.validation_errors import Fault, FaultyFile

FILES = ("tls_certificate", "tls_key", "tls_client_ca")
MARKS = {"tls_certificate": b"-----BEGIN CERTIFICATE-----", "tls_key": b"PRIVATE KEY-----",
         "tls_client_ca": b"-----BEGIN CERTIFICATE-----"}


def check(control: Control, operator_file: str) -> None:
    """All three files or none, each PEM; raises FaultyFile."""
    missing = [name for name in FILES if not getattr(control, name)]
    if 0 < len(missing) < len(FILES):
        raise FaultyFile([Fault(operator_file, 0, f"control.{name}", "it is missing: mutual TLS needs "
                                f"{', '.join(FILES)}") for name in missing])
    if not missing:
        read(control)


def read(control: Control) -> dict[str, bytes]:
    """The three files; raises FaultyFile for one that can't be read or is no PEM."""
    out, faults = {}, []
    for name in FILES:
        path = getattr(control, name)
        try:
            out[name] = Path(path).read_bytes()
        except OSError as error:
            faults.append(Fault(path, 0, "", f"it can't be read: {error.strerror}"))
            continue
        if MARKS[name] not in out[name]:
            faults.append(Fault(path, 1, "", f"it is no PEM file of a {name.removeprefix('tls_')}"))
    if faults:
        raise FaultyFile(faults)
    return out


def _configuration(files: dict[str, bytes]) -> grpc.ServerCertificateConfiguration:
    return grpc.ssl_server_certificate_configuration(
        [(files["tls_key"], files["tls_certificate"])], files["tls_client_ca"])


def credentials(control: Control) -> grpc.ServerCredentials | None:
    """What the port asks of its peers; none without files.

    The files are looked at with every new connection.  Faulty ones change nothing; open streams go on.
    """
    if not control.tls_certificate:
        return None
    last = read(control)

    def fetch() -> grpc.ServerCertificateConfiguration | None:
        nonlocal last
        try:
            files = read(control)
        except FaultyFile as error:
            return warn_limited("tls", "the files stay as they were: %s", error.faults[0])
        if files == last:
            return None
        last = files
        log.info("new certificates are used")
        return _configuration(files)

    return grpc.dynamic_ssl_server_credentials(_configuration(last), fetch, True)
