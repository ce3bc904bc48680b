"""One member's view of the fleet: SWIM with Lifeguard's refinements.

It probes members in random order, probes indirectly before it suspects, and suspects before it declares a
member dead. A suspected member refutes with a higher incarnation.

After SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's local health awareness, suspicion timeouts that
shrink with confirmations, and priority of the update that tells a suspect of its suspicion, the buddy system
(Dadgar, Phillips, Currey, 2018). Beyond these:
- A digest of the view travels with each probe, so that a member knows whether its view has settled.
- A reported death of a member that is not suspected here is not believed but sent to that member to refute.
- A member that receives nothing takes itself for cut off and postpones declaring others dead.

The work and traffic of a member do not grow with the fleet. No I/O: takes events and a time, returns effects.
"""

from .core import View
from .digests import member_digest, supersedes

__all__ = ["View", "supersedes", "member_digest"]
