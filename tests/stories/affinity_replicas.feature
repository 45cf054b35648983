Feature: Sessions stay with their server, on real replicas
  The same scenarios without a simulated register: bindings and claims are stored by rounds between the
  members' replicas.

  Scenario: A new policy version migrates no session
    Given a fleet of 5 servers on replicas, with 30 kiosks in service
    When version 2 becomes active
    And the kiosks send requests for 3 seconds
    Then no session has migrated
    And every session runs under version 1

  Scenario: A session with a keyed run while its owner drains
    Given a fleet of 5 servers on replicas, with 30 kiosks in service
    And a keyed run of 1 second is in progress on the owner of kiosk 7
    When the owner of kiosk 7 is asked to leave within 8 seconds
    And the kiosks send requests for 10 seconds
    Then kiosk 7 has another owner, which took over after that run had ended
    And only sessions of that owner have migrated

  Scenario: Only a killed server's sessions migrate
    Given a fleet of 5 servers on replicas, with 40 kiosks in service
    When server m2 is killed
    And the kiosks send requests for 10 seconds
    Then all sessions of m2 have migrated, counted as "removed"
    And only sessions of m2 have migrated
    And every kiosk has an owner that serves

  Scenario: No binding is lost with a server while the other replicas have a majority
    Given a fleet of 5 servers on replicas, with 40 kiosks in service
    When server m1 is killed
    And the kiosks send requests for 8 seconds
    Then every session has a fencing number above its first one, or its first owner

  Scenario: A restarted server takes no session back
    Given a fleet of 5 servers on replicas, with 40 kiosks in service
    And server m2 was killed and its sessions have migrated
    When server m2 restarts cold
    And the kiosks send requests for 6 seconds
    Then no session has migrated

  Scenario: An owner resumes after a pause in which it was removed
    Given a fleet of 5 servers on replicas, with 40 kiosks in service
    When server m3 is paused for 7 seconds
    And the kiosks send requests for 12 seconds
    Then all sessions of m3 have migrated, counted as "removed"
    And every kiosk has an owner that serves

  Scenario: A minority is partitioned and rejoins
    Given a fleet of 5 servers on replicas, with 40 kiosks in service
    When servers m1 and m2 are partitioned from the others
    And the kiosks send requests for 9 seconds
    And the partition is healed
    And the kiosks send requests for 9 seconds
    Then every kiosk has an owner that serves
    And only sessions of m1 and m2 have migrated

  Scenario: Links lose and duplicate messages during a drain
    Given a fleet of 5 servers on replicas, with 30 kiosks in service
    And every link loses one message in five and duplicates another
    When server m2 is asked to leave within 9 seconds
    And the kiosks send requests for 12 seconds
    Then every kiosk has an owner that serves
    And only sessions of m2 have migrated

  Scenario: An owner is killed during a handover
    Given a fleet of 5 servers on replicas, with 40 kiosks in service
    When server m1 is asked to leave within 8 seconds
    And the kiosks send requests for 0.4 seconds
    And server m1 is killed
    And the kiosks send requests for 9 seconds
    Then every kiosk has an owner that serves
    And only sessions of m1 have migrated
