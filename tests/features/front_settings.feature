Feature: Settings that the platform renders for an instance
  Guards against an instance that does not start, or keeps old bounds, because
  a value has another form than at the deployments known so far.

  # Guards against a fleet that does not start for a fraction in its bounds.
  Scenario Outline: An instance starts with <field> of <value>
    When the template is filled in with <field> of <value>
    Then the settings are accepted

    Examples:
      | field               | value     |
      | Bounds.RetryBurst   | 30.714285 |
      | Bounds.RetryBurst   | 0         |
      | Bounds.RetryBurst   | 5000000   |
      | Bounds.RetryBurst   | null      |
      | Bounds.RetryRatio   | 0         |
      | Bounds.RetryRatio   | 2         |
      | Bounds.RetryRatio   | null      |
      | Bounds.RetryWindowS | 0.5       |
      | Bounds.RetryWindowS | 3600      |
      | Bounds.ColdOver     | 0         |
      | Bounds.ColdOver     | 1000      |
      | Bounds.ColdSlack    | 0.25      |
      | Bounds.ColdSlack    | 100000    |
      | Bounds.ApplyMs      | 2500      |
      | Bounds.ApplyMs      | null      |
      | Bounds.GraceS       | 0.5       |
      | Bounds.GraceS       | 3600      |
      | Bounds.GraceS       | null      |
      | Limits.MaxFds       | 4100.0    |
      | Limits.MaxFds       | 220       |
      | Limits.MaxFds       | null      |
      | Limits.LinkMbps     | 0.05      |
      | Limits.LinkMbps     | 10000000  |
      | Limits.LinkMbps     | null      |
      | Limits.CpuShare     | 2.15      |
      | Limits.CpuShare     | null      |
      | Seeds               | []        |
      | Seeds               | null      |

  Scenario Outline: A fault in a rendered file names the key and what is allowed
    When the template is filled in with <field> of <value>
    Then the settings are refused with "<message>"

    Examples:
      | field             | value | message                         |
      | Bounds.RetryBurst | -1    | retry_burst: allowed: number    |
      | Bounds.RetryBurst | "7"   | retry_burst: allowed: number    |
      | Bounds.RetryRatio | NaN   | retry_ratio: allowed: number    |
      | Limits.MaxFds     | 0     | max_files: allowed: number      |
      | Platform.Addr     | null  | store: required                 |

  # Guards against a fast machine that gets no more callers than a slow one.
  Scenario Outline: A machine of <cpus> times <share> of a core has room for it
    When a machine of <share> of a core at <cpus> times the speed is rendered
    Then its room is that of <cores> cores

    Examples:
      | share | cpus | cores |
      | 0.43  | 1    | 0.43  |
      | 0.717 | 3    | 2.151 |
      | 0.86  | null | 0.86  |

  # Guards against a stop that keeps to a grace period that no longer holds.
  Scenario: A grace period that changed is used by the next stop
    Given an instance whose settings file has a grace period of 3 s
    When the file's grace period changes to 1 s and the instance is reloaded
    Then a stop during work of 5 s ends within 1 s
