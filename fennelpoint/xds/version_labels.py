"""Version labels that say of which roster a resource is: any control service can tell old from new."""

from __future__ import annotations

import hashlib
import re
from typing import NamedTuple

TEXT = re.compile(r"([0-9]{1,15})\.([0-9]{1,18})\.([0-9a-f]{12})")


class Stand(NamedTuple):
    """How new a roster is: discovery's life, then its revision in it.  Compared as a pair."""

    epoch: int = 0
    revision: int = 0


class Label(NamedTuple):
    """A resource's version: the stand at which its content last changed, and the content's digest."""

    stand: Stand
    digest: str

    def __str__(self) -> str:
        return f"{self.stand.epoch}.{self.stand.revision}.{self.digest}"


def digest(body: bytes) -> str:
    return hashlib.blake2b(body, digest_size=6).hexdigest()


def read_label(text: str) -> Label | None:
    """A label that a proxy names; none for one that is not ours, which then tells nothing."""
    match = TEXT.fullmatch(text)
    return Label(Stand(int(match[1]), int(match[2])), match[3]) if match else None
