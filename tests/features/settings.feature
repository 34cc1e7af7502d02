Feature: Settings
  Guards against an instance that starts with a mistyped key or a value that
  a rule cannot work with, and against messages that do not name the key.

  Scenario: Comments, trailing commas and defaults
    When the settings are {place: "sul-1", /* zone */ region: "sul", peers: ["[::1]:7000",],}
    Then the settings are accepted with lookup_ttl 2.0 and a random id

  Scenario Outline: A fault names the key and what is allowed
    When the settings are <text>
    Then they are refused with "<message>"

    Examples:
      | text | message |
      | {place: "a", region: "b", plaice: 1} | plaice: unknown key; allowed keys: |
      | {region: "b"} | place: required |
      | {place: 7, region: "b"} | place: allowed: lower-case letters |
      | {place: "a", region: "b", claim_shards: 0} | claim_shards: allowed: integer from 1 to 64 |
      | {place: "a", region: "b", claim_shards: true} | claim_shards: allowed: |
      | {place: "a", region: "b", lookup_ttl: "3"} | lookup_ttl: allowed: seconds from |
      | {place: "a", region: "b", lookup_ttl: NaN} | lookup_ttl: allowed: |
      | {place: "a", region: "b", api_listen: "host:1"} | api_listen: allowed: "IP:port" |
      | {place: "a", region: "b", platform: ["127.0.0.1:0"]} | platform: allowed: list |
      | {place: "a", region: "b", operators: {ana: "12"}} | operators: allowed: object |
      | {place: "a", region: "b", peer_keys: {k: "00112233445566778899aabbccddeeff"}} | peer_key_id: allowed: an id in peer_keys |
      | {place: "a", region: "b", lease_renew: 3} | lease_renew: allowed: at most half of lease_ttl |
      | {"place": "a", "place": "c", "region": "b"} | place |
      | [1] | must be an object |
      | {place: | the settings: |

  Scenario: Deep nesting is refused without exhausting the stack
    When the settings are 200000 opening brackets
    Then they are refused with "nested deeper than 16 levels"

  Scenario: The page of settings matches the table
    Then docs/settings.md is what the table writes
