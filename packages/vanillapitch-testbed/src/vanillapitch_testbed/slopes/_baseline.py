"""Memory of the interpreter and of what the daemon imports, without a daemon."""

import subprocess
import sys

__all__ = ["measure_baseline"]

_READ = (
    "import re; t = open('/proc/self/status').read(); "
    "print(int(re.search(r'VmRSS:\\s+(\\d+)', t)[1]) / 1024)"
)
_IMPORTS_BY_NAME = {
    "interpreter": "",
    "libraries": "import pykka, thrift, waitress, urllib3, msgspec, aioprometheus",
    "daemon_imports": "import vanillapitch_daemon.main, vanillapitch_daemon.assembly",
}


def measure_baseline() -> dict[str, float]:
    """Return the resident memory after each set of imports, in MB."""
    return {
        f"{name}_resident_mb": _resident_mb(imports)
        for name, imports in _IMPORTS_BY_NAME.items()
    }


def _resident_mb(imports: str) -> float:
    program = f"{imports}\n{_READ}"
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    return float(result.stdout)
