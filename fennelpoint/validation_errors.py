"""A fault found in a file before it is used: where it is, what is wrong, what would be right."""

from __future__ import annotations

from dataclasses import asdict, dataclass

MOST_FAULTS = 500   # of one description: a file that is wrong all over needn't fill the screen


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One line for the operator; `line` counts from 1, 0 where the file as a whole is meant."""

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
    """A file that can't be used, with all faults that were found in it."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults
