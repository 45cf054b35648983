Feature: Sessions stay with their server, on real replicas
  The same stories where nothing stands in for the register: bindings and claims are rounds between the
  members' replicas.

  Scenario: Version bumps move nobody
    Given a fleet of 5 servers on replicas, with 30 kiosks in service
    When version 2 becomes active
    And the kiosks go on for 3 seconds
    Then no session has moved
    And every session goes on under version 1

  Scenario: A kiosk's session while its owner is drained
    Given a fleet of 5 servers on replicas, with 30 kiosks in service
    And a labelled run of 1 second is under way at the owner of kiosk 7
    When the owner of kiosk 7 is told to leave within 8 seconds
    And the kiosks go on for 10 seconds
    Then kiosk 7 has another owner, taken after that run had ended
    And only sessions of that owner have moved

  Scenario: A killed server's sessions move and no others
    Given a fleet of 5 servers on replicas, with 40 kiosks in service
    When server m2 is killed
    And the kiosks go on for 10 seconds
    Then all sessions of m2 have moved, counted as "removed"
    And only sessions of m2 have moved
    And every kiosk has an owner that serves

  Scenario: No binding is lost with a server whose peers hold a majority
    Given a fleet of 5 servers on replicas, with 40 kiosks in service
    When server m1 is killed
    And the kiosks go on for 8 seconds
    Then every session has a number above its first, or its first owner

  Scenario: A server that returns cold takes nothing back
    Given a fleet of 5 servers on replicas, with 40 kiosks in service
    And server m2 was killed and its sessions have moved
    When server m2 comes back cold
    And the kiosks go on for 6 seconds
    Then no session has moved

  Scenario: An owner that was paused past its removal wakes up
    Given a fleet of 5 servers on replicas, with 40 kiosks in service
    When server m3 is paused for 7 seconds
    And the kiosks go on for 12 seconds
    Then all sessions of m3 have moved, counted as "removed"
    And every kiosk has an owner that serves

  Scenario: A minority is cut off and comes back
    Given a fleet of 5 servers on replicas, with 40 kiosks in service
    When servers m1 and m2 are cut off
    And the kiosks go on for 9 seconds
    And the cut is healed
    And the kiosks go on for 9 seconds
    Then every kiosk has an owner that serves
    And only sessions of m1 and m2 have moved

  Scenario: Links lose and double messages during a drain
    Given a fleet of 5 servers on replicas, with 30 kiosks in service
    And every link loses one message in five and doubles another
    When server m2 is told to leave within 9 seconds
    And the kiosks go on for 12 seconds
    Then every kiosk has an owner that serves
    And only sessions of m2 have moved

  Scenario: An owner is killed in the middle of a handover
    Given a fleet of 5 servers on replicas, with 40 kiosks in service
    When server m1 is told to leave within 8 seconds
    And the kiosks go on for 0.4 seconds
    And server m1 is killed
    And the kiosks go on for 9 seconds
    Then every kiosk has an owner that serves
    And only sessions of m1 have moved
