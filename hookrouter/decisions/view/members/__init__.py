"""One member's view of the fleet: it probes at random, asks others before it suspects, and suspects before it
buries; who is suspected says that it lives, under a higher incarnation.

After SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's awareness of one's own slowness, suspicion that
shrinks with witnesses, and the buddy's news (Dadgar, Phillips, Currey, 2018). Beyond it: a sum of the view
travels with each probe, so a member knows whether its view has settled; a death told of one that was not
suspected here is not believed but told to that one; who hears nobody takes itself for cut off and buries
nobody for long.

The work of a member and its traffic do not grow with the fleet. No I/O: events and a time in, effects out.
"""

from .core import View
from .marks import holds, mark

__all__ = ["View", "holds", "mark"]
