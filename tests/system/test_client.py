"""The client library against fronts of this test that do what it is told."""

import asyncio
import json

from result import Err, Ok

from fennelpoint.system.client import Client

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Door:
    """Answers each request by the next of its script; `None` closes without a word."""

    def __init__(self, *script: bytes | None) -> None:
        self.script, self.seen, self.connections = list(script), [], 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
                await reader.readexactly(int(fields.get("Content-Length", 0)))
                self.seen.append((head.split(" ")[0], fields))
                said = self.script.pop(0) if self.script else OK
                if said is None:
                    break
                writer.write(said)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    async def start(self) -> str:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]     # noqa: UP031


def resolved(*addresses: str, ttl: float = 60.0) -> bytes:
    body = json.dumps({"addresses": addresses, "ttl_s": ttl}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def said(status: int, *fields: str) -> bytes:
    return "\r\n".join([f"HTTP/1.1 {status} X", *fields, "Content-Length: 0", "", ""]).encode()


def play(front: Door, times: int = 1, deadline: float = 3.0, repeatable: bool = False):
    async def run():
        directory = Door()
        at = await front.start()
        directory.script = [resolved(at)] * 20
        client = Client([await directory.start()], key="k1")
        answers = [await client.request("POST", "h", "/x", b"b", deadline=deadline, repeatable=repeatable)
                   for _ in range(times)]
        client.close()
        return answers if len(answers) > 1 else answers[0], directory
    return asyncio.run(run())


def test_a_promise_is_believed_and_each_try_has_an_id_of_its_own() -> None:
    front = Door(said(503, "Retry-After: 0.01"), said(429), OK)
    answer, _ = play(front)
    assert answer.unwrap().status == 200 and answer.unwrap().tries == 3
    ids = [fields["X-Attempt-Id"] for _, fields in front.seen]
    assert len(set(ids)) == 3
    left = [int(fields["X-Deadline-Remaining"]) for _, fields in front.seen]
    assert left[0] > left[1] > left[2] and front.seen[0][1]["Authorization"] == "Token k1"


def test_a_write_that_may_have_run_is_never_sent_again() -> None:
    for unclear in (None, said(502), said(504)):
        front = Door(unclear)
        answer, _ = play(front)
        assert len(front.seen) == 1
        assert isinstance(answer, Err) and answer.err_value.status == 504 or answer.ok_value.status in (502, 504)


def test_what_may_be_repeated_is() -> None:
    front = Door(None, said(502), OK)
    answer, _ = play(front, repeatable=True)
    assert isinstance(answer, Ok) and answer.ok_value.status == 200 and len(front.seen) == 3


def test_a_final_word_is_final() -> None:
    front = Door(said(404))
    answer, _ = play(front, repeatable=True)
    assert answer.unwrap().status == 404 and len(front.seen) == 1


def test_connections_and_the_directory_s_answer_are_kept() -> None:
    front = Door()
    _, directory = play(front, times=3)
    assert front.connections == 1 and len(front.seen) == 3 and len(directory.seen) == 1


def test_advice_is_followed_for_a_third_of_the_time_left_at_most() -> None:
    front = Door(said(503, "Retry-After: 30"), OK)
    answer, _ = play(front, deadline=0.6)
    assert answer.unwrap().status == 200
    first, second = (int(fields["X-Deadline-Remaining"]) for _, fields in front.seen)
    assert 300 < second < 0.75 * first


def test_no_directory_is_told_with_step_and_peer() -> None:
    async def run():
        return await Client(["127.0.0.1:1"]).request("GET", "h", "/", deadline=0.2, repeatable=True)
    answer = asyncio.run(run())
    assert isinstance(answer, Err) and answer.err_value.step == "resolve" and "127.0.0.1:1" in str(answer.err_value)


def test_a_request_that_is_cancelled_closes_its_connection_so_that_the_front_can_tell() -> None:
    left = asyncio.Event()

    async def work(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        came.set()
        await reader.read()
        left.set()

    async def run() -> None:
        server = await asyncio.start_server(work, "127.0.0.1", 0)
        directory = Door(resolved("%s:%d" % server.sockets[0].getsockname()))     # noqa: UP031
        client = Client([await directory.start()])
        request = asyncio.create_task(client.request("GET", "h", "/", deadline=30.0, repeatable=True))
        await came.wait()
        request.cancel()
        await asyncio.wait_for(left.wait(), 1.0)

    came = asyncio.Event()
    asyncio.run(run())
