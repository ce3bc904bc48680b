"""States of a keeper and what moves it from one to the next."""

FOLLOWING, ASKING, STANDING, LEADING, BROKEN = "following", "asking", "standing", "leading", "broken"
WAITED, LIKELY, WON, OUTRANKED, ALONE, BROKE, MENDED, HASTENED = (
    "waited",
    "likely",
    "won",
    "outranked",
    "alone",
    "broke",
    "mended",
    "hastened",
)
