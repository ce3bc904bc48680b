"""Facts of the desk as a person reads them."""

import time


def shortened(numbers):
    return numbers[0] if len(numbers) == 1 else f"{numbers[0]} to {numbers[-1]}"


def behind(facts):
    rows = [f"{row['name']} ({row['state']})" for row in facts["behind"]]
    return ", ".join(rows[:5]) + (f" and {len(rows) - 5} more" if len(rows) > 5 else "") if rows else "none"


def clock(millis):
    return f"{time.strftime('%H:%M:%S', time.localtime(millis / 1000))}.{millis % 1000:03d}"


def dated(millis):
    """With its day where that is not today's."""
    day = time.strftime("%Y-%m-%d", time.localtime(millis / 1000))
    return clock(millis) if day == time.strftime("%Y-%m-%d") else f"{day} {clock(millis)}"
