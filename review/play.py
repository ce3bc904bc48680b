"""Plays the case of the folder that it is started in. A case that cannot even be loaded ends with 2, never with 1."""

import os
import runpy
import sys
import traceback

try:
    sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
    runpy.run_path("case.py", run_name="case")
except BaseException:
    traceback.print_exc()
sys.stdout.flush()
os._exit(2)  # a case that was played has left with its own code
