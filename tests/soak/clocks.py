"""Instances whose clocks step.

Usage: ``python -m tests.soak.clocks SEED front --settings FILE``

The time of day jumps forward and back by up to an hour. The boot clock runs
ahead by some seconds now and then, as after a suspension of the machine. The
steady clock stays right.
"""

import random
import sys
import time

# Each step lasts this long, seconds.
STEP_S = 3.0
DAY_STEPS_S = (0.0, 2.0, -2.0, 60.0, -3600.0, 3600.0)
SUSPENDED_S = (0.0, 0.0, 0.0, 1.0, 5.0)

_clock_gettime, _time, _monotonic = (
    time.clock_gettime,
    time.time,
    time.monotonic,
)


def install(seed):
    """Replace the clocks of this process."""
    begin = _monotonic()
    steps = []

    def step():
        # A row for each step since the start: offset, lead of the boot clock.
        while len(steps) <= (_monotonic() - begin) / STEP_S:
            rng = random.Random('%s %d' % (seed, len(steps)))
            lead = steps[-1][1] if steps else 0.0
            lead += rng.choice(SUSPENDED_S)
            steps.append((rng.choice(DAY_STEPS_S), lead))
        return steps[-1]

    def clock_gettime(clock):
        now = _clock_gettime(clock)
        if clock == time.CLOCK_BOOTTIME:
            now += step()[1]
        elif clock == time.CLOCK_REALTIME:
            now += step()[0]
        return now

    time.clock_gettime = clock_gettime
    time.time = lambda: _time() + step()[0]


if __name__ == '__main__':
    install(sys.argv[1])
    from jasminehold import cli

    sys.exit(cli.main(sys.argv[2:]))
