"""Errors found in a file before it is used: where they are, what is wrong, what would be right."""

from __future__ import annotations

from dataclasses import asdict, dataclass

MAX_FAULTS = 500    # reported for one file, so that a broken one does not flood the terminal


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One error, printed as a line; `line` counts from 1, 0 stands for the file as a whole."""

    file: str
    line: int
    place: str
    text: str

    def __str__(self) -> str:
        head = f"{self.file}:{self.line}" if self.line else self.file
        return f"{head}: {self.place}: {self.text}" if self.place else f"{head}: {self.text}"

    def as_dict(self) -> dict[str, object]:
        return asdict(self)


class FaultyFile(ValueError):
    """A file that cannot be used, with all errors found in it."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults
