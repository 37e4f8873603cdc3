"""The client library against scripted servers in place of proxies and directories."""

import asyncio
import json

from result import Err, Ok

from fennelpoint.system.client import Client

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ScriptedServer:
    """Answers each request with the next response of its script; `None` closes the connection without one."""

    def __init__(self, *script: bytes | None) -> None:
        self.script, self.requests, self.connections = list(script), [], 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
                await reader.readexactly(int(fields.get("Content-Length", 0)))
                self.requests.append((head.split(" ")[0], fields))
                response = self.script.pop(0) if self.script else OK
                if response is None:
                    break
                writer.write(response)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    async def start(self) -> str:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]     # noqa: UP031


def directory_response(*addresses: str, ttl_s: float = 60.0) -> bytes:
    body = json.dumps({"addresses": addresses, "ttl_s": ttl_s}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def empty_response(status: int, *fields: str) -> bytes:
    return "\r\n".join([f"HTTP/1.1 {status} X", *fields, "Content-Length: 0", "", ""]).encode()


def send_requests(proxy: ScriptedServer, times: int = 1, deadline: float = 3.0, repeatable: bool = False):
    async def run():
        directory = ScriptedServer()
        address = await proxy.start()
        directory.script = [directory_response(address)] * 20
        client = Client([await directory.start()], key="k1")
        answers = [await client.request("POST", "h", "/x", b"b", deadline=deadline, repeatable=repeatable)
                   for _ in range(times)]
        client.close()
        return answers if len(answers) > 1 else answers[0], directory
    return asyncio.run(run())


def test_a_request_that_has_not_run_is_retried_and_each_attempt_has_its_own_id() -> None:
    proxy = ScriptedServer(empty_response(503, "Retry-After: 0.01"), empty_response(429), OK)
    answer, _ = send_requests(proxy)
    assert answer.unwrap().status == 200 and answer.unwrap().tries == 3
    ids = [fields["X-Attempt-Id"] for _, fields in proxy.requests]
    assert len(set(ids)) == 3
    time_left = [int(fields["X-Deadline-Remaining"]) for _, fields in proxy.requests]
    assert time_left[0] > time_left[1] > time_left[2] and proxy.requests[0][1]["Authorization"] == "Token k1"


def test_a_write_that_may_have_run_is_never_retried() -> None:
    for inconclusive in (None, empty_response(502), empty_response(504)):
        proxy = ScriptedServer(inconclusive)
        answer, _ = send_requests(proxy)
        assert len(proxy.requests) == 1
        assert isinstance(answer, Err) and answer.err_value.status == 504 or answer.ok_value.status in (502, 504)


def test_a_repeatable_request_is_retried() -> None:
    proxy = ScriptedServer(None, empty_response(502), OK)
    answer, _ = send_requests(proxy, repeatable=True)
    assert isinstance(answer, Ok) and answer.ok_value.status == 200 and len(proxy.requests) == 3


# Guards the promise of 503: an earlier attempt may have run, whatever the last one ended with.
def test_a_repeatable_request_is_not_reported_as_unexecuted_once_an_attempt_may_have_run() -> None:
    async def run() -> None:
        proxy = ScriptedServer(None)
        directory = ScriptedServer(directory_response(await proxy.start()))
        client = Client([await directory.start()])
        request = asyncio.ensure_future(client.request("GET", "h", "/x", deadline=0.5, repeatable=True))
        while not proxy.requests:
            await asyncio.sleep(0.001)
        proxy.server.close()    # every further attempt is refused a connection
        answer = await request
        assert isinstance(answer, Err) and answer.err_value.step == "connect" and answer.err_value.status == 504
        client.close()

    asyncio.run(run())
    refused = [empty_response(503)] * 3
    for first, may_have_run in ((empty_response(502), True), (empty_response(503), False)):
        answer, _ = send_requests(ScriptedServer(first, *refused), repeatable=True)
        assert (answer.unwrap().status, answer.unwrap().may_have_run) == (503, may_have_run)


def test_a_final_status_is_not_retried() -> None:
    proxy = ScriptedServer(empty_response(404))
    answer, _ = send_requests(proxy, repeatable=True)
    assert answer.unwrap().status == 404 and len(proxy.requests) == 1


def test_connections_and_the_directorys_response_are_reused() -> None:
    proxy = ScriptedServer()
    _, directory = send_requests(proxy, times=3)
    assert proxy.connections == 1 and len(proxy.requests) == 3 and len(directory.requests) == 1


def test_retry_after_is_limited_to_a_third_of_the_remaining_time() -> None:
    proxy = ScriptedServer(empty_response(503, "Retry-After: 30"), OK)
    answer, _ = send_requests(proxy, deadline=0.6)
    assert answer.unwrap().status == 200
    first, second = (int(fields["X-Deadline-Remaining"]) for _, fields in proxy.requests)
    assert 300 < second < 0.75 * first


def test_an_unreachable_directory_is_reported_with_step_and_peer() -> None:
    async def run():
        return await Client(["127.0.0.1:1"]).request("GET", "h", "/", deadline=0.2, repeatable=True)
    answer = asyncio.run(run())
    assert isinstance(answer, Err) and answer.err_value.step == "resolve" and "127.0.0.1:1" in str(answer.err_value)


def test_a_cancelled_request_closes_its_connection_so_that_the_proxy_notices() -> None:
    disconnected = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        received.set()
        await reader.read()
        disconnected.set()

    async def run() -> None:
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        directory = ScriptedServer(directory_response("%s:%d" % server.sockets[0].getsockname()))     # noqa: UP031
        client = Client([await directory.start()])
        request = asyncio.create_task(client.request("GET", "h", "/", deadline=30.0, repeatable=True))
        await received.wait()
        request.cancel()
        await asyncio.wait_for(disconnected.wait(), 1.0)

    received = asyncio.Event()
    asyncio.run(run())
