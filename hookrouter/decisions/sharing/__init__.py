"""The loads and soft state that routers share, merged so that no single member moves a sum beyond a bound."""

from .load_table import LoadTable as LoadTable
from .protocol import Summary as Summary
from .protocol import Terms as Terms
