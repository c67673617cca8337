"""A load process: reads flows from stdin, writes its report to stdout."""

import json
import sys
import warnings


def main() -> None:
    """Runs the load described on standard input."""
    warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")
    import eventlet

    eventlet.monkey_patch()
    from savoryspar.bench import flows, load

    document = json.load(sys.stdin)
    report = load.run(
        [flows.decode_flow(flow) for flow in document["flows"]],
        document["addresses"],
        document["duration_s"],
        document["seed"],
    )
    json.dump(report.to_document(), sys.stdout)


if __name__ == "__main__":
    main()
