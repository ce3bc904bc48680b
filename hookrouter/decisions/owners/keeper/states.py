"""States of a keeper, and the inputs of its transition table."""

FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER, STORE_FAILED = (
    "following",
    "asking",
    "standing",
    "leading",
    "broken",
)
(
    ELECTION_TIMEOUT,
    PRE_VOTE_WON,
    ELECTION_WON,
    STEP_DOWN,
    MAJORITY_LOST,
    WRITE_FAILED,
    STORE_RECOVERED,
    LEADERSHIP_TRANSFERRED,
) = (
    "waited",
    "likely",
    "won",
    "outranked",
    "alone",
    "broke",
    "mended",
    "hastened",
)
