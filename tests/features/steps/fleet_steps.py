"""Steps for fleets under faults."""

import behave

from bench import deployments
from bench import fleet
from builders import broken_rules


@behave.when('a fleet of {name} runs {steps:d} steps with faults, seed {seed}')
def when_faults(context, name, steps, seed):
    context.fleet = fleet.Fleet(deployments.BY_NAME[name], int(seed))
    context.fleet.run(steps)


@behave.then(
    '{seconds:d} seconds after the faults at least 95% of each limit is usable'
)
def then_shared(context, seconds):
    context.fleet.heal()
    context.fleet.run(int(seconds / context.fleet.step_s))
    assert context.fleet.shared_part() >= 0.95, context.fleet.shared_part()


@behave.given('a fleet of {name} that has shared its limits')
def given_fleet(context, name):
    context.fleet = fleet.Fleet(deployments.BY_NAME[name], 1, step_s=0.5)
    context.fleet.heal()
    context.fleet.run(200)
    # A re-split may be under way; the outage starts after it.
    for _ in range(200):
        if context.fleet.shared_part() >= 0.95:
            return
        context.fleet.run(1)
    raise AssertionError('not shared: %s' % context.fleet.shared_part())


@behave.when('the platform is down for {seconds:d} seconds')
def when_outage(context, seconds):
    one_fleet = context.fleet
    one_fleet.platform_up = False
    context.lost = []
    for _ in range(int(seconds / one_fleet.step_s)):
        one_fleet.run(1)
        for one in one_fleet.instances.values():
            now = one.clock(one_fleet.t)
            for item in one.holder.plans.values():
                if not one.holder.contact.may_use(item, now):
                    context.lost.append((one_fleet.t, one.name))


@behave.then('every instance could use all its shares all the time')
def then_kept(context):
    assert not context.lost, context.lost[:5]
    assert context.fleet.shared_part() >= 0.95


@behave.when(
    'a fleet runs with {fault}, seed {seed:d}, for at most {steps:d} steps'
)
def when_broken(context, fault, seed, steps):
    context.violation = broken_rules.run(
        fault, deployments.FERROMODELOS, seed, steps
    )


@behave.then('a limit was exceeded')
def then_exceeded(context):
    assert context.violation
