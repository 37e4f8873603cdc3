"""A bounded ring buffer of lines on disk that survives a kill: the latest audit records of an ingress.

It consists of two files of bounded size, written in turn; each line holds a checksum and a text.  Reading a file
stops at the first torn line and reports it as a gap.
"""

from __future__ import annotations

from pathlib import Path
from zlib import crc32

from fennelpoint.rate_limited_log import log

MAX_FILE_BYTES = 256 * 1024     # of each of the two files


class DiskRingBuffer:
    """Lines ordered by age; `append` hands a line to the kernel before it returns, so a kill does not lose it."""

    def __init__(self, path: Path, max_file_bytes: int = MAX_FILE_BYTES) -> None:
        self.paths, self.max_file_bytes = (path, path.with_suffix(".old")), max_file_bytes
        self.file = None
        self.last_error = ""

    def read(self) -> tuple[list[bytes], str]:
        """The lines, oldest first, and a description of what is missing, empty if nothing is."""
        lines, gap = [], ""
        for path in reversed(self.paths):
            try:
                data = path.read_bytes()
            except FileNotFoundError:
                continue
            except OSError as error:
                gap = f"{path.name} can't be read: {error.strerror}"
                continue
            for line in data.splitlines():
                checksum, _, text = line.partition(b" ")
                if checksum != b"%08x" % crc32(text):
                    gap = f"{path.name} has a torn line after {len(lines)} lines"
                    break
                lines.append(text)
        return lines, gap

    def append(self, text: bytes) -> bool:
        """Write one line; on a disk error returns False and logs it once, so that serving goes on."""
        try:
            if self.file is None:
                self.file = self.paths[0].open("ab", buffering=0)
            if self.file.tell() > self.max_file_bytes:
                self.file.close()
                self.paths[0].replace(self.paths[1])
                self.file = self.paths[0].open("ab", buffering=0)
            self.file.write(b"%08x %b\n" % (crc32(text), text))
        except OSError as error:
            if self.last_error != str(error):
                self.last_error = str(error)
                log.error("cannot append to the audit file %s: %s", self.paths[0], error)
            return False
        self.last_error = ""
        return True

    def close(self) -> None:
        if self.file is not None:
            self.file.close()
