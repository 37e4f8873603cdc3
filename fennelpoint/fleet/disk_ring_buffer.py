"""A bounded ring of lines on disk that outlives a kill: what an ingress last noted.

Two files of a bounded size, written in turn; a line is its checksum and its text.  A line that is torn ends what
is read of its file, and is told as a gap.
"""

from __future__ import annotations

from pathlib import Path
from zlib import crc32

from fennelpoint.rate_limited_log import log

MOST = 256 * 1024   # bytes of one of the two files


class Ring:
    """Lines by age; `add` is with the kernel when it returns, so that a kill loses nothing of it."""

    def __init__(self, path: Path, most: int = MOST) -> None:
        self.paths, self.most = (path, path.with_suffix(".old")), most
        self.file = None
        self.failed = ""

    def read(self) -> tuple[list[bytes], str]:
        """The lines, the oldest first, and what is missing of them; empty where nothing is."""
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
                check, _, text = line.partition(b" ")
                if check != b"%08x" % crc32(text):
                    gap = f"{path.name} is torn after {len(lines)} lines"
                    break
                lines.append(text)
        return lines, gap

    def add(self, text: bytes) -> bool:
        """False, and one line in the log, where the disk takes no more: what runs goes on."""
        try:
            if self.file is None:
                self.file = self.paths[0].open("ab", buffering=0)
            if self.file.tell() > self.most:
                self.file.close()
                self.paths[0].replace(self.paths[1])
                self.file = self.paths[0].open("ab", buffering=0)
            self.file.write(b"%08x %b\n" % (crc32(text), text))
        except OSError as error:
            if self.failed != str(error):
                self.failed = str(error)
                log.error("%s takes no more of the audit: %s", self.paths[0], error)
            return False
        self.failed = ""
        return True

    def close(self) -> None:
        if self.file is not None:
            self.file.close()
