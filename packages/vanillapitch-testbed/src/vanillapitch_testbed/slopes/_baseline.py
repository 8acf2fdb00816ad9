"""Resident memory of the interpreter and of the daemon's imports alone."""

import subprocess
import sys

__all__ = ["measure_baseline"]

_PRINT_RESIDENT_MB = (
    "import re; t = open('/proc/self/status').read(); "
    "print(int(re.search(r'VmRSS:\\s+(\\d+)', t)[1]) / 1024)"
)
_IMPORTS_BY_PROCESS = {
    "interpreter": "",
    "libraries": "import pykka, thrift, waitress, urllib3, msgspec, aioprometheus",
    "daemon_imports": "import vanillapitch_daemon.main, vanillapitch_daemon.assembly",
}


def measure_baseline() -> dict[str, float]:
    """Return the resident memory of a process after each set of imports, in MB."""
    return {
        f"{name}_resident_mb": _resident_mb(imports)
        for name, imports in _IMPORTS_BY_PROCESS.items()
    }


def _resident_mb(imports: str) -> float:
    program = f"{imports}\n{_PRINT_RESIDENT_MB}"
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    return float(result.stdout)
