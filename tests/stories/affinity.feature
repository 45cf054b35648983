Feature: Sessions stay with their server
  Kiosks and pay stations behind routers that cannot be changed stay with one server across policy versions.
  A session migrates only for a defined cause and within the budget, and two servers never run its keyed
  requests at the same time.

  # -- policy versions

  Scenario: A new policy version migrates no session
    Given a fleet of 5 servers with 40 kiosks in service
    When version 2 becomes active
    And the kiosks send requests for 4 seconds
    Then no session has migrated
    And every session runs under version 1

  Scenario: Three new versions migrate no session while the versions are retained
    Given a fleet of 5 servers that retains 4 versions, with 40 kiosks in service
    When version 2 becomes active
    And the kiosks send requests for 2 seconds
    And version 3 becomes active
    And the kiosks send requests for 2 seconds
    And version 4 becomes active
    And the kiosks send requests for 2 seconds
    Then no session has migrated
    And every session runs under version 1

  Scenario: New sessions begin under the new version while old ones keep theirs
    Given a fleet of 5 servers with 20 kiosks in service
    When version 2 becomes active
    And 10 more kiosks start
    Then 20 sessions run under version 1 and 10 under version 2

  Scenario: Sessions of a version that is no longer retained change it in place
    Given a fleet of 5 servers that retains 2 versions, with 30 kiosks in service
    When version 2 becomes active
    And version 3 becomes active
    And the kiosks send requests for 6 seconds
    Then no session has migrated
    And every session runs under version 3
    And 30 version changes are counted as "retired"

  Scenario: A version is retired when its retention time has passed
    Given a fleet of 5 servers that retires versions after 5 seconds, with 20 kiosks in service
    When version 2 becomes active
    And the kiosks send requests for 3 seconds
    Then every session runs under version 1
    When the kiosks send requests for 6 seconds
    Then every session runs under version 2
    And no session has migrated

  Scenario: A mandatory change reaches all sessions at the budget's rate
    Given a fleet of 5 servers with a budget of 10 migrations per second and 40 kiosks in service
    When version 2 becomes active and is mandatory
    And the kiosks send requests for 1 second
    Then some sessions run under version 1
    When the kiosks send requests for 6 seconds
    Then every session runs under version 2
    And 40 version changes are counted as "mandatory"
    And no session has migrated

  Scenario: A new policy version while one server is isolated
    Given a fleet of 5 servers with 40 kiosks in service
    When server m1 is isolated for 1.5 seconds
    And version 2 becomes active
    And the kiosks send requests for 6 seconds
    Then no session has migrated
    And every session runs under version 1
    And all servers run version 2

  # -- draining

  Scenario: A session with a keyed run while its owner drains
    Given a fleet of 5 servers with 40 kiosks in service
    And a keyed run of 1 second is in progress on the owner of kiosk 7
    When the owner of kiosk 7 is asked to leave within 8 seconds
    And the kiosks send requests for 10 seconds
    Then kiosk 7 has another owner, which took over after that run had ended
    And no kiosk's request was rejected or lost

  Scenario: A draining server hands over all its sessions within the grace period
    Given a fleet of 5 servers with a budget of 2 migrations per second and 60 kiosks in service
    When server m2 is asked to leave within 6 seconds
    And the kiosks send requests for 5.9 seconds
    Then server m2 owns no sessions
    And only sessions of m2 have migrated, counted as "drain"

  Scenario: A keyed run that exceeds the handover timeout continues as a claim
    Given a fleet of 5 servers that waits 1 second for runs, with 10 kiosks in service
    And a keyed run of 5 seconds is in progress on the owner of kiosk 3
    When the owner of kiosk 3 is asked to leave within 8 seconds
    And the kiosks send requests for 9 seconds
    Then kiosk 3 has another owner
    And 1 run has continued as a claim

  Scenario: A drain just after another server was killed
    Given a fleet of 5 servers with 60 kiosks in service
    When server m3 is killed
    And server m2 is asked to leave within 8 seconds
    And the kiosks send requests for 7.9 seconds
    Then server m2 owns no sessions
    And only sessions of m2 and m3 have migrated

  Scenario: Two servers drain at the same time
    Given a fleet of 6 servers with 40 kiosks in service
    When server m1 is asked to leave within 6 seconds
    And server m2 is asked to leave within 6 seconds
    And the kiosks send requests for 8 seconds
    Then every kiosk has an owner that serves
    And only sessions of m1 and m2 have migrated

  Scenario: Rolling restart of all servers
    Given a fleet of 4 servers with 24 kiosks in service
    When every server in turn leaves within 4 seconds and restarts
    Then every kiosk has an owner that serves
    And every migration is counted as "drain"

  # -- failures

  Scenario: Only a killed server's sessions migrate
    Given a fleet of 5 servers with 60 kiosks in service
    When server m2 is killed
    And the kiosks send requests for 10 seconds
    Then all sessions of m2 have migrated, counted as "removed"
    And only sessions of m2 have migrated
    And every kiosk has an owner that serves

  Scenario: A killed server's sessions migrate no faster than the budget
    Given a fleet of 5 servers with a budget of 5 migrations per second and 80 kiosks in service
    When server m2 is killed
    And the kiosks send requests for 12 seconds
    Then at most 5 sessions have migrated in any second, with 5 more at the start
    And some requests were served by another server because the budget was exhausted

  Scenario: A restarted server takes no session back
    Given a fleet of 5 servers with 60 kiosks in service
    And server m2 was killed and its sessions have migrated
    When server m2 restarts cold
    And the kiosks send requests for 6 seconds
    Then no session has migrated

  Scenario: A restarted server receives few new sessions
    Given a fleet of 5 servers with 60 kiosks in service
    And server m2 was killed and its sessions have migrated
    When server m2 restarts cold
    And 60 more kiosks start
    Then server m2 owns less than half as many sessions as any other server
    And no session has migrated

  Scenario: A server is killed and restarts before the failure is detected
    Given a fleet of 5 servers with 40 kiosks in service
    When server m2 is killed
    And server m2 restarts cold
    And the kiosks send requests for 8 seconds
    Then every kiosk has an owner that serves
    And only sessions of m2 have migrated

  Scenario: A short pause migrates no session
    Given a fleet of 5 servers with 40 kiosks in service
    When server m3 is paused for 1.5 seconds
    And the kiosks send requests for 5 seconds
    Then no session has migrated

  Scenario: An owner resumes after a pause in which it was removed
    Given a fleet of 5 servers with 40 kiosks in service
    When server m3 is paused for 7 seconds
    And the kiosks send requests for 12 seconds
    Then all sessions of m3 have migrated, counted as "removed"
    And every kiosk has an owner that serves

  Scenario: An owner is killed during a handover
    Given a fleet of 5 servers with 40 kiosks in service
    When server m1 is asked to leave within 8 seconds
    And the kiosks send requests for 0.4 seconds
    And server m1 is killed
    And the kiosks send requests for 9 seconds
    Then every kiosk has an owner that serves
    And only sessions of m1 have migrated

  Scenario: The successors of a handover are killed
    Given a fleet of 6 servers with 40 kiosks in service
    When server m1 is asked to leave within 9 seconds
    And the kiosks send requests for 0.2 seconds
    And server m2 is killed
    And server m3 is killed
    And the kiosks send requests for 12 seconds
    Then every kiosk has an owner that serves
    And only sessions of m1, m2 and m3 have migrated

  # -- network partitions

  Scenario: One server cannot reach an owner that all others can reach
    Given a fleet of 5 servers with 40 kiosks in service
    When the link between m1 and m2 is cut
    And the kiosks send requests for 6 seconds
    Then no session has migrated
    And some idempotent requests were served where they arrived
    And some keyed requests were rejected, and none of them ran

  Scenario: A minority is partitioned and rejoins
    Given a fleet of 5 servers with 40 kiosks in service
    When servers m1 and m2 are partitioned from the others
    And the kiosks send requests for 9 seconds
    And the partition is healed
    And the kiosks send requests for 9 seconds
    Then every kiosk has an owner that serves
    And only sessions of m1 and m2 have migrated

  Scenario: The register has no majority for a while
    Given a fleet of 5 servers with 40 kiosks in service
    When the register has no majority
    And the kiosks send requests for 3 seconds
    Then no session has migrated
    And some idempotent requests were served where they arrived
    When the register has its majority again
    And the kiosks send requests for 3 seconds
    Then every kiosk has an owner that serves
    And no session has migrated

  Scenario: Every third answer of the register is lost
    Given a fleet of 5 servers whose register loses a third of its answers
    When 40 more kiosks start
    And server m1 is asked to leave within 8 seconds
    And the kiosks send requests for 12 seconds
    Then every kiosk has an owner that serves
    And only sessions of m1 have migrated

  Scenario: Links lose and duplicate messages during a drain
    Given a fleet of 5 servers with 40 kiosks in service
    And every link loses one message in five and duplicates another
    When server m2 is asked to leave within 9 seconds
    And the kiosks send requests for 12 seconds
    Then every kiosk has an owner that serves
    And only sessions of m2 have migrated

  # -- flows and capabilities

  Scenario: Some servers can no longer run the flow of their sessions
    Given a fleet of 5 servers with 40 kiosks in service
    When servers m0 and m1 can no longer run the kiosks' flow
    And the kiosks send requests for 6 seconds
    Then servers m0 and m1 own no sessions
    And only sessions of m0 and m1 have migrated, counted as "incapable"

  Scenario: No server can run a flow
    Given a fleet of 5 servers with 10 kiosks in service
    When no server can run the kiosks' flow
    And the kiosks send requests for 4 seconds
    Then every request since then is rejected
    And no session has migrated

  # -- capacity

  Scenario: Many sessions begin at the same time and no owner exceeds its load bound
    Given a fleet of 5 servers
    When 400 more kiosks start
    Then no server took a session above its bound

  Scenario: More sessions than a server has capacity for
    Given a fleet of 3 servers with capacity for 10 sessions each and 60 kiosks in service
    When the kiosks send requests for 4 seconds
    Then no server owns more than 10 sessions
    And no session has migrated

  Scenario: An idle session ends and a new one begins under the active version
    Given a fleet of 5 servers whose sessions end after 6 idle seconds, with 20 kiosks in service
    When version 2 becomes active
    And the kiosks send no requests for 8 seconds
    Then 20 sessions have ended
    When the kiosks send requests for 4 seconds
    Then every session runs under version 2

  Scenario: The first requests of a session at several servers give it one owner
    Given a fleet of 5 servers
    When the first requests of 30 kiosks arrive at all servers at the same time
    Then every kiosk has an owner that serves
    And no session has migrated

  Scenario: A stable fleet migrates no session
    Given a fleet of 5 servers with 40 kiosks in service
    And server m2 was killed and its sessions have migrated
    When the kiosks send requests for 10 seconds
    Then no session has migrated

  # -- faulty variants

  Scenario: No violation is detected in a correct fleet
    Given a fleet of 5 servers that is correct, with 80 kiosks in service
    When version 2 becomes active
    And the link between m1 and m2 is cut
    And the kiosks send requests for 4 seconds
    And server m4 is asked to leave within 6 seconds
    And the kiosks send requests for 7 seconds
    And server m3 is killed
    And the kiosks send requests for 9 seconds
    Then no violation is detected

  Scenario Outline: Each faulty variant is detected
    Given a fleet of 5 servers with the faulty variant "<variant>", with 80 kiosks in service
    When version 2 becomes active
    And the link between m1 and m2 is cut
    And the kiosks send requests for 4 seconds
    And server m4 is asked to leave within 6 seconds
    And the kiosks send requests for 7 seconds
    And server m3 is killed
    And the kiosks send requests for 9 seconds
    Then the violation "<violation>" is detected

    Examples:
      | variant        | violation                         |
      | rehash-on-bump | sessions migrated without a cause |
      | two-owners     | two owners ran keyed requests     |
      | no-handover    | two owners ran keyed requests     |
      | no-budget      | migrations exceeded the budget    |
