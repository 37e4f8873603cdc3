"""The suite of descriptions, each with what it means written by hand, for all tests that play over them."""

from describing import ANSWER, HEAD, text

HEAD_30 = HEAD.replace("3.1.0", "3.0.3")
MARKS = {
    "!BOOK": "post: {x-larchwing: {class: book}, !ANSWER}",
    "!KEYED": "post: {x-larchwing: {class: hold, key: {in: header, name: K}}, !IN(K, header), !ANSWER}",
    "!SEATS": "name: n, default: 1, minimum: 0.5, maximum: 3}"}
NAMED = "parameters: [{name: %s, in: %s, required: true, schema: {}}]"
MARKS |= {f"!IN({name}, {where})": NAMED % (name, where)
          for name, where in (("x", "path"), ("n", "path"), ("n", "header"), ("K", "header"))}
LOOK, BOOK = ("GET", "/a", "look", 1.0), ("POST", "/a", "book", 1.0)

# A description, and by hand: method, target, class, units, further fields.
PLAYS: dict[str, tuple[str, list[tuple]]] = {
    "one look-up": ("""
        x-larchwing: {class: look}
        paths: {/a: {get: {!ANSWER}}}
        """, [LOOK]),
    "look-up and booking": ("""
        x-larchwing: {class: look}
        paths: {/a: {get: {!ANSWER}, !BOOK}}
        """, [LOOK, BOOK]),
    "units at the root": ("""
        x-larchwing: {class: look, units: 2.5}
        paths: {/a: {get: {!ANSWER}, !BOOK}}
        """, [("GET", "/a?x=1", "look", 2.5), ("POST", "/a", "book", 2.5)]),
    "units at each level": ("""
        x-larchwing: {class: look, units: 3}
        paths:
          /a: {get: {!ANSWER}}
          /b:
            x-larchwing: {units: 2}
            get: {!ANSWER}
            post: {x-larchwing: {class: book, units: 0.5}, !ANSWER}
        """, [("GET", "/a", "look", 3.0), ("GET", "/b", "look", 2.0), ("POST", "/b", "book", 0.5)]),
    "units by the query": ("""
        paths:
          /a:
            post:
              x-larchwing: {class: book, units: {in: query, !SEATS}
              parameters: [{name: n, in: query, schema: {}}]
              !ANSWER
        """, [BOOK, ("POST", "/a?n=3", "book", 3.0), ("POST", "/a?n=0.5", "book", 0.5)]),
    "units by the path": ("""
        paths:
          /a/{n}:
            get: {x-larchwing: {class: look, units: {in: path, !SEATS}, !IN(n, path), !ANSWER}
        """, [("GET", "/a/1", "look", 1.0), ("GET", "/a/2.5", "look", 2.5)]),
    "units by a header": ("""
        paths:
          /a:
            get: {x-larchwing: {class: look, units: {in: header, !SEATS}, !IN(n, header), !ANSWER}
        """, [("GET", "/a", "look", 2.0, ("N: 2",)), LOOK]),
    "keyed": ("""
        x-larchwing: {class: look}
        paths: {/a: {get: {!ANSWER}, !KEYED}}
        """, [LOOK, ("POST", "/a", "hold", 1.0, ("K: 1",))]),
    "templates and precedence": ("""
        x-larchwing: {class: look}
        paths:
          /a/{x}: {get: {!IN(x, path), !ANSWER}}
          /a/b: {get: {x-larchwing: {units: 2}, !ANSWER}}
          /a/{x}.j: {get: {x-larchwing: {units: 3}, !IN(x, path), !ANSWER}}
        """, [("GET", "/a/c", "look", 1.0), ("GET", "/a/b", "look", 2.0), ("GET", "/a/c.j", "look", 3.0),
              ("GET", "/a/%62", "look", 2.0)]),
    "servers": ("""
        servers: [{url: https://x.example/v1}, {url: /v2}]
        x-larchwing: {class: look}
        paths: {/a: {get: {!ANSWER}, !BOOK}}
        """, [("GET", "/v1/a", "look", 1.0), ("GET", "/v2/a", "look", 1.0), ("POST", "/v2/a", "book", 1.0)]),
    "references": ("""
        paths:
          /a: {$ref: '#/components/x-a'}
          /b: {$ref: 'other.yaml#/b'}
        components: {x-a: {get: {x-larchwing: {class: look, units: 2}, !ANSWER}}}
        """, [("GET", "/a", "look", 2.0), ("POST", "/b", "book", 3.0)]),
    "version 3.0": ("""
        x-larchwing: {class: look, units: 1.5}
        paths: {/a: {get: {!ANSWER}, !BOOK}}
        """, [("GET", "/a", "look", 1.5), ("POST", "/a", "book", 1.5)]),
    "all of it": ("""
        x-larchwing: {class: look}
        paths:
          /s: {get: {!ANSWER}}
          /s/{x}: {get: {x-larchwing: {units: 0.5}, !IN(x, path), !ANSWER}}
          /h: {!KEYED}
          /b: {!BOOK}
        """, [("GET", "/s", "look", 1.0), ("GET", "/s/1", "look", 0.5),
              ("POST", "/h", "hold", 1.0, ("K: 1",)), ("POST", "/b", "book", 1.0)]),
}


def described(body: str, head: str = HEAD) -> str:
    for mark, meaning in MARKS.items():
        body = body.replace(mark, meaning)
    return text(body, head)


OTHER = f"b: {{post: {{x-larchwing: {{class: book, units: 3}}, {ANSWER}}}}}\n"
