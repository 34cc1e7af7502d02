Feature: Resources and the config set
  Guards against invalid resources being stored, against faults reported
  without their place, and against a config that goes back to an older one.

  Scenario: A valid spec of each kind has no faults
    Then each example spec is valid against a config that holds its references

  Scenario Outline: Faults name the field
    When a <kind> is checked with <field> set to <value>
    Then a fault reads "<fault>"

    Examples:
      | kind | field | value | fault |
      | upstream | slots | 0 | spec.slots: must be an integer from 1 to 10000 |
      | upstream | slots | 1e3 | spec.slots: must be an integer from 1 to 10000 |
      | upstream | host | "localhost" | spec.host: must be an IP address |
      | upstream | place | "nowhere" | spec.place: unknown place nowhere |
      | place | region | "norte" | spec.region: unknown region norte |
      | place | region | null | spec.region: must be 1 to 63 lower-case |
      | region | capacity_rps | -1 | spec.capacity_rps: must be a number from 0 to 1e+09 |
      | region | capacity | 1 | spec.capacity: unknown field; known: capacity_rps |
      | link | to_place | "sul-1" | spec.to_place: must differ from from_place |
      | traffic_split | shares | {"sul-1": 0.5} | spec.shares: must sum to 1, not 0.5 |
      | traffic_split | shares | {"norte-1": 1} | spec.shares.norte-1: unknown place norte-1 |
      | traffic_split | client_region | "x" | spec.client_region: unknown region x |
      | movement | target_share | 1.5 | spec.target_share: must be a number from 0 to 1 |
      | movement | paused | 1 | spec.paused: must be true or false |
      | drain | target_kind | "link" | spec.target_kind: must be one of upstream, place, region |
      | legacy_share | load_rps | {"norte": 1} | spec.load_rps.norte: unknown region norte |
      | client_blocks | blocks | [{"cidr": "10.1.0.1/16", "site": "sul-1"}] | spec.blocks[0].cidr: must be an address block |
      | client_blocks | blocks | [{"cidr": "10.0.0.0/8", "site": "x"}] | spec.blocks[0].site: unknown place x |
      | service | priority_paths | [{"path": "/", "class": "best"}] | spec.priority_paths[0].class: must be one of order, normal |

  Scenario: All faults are reported, within a bound
    Then an upstream with three faults reports three and 10000 bad blocks report 100

  Scenario: The largest client_blocks resource is accepted
    Then 10000 blocks are valid and 10001 are not

  Scenario: Decoding refuses hostile JSON at a linear cost
    Then open strings of escaped quotes and deep nesting are refused within 50 times the cost of parsing

  Scenario: The config set equals the maxima under any order and repetition
    Then the config set equals a dictionary of maxima after each random step

  Scenario: The operators' page shows a valid example of each kind
    Then each example on the operators' page is valid

  Scenario: Old tombstones do not tell configurations apart
    Then a set read after a purge has the digest of one that kept the tombstone
