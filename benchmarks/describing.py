"""Makes descriptions of any size: `python benchmarks/describing.py OPERATIONS`."""

from __future__ import annotations

import sys

RESPONSES = """      responses:
        '200':
          description: ok
          content:
            application/json:
              schema: {$ref: '#/components/schemas/thing'}
"""
ITEM = """  /area{area}/group{group}/thing{i}/{{id}}:
    parameters:
      - name: id
        in: path
        required: true
        schema: {{type: string}}
    get:
      operationId: get{i}
      summary: One thing of the many that are described here
{responses}    post:
      operationId: post{i}
      x-larchwing: {{class: book, effect: unsafe, units: 2}}
{responses}"""
HEAD = """openapi: 3.1.0
info: {title: A large description, version: "1"}
x-larchwing: {class: look}
paths:
"""
TAIL = "components:\n  schemas:\n    thing: {type: object}\n"


def description(operations: int) -> str:
    """A description of so many operations, two a path; three concrete segments and a templated one."""
    items = (ITEM.format(area=i % 100, group=i // 100, i=i, responses=RESPONSES)
             for i in range(operations // 2))
    return HEAD + "".join(items) + TAIL


def paths(operations: int, sample: int = 16) -> list[str]:
    """Paths spread over such a description."""
    count = operations // 2
    picked = sorted({i * count // sample for i in range(sample)})
    return [f"/area{i % 100}/group{i // 100}/thing{i}/abc{i}" for i in picked]


if __name__ == "__main__":
    print(description(int(sys.argv[1])), end="")
