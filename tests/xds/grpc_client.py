"""A gRPC client that finds its servers by xDS: gRPC's own resolver and balancer, none of our code.

    python grpc_client.py TARGET        reads METHOD COUNT lines, prints a JSON line with who answered each
"""

import json
import sys

import grpc


def main() -> None:
    channel = grpc.insecure_channel(sys.argv[1])
    for line in sys.stdin:
        method, count = line.split()
        call = channel.unary_unary(method, request_serializer=bytes, response_deserializer=bytes)
        seen: dict[str, int] = {}
        for _ in range(int(count)):
            try:
                who = call(b"", timeout=10.0, wait_for_ready=True).decode()
            except grpc.RpcError as error:
                who = error.code().name
                print(error.details(), file=sys.stderr)
            seen[who] = seen.get(who, 0) + 1
        print(json.dumps(seen), flush=True)


if __name__ == "__main__":
    main()
